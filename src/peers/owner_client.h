#ifndef PLANTAINHEAD_SRC_PEERS_OWNER_CLIENT_H_
#define PLANTAINHEAD_SRC_PEERS_OWNER_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"
#include "plantainhead/core/jobs/owner_directory.h"
#include "plantainhead/core/time.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::peers {

/// Settings of `owner_client`.
struct owner_client_settings {
  core::jobs::owner_directory_settings directory;
  /// An owner that answers no request at all for this time is considered lost.
  /// An owner that waits for a slow store still answers queries, so requests
  /// that have reached it are not repeated elsewhere.
  std::chrono::milliseconds silence_timeout = std::chrono::milliseconds(700);
  /// Maximum number of connections to one owner.
  std::size_t max_connections = 8;
};

/// Outcome of forwarding a request to an owner.
enum class forward_outcome {
  /// The owner answered.
  kAnswered,
  /// The request was not sent, or the owner did nothing with it.
  kNotAccepted,
  /// The owner may have accepted the request, or may still accept it.
  kUnknown,
};

/// Reply to a forwarded request. `status` is that of the owner's HTTP response,
/// or 0 without a response; `body` is set only for `kAnswered`.
struct forward_reply {
  forward_outcome outcome = forward_outcome::kNotAccepted;
  unsigned status = 0;
  std::string body;
};

/// Forwards requests to the owners of pools, which are other processes.
/// Not thread-safe: to be used only from the thread of its `io_context`.
class owner_client {
 public:
  using reply_handler = std::function<void(const forward_reply&)>;

  owner_client(boost::asio::io_context* context,
               const owner_client_settings& settings);
  owner_client(const owner_client&) = delete;
  owner_client& operator=(const owner_client&) = delete;
  /// Abandons pending requests without calling their handlers.
  ~owner_client();

  /// Returns the directory of known owners. Announcements have to be added to
  /// it with `NoteAnnouncement`.
  core::jobs::owner_directory& directory();

  /// Forwards the request to the owner of the partition. Calls `on_reply` once
  /// within `timeout`, or immediately, before returning, if there is no owner
  /// to which the request may be sent.
  void Forward(std::uint32_t partition,
               const net::server_request& request,
               std::chrono::milliseconds timeout,
               const reply_handler& on_reply);

  /// Returns the time by `BootTime` at which an owner last answered.
  core::time_point AnsweredAt() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_OWNER_CLIENT_H_
