#ifndef PLANTAINHEAD_SRC_PEERS_OWNER_LINKS_H_
#define PLANTAINHEAD_SRC_PEERS_OWNER_LINKS_H_

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

struct owner_link_settings {
  core::jobs::owner_directory_settings book;
  /// An owner that answers nobody for this time is taken for lost. One that
  /// waits for a slow store answers questions meanwhile, so that requests that
  /// have reached it aren't repeated elsewhere.
  std::chrono::milliseconds silence_limit = std::chrono::milliseconds(700);
  /// Connections to one owner.
  std::size_t most_connections = 8;
};

enum class pass_outcome {
  /// The owner has answered.
  kAnswered,
  /// No owner was asked, or it has done nothing with the request.
  kNotTaken,
  /// The owner may have taken the request, or may yet.
  kUnknown,
};

struct pass_reply {
  pass_outcome outcome = pass_outcome::kNotTaken;
  unsigned status = 0;
  std::string body;
};

/// Passes requests on to the owners of pools.
/// Not thread-safe: used from the thread of its `io_context` only.
class owner_links {
 public:
  using reply_handler = std::function<void(const pass_reply&)>;

  owner_links(boost::asio::io_context* context,
              const owner_link_settings& settings);
  owner_links(const owner_links&) = delete;
  owner_links& operator=(const owner_links&) = delete;
  /// Requests that are under way end without their handlers being called.
  ~owner_links();

  /// Whom to ask; announcements are noted there.
  core::jobs::owner_directory& book();

  /// Passes the request on to the owner of the partition. Calls `on_reply` once
  /// within `patience`: at once when there is nobody to ask.
  void Pass(std::uint32_t partition,
            const net::server_request& request,
            std::chrono::milliseconds patience,
            const reply_handler& on_reply);

  /// Returns when an owner last answered, by `BootTime`.
  core::time_point AnsweredAt() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_OWNER_LINKS_H_
