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

struct peer_link_options {
  /// This entry process. Connections that are for another one, such as an
  /// earlier process at the same port, are closed. With `kNone` all are taken.
  core::incarnation self = core::incarnation::kNone;
  /// The IP number to listen at.
  std::string host = "127.0.0.1";
  /// 0 picks a free port.
  std::uint16_t port = 0;
  /// Longest payload that is sent or taken, in bytes.
  std::size_t frame_limit = kDefaultFrameLimit;
  /// Bytes that may wait for one peer; a longer queue ends the connection.
  std::size_t queue_limit = std::size_t{32} << 20;
  /// Connections that other entries may have open here at once.
  std::size_t inbound_limit = 1024;
  /// Pause after a connection was lost or could not be made. Frames to the
  /// peer are dropped meanwhile.
  core::duration reconnect_backoff = std::chrono::milliseconds(200);
  /// A connection whose bytes aren't acknowledged for this long is lost.
  core::duration stall_timeout = std::chrono::seconds(5);
};

/// What a link did since its start.
struct peer_link_counters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Connections that were closed because of bytes that aren't a frame.
  std::uint64_t malformed = 0;
  /// Connections that were closed because they were for another process.
  std::uint64_t misdirected = 0;
  /// Valid frames of a kind that this version doesn't know.
  std::uint64_t skipped = 0;
  /// Frames that were dropped before they were written.
  std::uint64_t dropped = 0;
  /// Outgoing connections that were lost or could not be made.
  std::uint64_t disconnects = 0;
};

/// Carries frames between this entry and the others over TCP, one outgoing
/// connection for each peer incarnation. Frames to a peer arrive in the order
/// of `Send`, or the connection breaks and `peer_disconnected` is posted; a
/// peer's own connection to this entry is another one. It uses CAF's brokers
/// and none of CAF's remote actors, groups or discovery.
class peer_link {
 public:
  using clock_function = std::function<core::time_point()>;
  using post_function = std::function<void(core::event)>;

  /// `post` gets `frame_received` and `peer_disconnected`. It and `now` are
  /// called from the broker's thread and from callers of `Send`, and must
  /// neither block nor throw. Preconditions: `system` has the module
  /// caf::io::middleman loaded and outlives the link; its scheduler has at most
  /// 4 workers (`scheduler.max-threads`).
  peer_link(caf::actor_system& system,
            peer_link_options options,
            clock_function now,
            post_function post);

  /// Calls `Stop`.
  ~peer_link();

  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Listens, and returns the port. Throws `std::runtime_error` when the
  /// address can't be bound, `std::logic_error` when the actor system isn't as
  /// the constructor asks. Precondition: not called before.
  /// Thread safety: none.
  std::uint16_t Start();

  /// Queues a frame, connecting first when there is no connection. Each frame
  /// that is dropped posts `peer_disconnected`. Does nothing before `Start` and
  /// after `Stop`.
  /// Thread safety: safe from any thread between `Start` and `Stop`.
  void Send(const core::send_frame& item);

  /// Closes all connections. Nothing is posted after it returns.
  /// Thread safety: none; not from within `post`.
  void Stop();

  /// Thread safety: safe from any thread.
  peer_link_counters counters() const;

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_PEER_LINK_H_
