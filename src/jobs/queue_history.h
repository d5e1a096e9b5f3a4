#ifndef PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_
#define PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Record which states that jobs of a queue may be, or may have been, in a
/// pool. It is stored next to the addresses of owners, which all processes
/// read, and is never removed.
struct served_queue {
  core::jobs::queue_id queue;
  core::jobs::pool_id pool;
};

/// Returns whether the key is that of a `served_queue` record.
bool IsServedQueueKey(const std::string& key);

/// Returns the record for the store.
adapter::keyed_record Encode(const served_queue& record);

/// Decodes a record. Returns the fault if it is invalid. Precondition: its key
/// is that of a `served_queue` record.
core::jobs::decoded<served_queue> DecodeServedQueue(
    const adapter::keyed_record& record);

/// Record of the newest policy of a queue. Jobs need it after their route was
/// removed, when no configuration contains it.
struct recorded_policy {
  core::jobs::queue_id queue;
  core::jobs::queue_policy policy;
  /// The version of the first configuration that is known to contain the
  /// policy.
  std::uint64_t version = 0;
};

/// The same functions for records of policies.
bool IsPolicyKey(const std::string& key);
adapter::keyed_record Encode(const recorded_policy& record);
core::jobs::decoded<recorded_policy> DecodeRecordedPolicy(
    const adapter::keyed_record& record);

/// The pools that a queue has, or has had. Only a queue that was moved to
/// another pool has more than one. Also the newest policy of each queue. Not
/// thread-safe.
class queue_history {
 public:
  /// Adds a pool that a configuration names for the queue.
  void NoteConfigured(const served_queue& served);
  /// Adds a pool that the store contains for the queue.
  void NoteStored(const served_queue& served);

  /// Adds the policy that a configuration contains. An older version than the
  /// newest known one has no effect.
  void NotePolicy(const recorded_policy& configured);
  /// Adds the newest record of a policy that the store contains. Returns
  /// whether it differs from the newest known policy and is older, as records
  /// may be stored late.
  bool NoteStoredPolicy(const recorded_policy& stored);

  /// Returns the newest known policy of the queue, or nothing if none is known.
  std::optional<core::jobs::queue_policy> PolicyOf(
      const core::jobs::queue_id& queue) const;
  /// Returns the newest policies that are not stored yet.
  std::vector<recorded_policy> PoliciesToStore() const;
  /// Returns whether the queue has, or has had, a pool other than `pool`.
  bool HasOtherPool(const core::jobs::queue_id& queue,
                    const core::jobs::pool_id& pool) const;
  /// Returns the pools by queue.
  const std::map<core::jobs::queue_id, std::set<core::jobs::pool_id>>& pools()
      const {
    return pools_;
  }
  /// Returns whether the store contains the pool for the queue.
  bool IsStored(const served_queue& served) const;

 private:
  bool IsStored(const recorded_policy& known) const;

  std::map<core::jobs::queue_id, std::set<core::jobs::pool_id>> pools_;
  std::map<core::jobs::queue_id, std::set<core::jobs::pool_id>> stored_;
  std::map<core::jobs::queue_id, recorded_policy> policies_;
  std::map<core::jobs::queue_id, recorded_policy> stored_policies_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_
