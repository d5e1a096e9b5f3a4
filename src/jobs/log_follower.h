#ifndef PLANTAINHEAD_SRC_JOBS_LOG_FOLLOWER_H_
#define PLANTAINHEAD_SRC_JOBS_LOG_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "jobs/partition_loader.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// How a follower reads its partition on its own.
enum class follow_mode {
  /// Records are read as soon as they are written.
  kWatch,
  /// Records are read with a delay; callers refresh when they need the current
  /// state.
  kBackground,
};

inline constexpr core::name_table<follow_mode, 2> kFollowModeNames = {{
    {follow_mode::kWatch, "watch"},
    {follow_mode::kBackground, "background"},
}};
inline constexpr const auto& NamesOf(follow_mode) {
  return kFollowModeNames;
}

/// Waits, pauses and timeouts of a log follower.
struct follower_settings {
  /// Time for which one read waits for a record in watch mode. A connection may
  /// stop delivering data without being closed; records then arrive later by
  /// this time plus the timeout. Cancellations must reach the owner within 3 s,
  /// and a configuration must reach all processes within 2 s. An empty
  /// partition is known to be unchanged only after two of these waits and two
  /// responses of the store; no task starts if that takes 2.6 s.
  std::chrono::milliseconds watch_wait = std::chrono::milliseconds(500);
  /// Like `watch_wait`, in background mode. An idle partition costs one call in
  /// this time.
  std::chrono::milliseconds background_wait = std::chrono::seconds(10);
  /// Pause after a read that returned records, in background mode.
  std::chrono::milliseconds background_pause = std::chrono::milliseconds(3500);
  /// Timeout of a read, added to its wait. The store usually answers within 4
  /// ms, or 0.25 s when it is slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(900);
  jobs::load_priority load_priority = jobs::load_priority::kHigh;
  /// Pause after a failed read. It doubles with each failure, up to the maximum
  /// of the mode.
  std::chrono::milliseconds min_pause = std::chrono::milliseconds(50);
  std::chrono::milliseconds max_pause = std::chrono::milliseconds(800);
  /// Maximum pause in watch mode. An owner starts no task until it has read the
  /// partitions that it watches, so this time is lost after an outage of the
  /// store.
  std::chrono::milliseconds max_watch_pause = std::chrono::milliseconds(100);
};

/// Follows one partition of a topic that keeps the newest record of each key:
/// loads the newest records first, and then reads what is appended. If the
/// store has trimmed the next records, the follower loads the partition again,
/// so handlers must tolerate repeated records. Not thread-safe.
class log_follower {
 public:
  using record_handler = std::function<void(const adapter::keyed_record&)>;
  using contact_handler = std::function<void(bool is_answered)>;

  /// Preconditions: `store` and `loader` outlive the object. All followers of a
  /// process share one loader.
  log_follower(boost::asio::io_context* context,
               adapter::store_client* store,
               partition_loader* loader,
               adapter::store_partition partition,
               const follower_settings& settings,
               record_handler on_record,
               contact_handler on_contact);
  log_follower(const log_follower&) = delete;
  log_follower& operator=(const log_follower&) = delete;
  ~log_follower();

  /// Starts reading. Must be called only once.
  void Start(follow_mode mode);
  void SetMode(follow_mode mode);
  /// Reads all records that the store has acknowledged so far, and then calls
  /// `on_done`. The argument is false if the store could not be read, or
  /// immediately if the partition is not loaded yet.
  void Refresh(std::function<void(bool is_read)> on_done);

  /// Passes the newest record of each key to the handler once more, beside what
  /// the follower reads otherwise, and then calls `on_done`. The argument is
  /// false if the store could not be read.
  void ReadAgain(std::function<void(bool is_read)> on_done);

  /// Stops reading, and ends all refreshes in progress as failed, because a
  /// caller may be waiting for each of them.
  void Abort();

  /// Calls `on_loaded` once the partition is loaded: during this call if it
  /// already is, else later.
  void AwaitLoaded(std::function<void()> on_loaded);

  /// Returns true once all records up to some time after the start have been
  /// read.
  bool IsLoaded() const;
  /// Returns the latest known time up to which all records that the store had
  /// acknowledged have been read. Precondition: the partition is loaded.
  core::time_point CompleteAt() const;
  const adapter::store_partition& partition() const;
  /// Returns the offset of the next read.
  std::uint64_t cursor() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_LOG_FOLLOWER_H_
