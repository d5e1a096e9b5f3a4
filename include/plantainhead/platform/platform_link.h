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

/// Where the platform is and how patient the link is with it. The interface is
/// described in docs/PLATFORM.md.
struct platform_options {
  /// IP number.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Longest wait for a connection.
  core::duration connect_timeout = std::chrono::seconds(1);
  /// Longest wait for an answer, beyond `read_wait` for long polls. An append
  /// whose answer takes longer ends as `kUnknown`.
  core::duration answer_timeout = std::chrono::seconds(3);
  /// How long the platform may hold a read that has nothing to give.
  core::duration read_wait = std::chrono::seconds(5);
  /// Most records of one read.
  std::size_t read_max = 1000;
  /// Time between reads of the VM list.
  core::duration list_interval = std::chrono::seconds(1);
  /// First and greatest wait after a failure; each failure doubles the wait,
  /// and a random part of up to half is taken off.
  core::duration initial_backoff = std::chrono::milliseconds(50);
  core::duration max_backoff = std::chrono::seconds(2);
  /// Threads that append. Each stream belongs to one, so that streams beyond
  /// this number share.
  std::size_t append_threads = 8;
  /// Threads that run operations.
  std::size_t operation_threads = 4;
  /// How often an operation that has not reached its effect is asked again.
  core::duration operation_poll = std::chrono::milliseconds(200);
  /// When an operation that has still not reached its effect ends as
  /// `kUnknown`.
  core::duration operation_timeout = std::chrono::seconds(15);
};

/// The entry's connection to the platform: carries out the actions that concern
/// its log, its VM list and its operations, and posts what came of them.
///
/// Events of one stream come in order; those of different streams, appends and
/// operations come in any order, from several threads at once.
///
///     platform_link link(system, options, [&](core::event e) {
///       core_thread.Post(std::move(e));
///     });
///     link.Follow({core::kControlStream, 0});
///
/// Thread safety: all methods are safe from any thread, but for the destructor.
class platform_link {
 public:
  using post_function = std::function<void(core::event)>;

  /// Starts the threads and the reading of the VM list.
  /// Preconditions: `system` outlives the link; `post` may be called from any
  /// thread, doesn't block for long and doesn't throw.
  platform_link(caf::actor_system& system,
                platform_options options,
                post_function post);
  /// Stops the link.
  ~platform_link();

  platform_link(const platform_link&) = delete;
  platform_link& operator=(const platform_link&) = delete;

  /// Appends the records as one append and posts one `core::append_finished`.
  /// Appends to one stream go out in the order of the calls, one at a time.
  /// `kAppended` is a success of the platform; `kRejected` a refusal or a
  /// connection that was never made; all else is `kUnknown`, because the append
  /// may have taken effect.
  void Append(core::append_records action);

  /// Reads the stream from `after` on and posts `core::log_read` for what comes
  /// and `core::log_unavailable` for each try that fails. Following a stream
  /// again starts anew; a read of the old place that is already on its way may
  /// still be posted.
  ///
  /// Entries come in order without gaps, but for one case: when the next record
  /// has aged out (`begin` is greater than its offset), they start at `begin`.
  /// So `after` 0 reads from the oldest record that the stream keeps.
  ///
  /// A stream whose `end` is less than what was read is posted without entries,
  /// again and again at the pace of the backoff, until the stream has grown or
  /// is followed anew.
  ///
  /// A record that can't be decoded arrives as `core::unknown_record` with the
  /// type "malformed".
  void Follow(core::follow_stream action);

  /// Stops reading the stream; a read that is already on its way may still be
  /// posted.
  void Unfollow(const core::unfollow_stream& action);

  /// Runs the operation and posts one `core::operation_finished`: `kDone` once
  /// its effect has been reached (the VM is drained with nothing in flight, or
  /// back from its reboot), `kRefused`, or `kUnknown`.
  void Run(core::run_operation action);

  /// Ends all work and returns once no thread of the link is left; nothing is
  /// posted afterwards. Takes at most about `connect_timeout` +
  /// `answer_timeout`. What was still queued is not posted. Later calls of any
  /// method do nothing. Precondition: not called from `post`.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_PLATFORM_PLATFORM_LINK_H_
