#ifndef PLANTAINHEAD_CORE_JOBS_VM_REPORTS_H_
#define PLANTAINHEAD_CORE_JOBS_VM_REPORTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

/// Defines what a VM reports about itself and about its tasks.
namespace plantainhead::core::jobs {

/// Describes a VM as the platform's registry lists it.
struct vm_description {
  vm_id id;
  vm_incarnation incarnation;
  pool_id pool;
  std::string address;
  std::string availability_zone;
  resources capacity;
  std::vector<std::string> labels;
  /// The VM will be removed soon and accepts no new tasks.
  bool draining = false;
  /// The minimum time until a draining VM is removed.
  duration remaining = duration::zero();

  bool operator==(const vm_description&) const = default;
};

/// Classifies how a run of a task ended.
enum class end_kind {
  kDone,
  kFailed,
  kStopped,
  /// The lease of the VM expired.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start.
  kGangIncomplete,
};

inline constexpr name_table<end_kind, 6> kEndKindNames = {{
    {end_kind::kDone, "done"},
    {end_kind::kFailed, "failed"},
    {end_kind::kStopped, "stopped"},
    {end_kind::kLeaseExpired, "lapsed"},
    {end_kind::kGangBroken, "broken"},
    {end_kind::kGangIncomplete, "alone"},
}};
inline constexpr const auto& NamesOf(end_kind) {
  return kEndKindNames;
}

/// A running task as its VM lists it.
struct running_task {
  task_name task;
  std::uint32_t run = 0;
  std::string checkpoint;
  /// The progress of the task. A long-running task is ready at 100.
  std::uint32_t percent = 0;
  /// For a task with a latency target: its tail latency in milliseconds over
  /// about half a second. For others: the processor time that it uses, in
  /// thousandths of a core.
  std::int64_t reading = 0;
};

/// An ended task as its VM lists it until the end is acknowledged.
struct ended_task {
  /// The sequence number of the end within one incarnation of the VM, starting
  /// at 1.
  std::uint64_t number = 0;
  task_name task;
  std::uint32_t run = 0;
  end_kind how = end_kind::kDone;
  std::string checkpoint;
};

/// The answer of a VM to a hold: its running and ended tasks.
struct run_listing {
  vm_incarnation incarnation;
  /// The VM's own clock when it sent the answer.
  duration vm_clock = duration::zero();
  std::vector<running_task> running;
  /// Ends that have not been acknowledged, in ascending order.
  std::vector<ended_task> ended;
  /// The VM may have more ends than are listed.
  bool is_partial = false;
};

/// The result of an order to start a task.
enum class start_result {
  /// The task was started, or was running already.
  kStarted,
  /// The VM rejected the order because another owner has fenced this one.
  kFenced,
  /// The VM rejected the order because this run or a later one has already been
  /// stopped or has ended there.
  kStaleRun,
  /// The VM rejected the order because the lease in it had expired.
  kOrderExpired,
  /// The VM rejected the order because it lacks capacity.
  kNoCapacity,
  /// The VM rejected the order because it is unhealthy.
  kUnhealthy,
  /// The VM rejected the order as invalid.
  kInvalid,
  /// The connection failed, so that the order was not sent.
  kNotSent,
  /// The call timed out; the VM may still carry out the order.
  kUnknown,
  /// Another incarnation of the VM answered.
  kReplaced,
};

inline constexpr name_table<start_result, 10> kStartResultNames = {{
    {start_result::kStarted, "started"},
    {start_result::kFenced, "fenced"},
    {start_result::kStaleRun, "old run"},
    {start_result::kOrderExpired, "late"},
    {start_result::kNoCapacity, "no room"},
    {start_result::kUnhealthy, "unwell"},
    {start_result::kInvalid, "invalid"},
    {start_result::kNotSent, "not sent"},
    {start_result::kUnknown, "unknown"},
    {start_result::kReplaced, "replaced"},
}};
inline constexpr const auto& NamesOf(start_result) {
  return kStartResultNames;
}

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VM_REPORTS_H_
