#ifndef PLANTAINHEAD_ENTRY_PEER_LINK_H_
#define PLANTAINHEAD_ENTRY_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/time.h"
#include "plantainhead/entry/frame_codec.h"

namespace caf {
class actor_system;
}

namespace plantainhead::entry {

/// Configures the address, limits and timeouts of a `peer_link`.
struct peer_link_options {
  /// The incarnation of this entry process. Connections intended for another
  /// one, such as an earlier process at the same port, are closed. With
  /// `kNone`, all connections are accepted.
  core::incarnation self = core::incarnation::kNone;
  /// The IP address to listen on.
  std::string host = "127.0.0.1";
  /// The port to listen on; 0 selects a free port.
  std::uint16_t port = 0;
  /// Maximum size in bytes of a payload that is sent or accepted.
  std::size_t frame_limit = kDefaultFrameLimit;
  /// Maximum number of bytes queued for one peer; beyond it, the connection is
  /// closed.
  std::size_t queue_limit = std::size_t{32} << 20;
  /// Maximum number of bytes of all frames that have arrived in part; beyond
  /// it, the connection whose frame has been incomplete for longest is closed.
  std::size_t partial_limit = std::size_t{32} << 20;
  /// Maximum number of concurrent inbound connections; beyond it, the one that
  /// has been without a greeting for longest is closed, or else the one whose
  /// frame has been incomplete for longest, or else the new one.
  std::size_t inbound_limit = 1024;
  /// Delay before reconnecting after a connection was lost or could not be
  /// established. Frames to the peer are dropped during this time.
  core::duration reconnect_backoff = std::chrono::milliseconds(200);
  /// A connection fails if sent bytes stay unacknowledged for this long.
  core::duration stall_timeout = std::chrono::seconds(5);
};

/// Counts the traffic and errors of a `peer_link` since its start.
struct peer_link_counters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Connections closed because of bytes that are not a valid frame.
  std::uint64_t malformed = 0;
  /// Connections closed because they were intended for another process.
  std::uint64_t misdirected = 0;
  /// Inbound connections closed because others needed their place or memory.
  std::uint64_t evicted = 0;
  /// Valid frames of a message type that this version does not know.
  std::uint64_t skipped = 0;
  /// Frames dropped before they were written to a connection.
  std::uint64_t dropped = 0;
  /// Outgoing connections that were lost or could not be established.
  std::uint64_t disconnects = 0;
};

/// Exchanges frames between this entry and its peers over TCP, with one
/// outgoing connection for each peer incarnation. Frames to a peer arrive in
/// the order of the calls to `Send`; otherwise the connection fails and
/// `peer_disconnected` is posted. A peer sends its own frames on a separate
/// connection. The implementation uses CAF's brokers, but not CAF's remote
/// actors, groups or discovery.
class peer_link {
 public:
  using clock_function = std::function<core::time_point()>;
  using post_function = std::function<void(core::event)>;

  /// `post` receives `frame_received` and `peer_disconnected`. `post` and `now`
  /// are called from the broker's thread and from callers of `Send`, and must
  /// neither block nor throw. Preconditions: `system` has loaded the module
  /// caf::io::middleman and outlives the link; its scheduler has at most 4
  /// workers (`scheduler.max-threads`).
  peer_link(caf::actor_system& system,
            peer_link_options options,
            clock_function now,
            post_function post);

  /// Calls `Stop`.
  ~peer_link();

  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Starts listening and returns the port. Throws `std::runtime_error` if the
  /// address cannot be bound, and `std::logic_error` if the actor system does
  /// not meet the preconditions of the constructor. Precondition: not called
  /// before. Thread safety: none.
  std::uint16_t Start();

  /// Queues a frame and connects to the peer if there is no connection. Posts
  /// `peer_disconnected` for each dropped frame. Does nothing before `Start`
  /// and after `Stop`. Thread safety: safe from any thread between `Start` and
  /// `Stop`.
  void Send(const core::send_frame& item);

  /// Closes all connections. Nothing is posted after it returns.
  /// Thread safety: none; must not be called from within `post`.
  void Stop();

  /// Returns a snapshot of the counters.
  /// Thread safety: safe from any thread.
  peer_link_counters counters() const;

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_PEER_LINK_H_
