#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_PARTITION_PROXY_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_PARTITION_PROXY_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace plantainhead::review {

/// Passes connections to a server on, and can partition the path. During a
/// partition nothing passes. Bytes that were sent by then arrive after it,
/// unless their sender has reset the connection. A sender that was killed has
/// closed the connection and not reset it, so that its bytes arrive. Not
/// thread-safe.
class partition_proxy {
 public:
  /// Listens on a free port of 127.0.0.1.
  partition_proxy(boost::asio::io_context* context, const std::string& server);
  partition_proxy(const partition_proxy&) = delete;
  partition_proxy& operator=(const partition_proxy&) = delete;
  ~partition_proxy();

  std::string address() const;
  void BeginPartition();
  void EndPartition();
  /// Loses the next answer to a request that contains `text`: the server gets
  /// the request, and the connection is reset when it answers.
  void LoseAnswerTo(const std::string& text);
  /// Called with each piece that a client has sent, before it is passed on, so
  /// that the partition may begin under it.
  std::function<void(std::string_view)> on_request;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_PARTITION_PROXY_H_
