#ifndef PLANTAINHEAD_CORE_JOBS_VM_REPORTS_H_
#define PLANTAINHEAD_CORE_JOBS_VM_REPORTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

/// What a VM says of itself and of the tasks on it.
namespace plantainhead::core::jobs {

/// A VM as the platform's registry lists it.
struct vm_description {
  vm_id id;
  vm_incarnation incarnation;
  pool_id pool;
  std::string address;
  std::string availability_zone;
  resources capacity;
  std::vector<std::string> labels;
  /// It leaves soon and takes no new tasks.
  bool draining = false;
  /// While it drains: the least time that it stays.
  duration remaining = duration::zero();

  bool operator==(const vm_description&) const = default;
};

enum class end_kind {
  kDone,
  kFailed,
  kStopped,
  /// The VM's lease ran out.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not come.
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

struct running_task {
  task_name task;
  std::uint32_t run = 0;
  std::string checkpoint;
  /// Of its work; a lasting task is at work at 100.
  std::uint32_t percent = 0;
  /// Of a task with a latency target: its tail latency in ms, over about half a
  /// second. Of others: the processor that it uses, in thousandths of a core.
  std::int64_t reading = 0;
};

struct ended_task {
  /// Counts the ends of one life of the VM, from 1.
  std::uint64_t number = 0;
  task_name task;
  std::uint32_t run = 0;
  end_kind how = end_kind::kDone;
  std::string checkpoint;
};

/// A VM's answer to a hold.
struct run_listing {
  vm_incarnation incarnation;
  /// The VM's own clock when it answered.
  duration vm_clock = duration::zero();
  std::vector<running_task> running;
  /// Ends that haven't been acknowledged, in rising order.
  std::vector<ended_task> ended;
  /// There may be more ends than are listed.
  bool is_partial = false;
};

/// How an order to start a task went.
enum class start_result {
  /// It runs, or ran already.
  kStarted,
  /// The VM did nothing: another owner holds it.
  kFenced,
  /// The VM did nothing: it knows this run or a later one as stopped or ended.
  kStaleRun,
  /// The VM did nothing: the lease in the order was over.
  kOrderExpired,
  /// The VM did nothing: it has no room.
  kNoCapacity,
  /// The VM did nothing: it is unwell.
  kUnhealthy,
  /// The VM did nothing: it can't use the order.
  kInvalid,
  /// No connection could be made, so the order was not sent.
  kNotSent,
  /// No answer came; the order may still be carried out.
  kUnknown,
  /// Another life of the VM answered.
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
