#ifndef PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_
#define PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_

#include <map>
#include <set>
#include <string>

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

/// The pools that a queue has, or has had. Only a queue that was moved to
/// another pool has more than one. Not thread-safe.
class queue_history {
 public:
  /// Adds a pool that a configuration names for the queue.
  void NoteConfigured(const served_queue& served);
  /// Adds a pool that the store contains for the queue.
  void NoteStored(const served_queue& served);

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
  std::map<core::jobs::queue_id, std::set<core::jobs::pool_id>> pools_;
  std::map<core::jobs::queue_id, std::set<core::jobs::pool_id>> stored_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_QUEUE_HISTORY_H_
