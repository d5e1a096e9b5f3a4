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

/// Sends operations to the platform until each has a sure end. The id comes
/// from a record that was read back, so a planner that takes over sends the
/// same id, and the platform acts once. Thread safety: none.
class operation_tracker {
 public:
  /// `resend_after` is the time without an answer and `retry_delay` the wait
  /// after an answer of unknown effect, after which an operation is sent again.
  operation_tracker(duration resend_after, duration retry_delay);

  /// Sends `what` under `id` unless it is under way or has ended. Returns its
  /// sure end, or nothing while there is none.
  std::optional<operation_result> EnsureSent(const operation_id& id,
                                             const platform_operation& what,
                                             time_point now,
                                             effects& out);

  /// Takes in the end of an operation; one that was never driven is ignored.
  void Finish(const operation_finished& event, time_point now);

  /// Returns true once `id` has a sure end.
  bool HasEnded(const operation_id& id) const;

  /// Returns when `id` was done, or nothing.
  std::optional<time_point> DoneAt(const operation_id& id) const;

  /// Returns the platform's words on how `id` ended; empty when it said none.
  std::string DetailOf(const operation_id& id) const;

  /// Forgets the operations that were not driven since `before`.
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
