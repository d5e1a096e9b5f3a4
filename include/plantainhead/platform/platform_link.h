#ifndef PLANTAINHEAD_PLATFORM_PLATFORM_LINK_H_
#define PLANTAINHEAD_PLATFORM_PLATFORM_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/time.h"

namespace caf {
class actor_system;
}  // namespace caf

namespace plantainhead::platform {

/// Address, timeouts and thread counts that configure a `platform_link`. The
/// interface of the platform is described in docs/PLATFORM.md.
struct platform_options {
  /// IP address of the platform.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Timeout for establishing a connection.
  core::duration connect_timeout = std::chrono::seconds(1);
  /// Timeout for a response, in addition to `read_wait` for long polls. An
  /// append whose response takes longer ends as `kUnknown`.
  core::duration answer_timeout = std::chrono::seconds(3);
  /// How long the platform may hold a read (long poll) while it has no records
  /// to return.
  core::duration read_wait = std::chrono::seconds(5);
  /// Maximum number of records in one read.
  std::size_t read_max = 1000;
  /// Interval between reads of the VM list.
  core::duration list_interval = std::chrono::seconds(1);
  /// Initial and maximum delay before a retry. Each failure doubles the delay,
  /// and a random part of up to half is subtracted.
  core::duration initial_backoff = std::chrono::milliseconds(50);
  core::duration max_backoff = std::chrono::seconds(2);
  /// Number of threads that append. Each stream is assigned to one thread; if
  /// there are more streams than threads, streams share them.
  std::size_t append_threads = 8;
  /// Number of threads that run operations.
  std::size_t operation_threads = 4;
  /// Interval at which an operation that has not taken effect yet is polled.
  core::duration operation_poll = std::chrono::milliseconds(200);
  /// Time after which an operation that has still not taken effect ends as
  /// `kUnknown`.
  core::duration operation_timeout = std::chrono::seconds(15);
};

/// The connection of an entry to the platform: executes the actions that
/// concern its log, its VM list and its operations, and posts their results as
/// events.
///
/// Events of one stream are posted in order. Events of different streams,
/// appends and operations are posted in any order, from several threads
/// concurrently.
///
///     platform_link link(system, options, [&](core::event e) {
///       core_thread.Post(std::move(e));
///     });
///     link.Follow({core::kControlStream, 0});
///
/// Thread safety: all methods except the destructor may be called from any
/// thread.
class platform_link {
 public:
  using post_function = std::function<void(core::event)>;

  /// Starts the worker threads and begins to read the VM list.
  /// Preconditions: `system` outlives the link; `post` may be called from any
  /// thread, does not block for long and does not throw.
  platform_link(caf::actor_system& system,
                platform_options options,
                post_function post);
  /// Calls `Stop`.
  ~platform_link();

  platform_link(const platform_link&) = delete;
  platform_link& operator=(const platform_link&) = delete;

  /// Appends the records as one append and posts one `core::append_finished`.
  /// Appends to one stream are sent in the order of the calls, one at a time.
  /// The result is `kAppended` if the platform reports success, and `kRejected`
  /// if it refuses the append or the connection could not be established. Any
  /// other outcome is `kUnknown`, because the append may have taken effect.
  void Append(core::append_records action);

  /// Reads the stream from the record after offset `after` and posts
  /// `core::log_read` for each result and `core::log_unavailable` for each
  /// failed attempt. Following a stream that is already followed restarts it at
  /// the new offset; a read of the old position that is already in progress may
  /// still be posted.
  ///
  /// Entries are in order and without gaps, with one exception: if the next
  /// record has expired (`begin` is greater than its offset), the entries start
  /// at `begin`. Hence `after` 0 reads from the oldest record that the stream
  /// retains.
  ///
  /// If the `end` of a stream is less than the offset read last, the read is
  /// posted without entries, and is repeated with backoff until the stream has
  /// grown or is followed anew.
  ///
  /// A record that cannot be decoded is delivered as `core::unknown_record`
  /// with the type "malformed".
  void Follow(core::follow_stream action);

  /// Stops reading the stream. A read that is already in progress may still be
  /// posted.
  void Unfollow(const core::unfollow_stream& action);

  /// Runs the operation and posts one `core::operation_finished`: `kDone` once
  /// the operation has taken effect (the VM is drained and has no requests in
  /// flight, or is back from its reboot), `kRefused`, or `kUnknown`.
  void Run(core::run_operation action);

  /// Ends all work and returns once all threads of the link have ended; nothing
  /// is posted afterwards. Takes at most about `connect_timeout` +
  /// `answer_timeout`. No results are posted for actions that are still queued.
  /// Later calls of any method have no effect. Precondition: not called from
  /// `post`.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_PLATFORM_PLATFORM_LINK_H_
