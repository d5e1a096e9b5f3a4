#ifndef PLANTAINHEAD_CORE_FLEET_OPERATION_TRACKER_H_
#define PLANTAINHEAD_CORE_FLEET_OPERATION_TRACKER_H_

#include <map>
#include <optional>
#include <string>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Sends each operation to the platform until its result is known. The
/// operation id comes from a record that was read back, so a planner that takes
/// over sends the same id and the platform executes the operation once. Thread
/// safety: none.
class operation_tracker {
 public:
  /// An operation is sent again `resend_after` after it was sent without an
  /// answer, or `retry_delay` after an answer that leaves its result unknown.
  operation_tracker(duration resend_after, duration retry_delay);

  /// Sends `what` under `id` unless it is in progress or has ended. Returns the
  /// final result, or nothing while it is unknown.
  std::optional<operation_result> EnsureSent(const operation_id& id,
                                             const platform_operation& what,
                                             time_point now,
                                             effects& out);

  /// Records the result of an operation. Operations that were never passed to
  /// `EnsureSent` are ignored.
  void Finish(const operation_finished& event, time_point now);

  /// Returns true once the final result of `id` is known.
  bool HasEnded(const operation_id& id) const;

  /// Returns when `id` succeeded, or nothing.
  std::optional<time_point> DoneAt(const operation_id& id) const;

  /// Returns the platform's message about the result of `id`; empty if it gave
  /// none.
  std::string DetailOf(const operation_id& id) const;

  /// Drops the operations that have not been requested since `before`.
  void Forget(time_point before);

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    time_point sent_at;
    time_point requested_at;
    std::optional<time_point> retry_at;
    std::optional<operation_result> result;
    time_point ended_at;
    std::string detail;
  };

  duration resend_after_;
  duration retry_delay_;
  std::map<operation_id, entry> entries_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_OPERATION_TRACKER_H_
