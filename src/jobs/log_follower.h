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

/// How a follower reads on its own.
enum class follow_mode {
  /// Records are read as soon as they are written.
  kWatch,
  /// Records are read some time later; callers refresh when they need to know.
  kBackground,
};

inline constexpr core::name_table<follow_mode, 2> kFollowModeNames = {{
    {follow_mode::kWatch, "watch"},
    {follow_mode::kBackground, "background"},
}};
inline constexpr const auto& NamesOf(follow_mode) {
  return kFollowModeNames;
}

struct follower_settings {
  /// How long one read waits for a record while watching. A connection may fall
  /// silent without being closed: records are then read this much, and the
  /// timeout, later. Cancellations must reach the owner within 3 s, and a
  /// configuration all processes within 2 s. Of a partition without records it
  /// is known for two of these times, and two answers of the store, that
  /// nothing new was in it; nothing starts when that takes 2.6 s.
  std::chrono::milliseconds watch_wait = std::chrono::milliseconds(500);
  /// The same in the background. Within it an idle partition costs one call.
  std::chrono::milliseconds background_wait = std::chrono::seconds(10);
  /// Pause after a read with records, in the background.
  std::chrono::milliseconds background_pause = std::chrono::milliseconds(3500);
  /// How long the store may take to answer: 4 ms as a rule, 0.25 s when it is
  /// slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(900);
  jobs::load_priority load_priority = jobs::load_priority::kHigh;
  /// Pause after a failed read; it doubles up to the most of its mode.
  std::chrono::milliseconds min_pause = std::chrono::milliseconds(50);
  std::chrono::milliseconds max_pause = std::chrono::milliseconds(800);
  /// An owner starts nothing until it has read what it watches, so that this is
  /// lost when the store has been away.
  std::chrono::milliseconds max_watch_pause = std::chrono::milliseconds(100);
};

/// Reads one partition of a topic that keeps the newest record of each key:
/// first the newest records, then what is appended. When the store has dropped
/// what comes next, it starts over; handlers must take a record twice.
/// Not thread-safe.
class log_follower {
 public:
  using record_handler = std::function<void(const adapter::keyed_record&)>;
  using contact_handler = std::function<void(bool is_answered)>;

  /// Preconditions: `store` and `loader` outlive it. All followers of a process
  /// share one loader.
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

  /// Begins to read. Call it once.
  void Start(follow_mode mode);
  void SetMode(follow_mode mode);
  /// Reads all that the store has acknowledged by now, and then calls
  /// `on_done`, with false when the store couldn't be read, or at once when the
  /// partition isn't loaded yet.
  void Refresh(std::function<void(bool is_read)> on_done);

  /// Ends all refreshes that are under way: as failed, since whoever waits for
  /// one has a caller that waits. Reads nothing any more.
  void Abort();

  /// Calls `on_loaded` when the partition is loaded: at once, or later.
  void AwaitLoaded(std::function<void()> on_loaded);

  /// True when all records up to some moment after the start have been read.
  bool IsLoaded() const;
  /// Returns the latest known moment by which all that the store had
  /// acknowledged has been read. Precondition: the partition is loaded.
  core::time_point CompleteAt() const;
  const adapter::store_partition& partition() const;
  /// The offset that is read next.
  std::uint64_t cursor() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_LOG_FOLLOWER_H_
