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

struct owner_client_settings {
  core::jobs::owner_directory_settings directory;
  /// An owner that answers nobody for this time is taken for lost. One that
  /// waits for a slow store answers questions meanwhile, so that requests that
  /// have reached it aren't repeated elsewhere.
  std::chrono::milliseconds silence_timeout = std::chrono::milliseconds(700);
  /// Connections to one owner.
  std::size_t most_connections = 8;
};

enum class forward_outcome {
  /// The owner has answered.
  kAnswered,
  /// No owner was asked, or it has done nothing with the request.
  kNotAccepted,
  /// The owner may have taken the request, or may yet.
  kUnknown,
};

struct forward_reply {
  forward_outcome outcome = forward_outcome::kNotAccepted;
  unsigned status = 0;
  std::string body;
};

/// Passes requests on to the owners of pools.
/// Not thread-safe: used from the thread of its `io_context` only.
class owner_client {
 public:
  using reply_handler = std::function<void(const forward_reply&)>;

  owner_client(boost::asio::io_context* context,
               const owner_client_settings& settings);
  owner_client(const owner_client&) = delete;
  owner_client& operator=(const owner_client&) = delete;
  /// Requests that are under way end without their handlers being called.
  ~owner_client();

  /// Whom to ask; announcements are noted there.
  core::jobs::owner_directory& directory();

  /// Passes the request on to the owner of the partition. Calls `on_reply` once
  /// within `timeout`: at once when there is nobody to ask.
  void Forward(std::uint32_t partition,
               const net::server_request& request,
               std::chrono::milliseconds timeout,
               const reply_handler& on_reply);

  /// Returns when an owner last answered, by `BootTime`.
  core::time_point AnsweredAt() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_OWNER_CLIENT_H_
