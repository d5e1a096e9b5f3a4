#ifndef PLANTAINHEAD_SRC_CORE_JOBS_VM_STATE_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_VM_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/jobs/job_vms.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/orders.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Why a run is to be stopped.
enum class stop_reason {
  /// It is not known whether the VM has the run. The run continues if the VM
  /// lists it.
  kNotListed,
  /// Its VM is being drained for service. The run continues while too many
  /// tasks of its step are unavailable.
  kDrain,
  /// The run is not wanted any more.
  kUnwanted,
};

/// Tracks a run that is, or may be, on a VM. It uses its share of the capacity
/// until the VM has listed its end or cannot be running it any more.
struct run_state {
  std::uint32_t run = 0;
  resources demand;
  time_point ordered_at;
  /// When the VM was first known to have accepted the run.
  std::optional<time_point> confirmed_at;
  bool is_start_in_flight = false;
  /// The current incarnation of the VM has listed the run.
  bool is_reported = false;
  /// The incarnation of the VM in which the run was ordered, if another one has
  /// started before the run was listed. Either of them may have accepted it.
  vm_incarnation former_incarnation;
  /// The run was listed by the VM and not ordered by this owner.
  bool is_adopted = false;
  /// The run started a short while ago, as far as is known. If the VM crashes,
  /// it is the most likely cause.
  bool is_newly_started = true;
  /// The task is suspected of crashing its VMs.
  bool is_suspected = false;
  /// Since when it is unknown whether the VM has accepted the run: the start
  /// was not answered, and no later listing has resolved it.
  std::optional<time_point> start_unknown_since;
  bool is_stop_wanted = false;
  /// The reason if a stop is wanted. `kUnwanted` takes precedence.
  stop_reason wanted_stop = stop_reason::kUnwanted;
  bool is_stop_in_flight = false;
  time_point stop_sent_at;
  std::optional<time_point> stop_answered_at;
  time_point next_stop_at;
  std::uint32_t percent = 0;
  /// When `percent` was last observed to change.
  time_point progressed_at;
  /// The percent with which the run was first listed, and when that was.
  std::uint32_t first_percent = 0;
  std::optional<time_point> first_listed_at;
  std::int64_t reading = 0;
  /// The percentage of its full speed to which the run was last limited.
  std::uint32_t pace = 100;
  /// The step of the task; null if its job is unknown here. A job is not
  /// forgotten while VMs have runs of it.
  const step_spec* step = nullptr;

  /// Requests a stop of the run.
  void WantStop(stop_reason next) {
    if (!is_stop_wanted || next == stop_reason::kUnwanted) {
      wanted_stop = next;
    }
    is_stop_wanted = true;
  }
  bool IsOfUnknownJob() const { return step == nullptr; }
  bool IsLongRunning() const { return step != nullptr && step->long_running; }
  bool IsLatencySensitive() const {
    return step != nullptr && step->latency_target > duration::zero();
  }
};

/// A start that was not answered. It may be carried out late, also by another
/// incarnation of the VM.
struct unanswered_start {
  std::uint32_t run = 0;
  time_point given_up_at;
};

class available_vm_list;
struct pool_vm_index;

/// The stages that a VM passes until it is available for tasks; see
/// `vm_stage_counts`.
enum class vm_stage {
  /// The VM is not in the registry.
  kUnregistered,
  kClosed,
  kUnheard,
  kUnrecorded,
  kUntrusted,
  kAvailable,
};

/// The contribution of a VM to the totals of its pool; see `vm_index`.
struct vm_index_entry {
  /// Null if the VM is not counted.
  pool_vm_index* pool = nullptr;
  vm_stage stage = vm_stage::kUnregistered;
  bool is_usable = false;
  resources capacity;
  resources free;
  /// See `available_vm_list`.
  std::size_t kind = 0;
  std::size_t starts_in_flight = 0;
  std::size_t runs = 0;

  bool operator==(const vm_index_entry&) const = default;
};

/// Points to the lists of `vm_index` that contain a VM, according to its
/// description.
struct vm_index_slots {
  pool_vm_index* pool = nullptr;
  /// The lists that contain the VM while it is available.
  std::vector<available_vm_list*> available;
  /// Null if the VM is in no rack.
  std::size_t* available_in_rack = nullptr;
};

/// Tracks the current incarnation of a VM as the owner of its pool sees it. Not
/// thread-safe.
class vm_state {
 public:
  /// `number` identifies the VM within its table and increases in the order in
  /// which VMs became known. Precondition: `job_vms` outlives this object.
  vm_state(vm_description description, std::uint32_t number, job_vms* job_vms)
      : number_(number),
        job_vms_(job_vms),
        description_(std::move(description)) {}
  vm_state(const vm_state&) = delete;
  vm_state& operator=(const vm_state&) = delete;

  std::uint32_t number() const { return number_; }

  void Describe(vm_description description) {
    description_ = std::move(description);
    has_new_description = true;
  }
  const vm_description& description() const { return description_; }

  std::map<task_name, run_state>& runs() { return runs_; }
  const std::map<task_name, run_state>& runs() const { return runs_; }
  run_state* Find(const task_name& task, std::uint32_t run);
  /// Adds a run, which replaces another run of the same task.
  run_state& Add(const task_name& task, const run_state& run);
  void Erase(const task_name& task);
  void ClearRuns();
  resources Free() const { return description_.capacity - used_; }
  /// Returns whether the VM may accept tasks, according to its own state and
  /// the registry.
  bool IsUsable() const {
    return is_registered && IsDescribed() && is_reconciled && IsReachable() &&
           !is_closed && !description_.draining;
  }
  /// Returns whether the last report of its capacity is still valid.
  bool IsTrusted(time_point now) const {
    return !trusted_until || now <= *trusted_until;
  }
  /// Returns whether the VM has listed all its tasks, and has neither a run nor
  /// an end that has not been processed.
  bool IsEmpty() const {
    return has_answered_ && is_reconciled && runs_.empty() &&
           unprocessed_ends.empty();
  }
  /// Counted rather than computed, since each placement needs them.
  bool HasUnknownJobRuns() const { return unknown_job_runs_ > 0; }
  bool HasLongRunning() const { return long_running_ > 0; }
  bool HasLatencySensitive() const { return latency_sensitive_ > 0; }
  bool HasNewlyStarted() const { return newly_started_ > 0; }
  bool HasNewlyStartedSuspect() const { return newly_started_suspects_ > 0; }
  /// Records that the VM has survived the crash window of the run.
  void MarkSurvived(run_state* run);

  /// Records an answer of the VM: its clock, and when the answer arrived.
  void RecordAnswer(duration vm_clock, time_point now);
  void NoteUnanswered() { ++unanswered_; }
  bool HasAnswered() const { return has_answered_; }
  /// Returns whether the last call was answered.
  bool IsReachable() const { return has_answered_ && unanswered_ == 0; }
  time_point last_answer_at() const { return last_answer_at_; }
  /// Returns the VM's clock in its last answer, or zero before the first one.
  duration last_clock() const { return clock_sample_; }

  /// Resets the state that only applies to the previous incarnation. Runs and
  /// leases are kept.
  void BeginIncarnation(const vm_incarnation& incarnation, time_point now);
  /// Returns when the current incarnation became known; the default value if it
  /// is the first one.
  time_point incarnation_known_at() const { return incarnation_known_at_; }
  /// Returns whether the registry entry describes the current incarnation, as
  /// far as is known.
  bool IsDescribed() const {
    return !AreDifferentIncarnations(incarnation, description_.incarnation);
  }

  /// Grants a lease. Returns its end, `lease` from now on the VM's clock, or
  /// nothing if the VM has not answered yet.
  std::optional<duration> Grant(duration lease, time_point now);
  /// Returns whether no task can be running on the VM because every lease that
  /// was granted to it has expired on its clock.
  bool IsLeaseExpired(time_point now) const { return now >= lease_expires_at_; }
  /// Returns the latest time at which the last lease expires.
  time_point lease_expires_at() const { return lease_expires_at_; }
  /// Returns when a lease was last granted on the current clock; the default
  /// value if none was.
  time_point granted_at() const { return granted_at_; }
  /// Takes leases into account that another owner granted until `until`.
  void AssumeLease(time_point until);
  /// Marks the VM as not heard from: all its runs have ended.
  void MarkLeaseExpired() { has_answered_ = false; }

  vm_incarnation incarnation;
  /// Starts that were not answered, including those whose runs have ended.
  std::map<task_name, unanswered_start> unanswered_starts;
  /// The highest number of an end that was processed, and the highest one that
  /// may be acknowledged.
  std::uint64_t processed_through = 0;
  std::uint64_t acknowledged_through = 0;
  /// Ends that may be acknowledged once a batch is stored: pairs of the number
  /// of the end and the number of the batch.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored_ends;
  /// Since when an end of an unknown job blocks the processing of later ends.
  std::optional<time_point> unknown_end_since;

  /// Runs whose ends are in the last listing and have not been processed.
  std::map<task_name, std::uint32_t> unprocessed_ends;

  /// When the last listing arrived that was checked for tasks that hang or must
  /// be throttled.
  time_point checked_at;
  /// No task starts on the VM before this time.
  time_point avoid_until;
  std::uint32_t failures_in_row = 0;
  std::set<job_id> failing_jobs;
  bool is_registered = true;
  /// When the last report of its capacity expires; empty if it does not expire.
  std::optional<time_point> trusted_until;
  /// Whether a listing of the VM has been processed completely.
  bool is_reconciled = false;
  /// Whether a record that the VM is in use is stored or being stored.
  bool is_recorded = false;
  bool is_record_due = true;
  /// Whether the VM is being emptied for maintenance, and since when.
  bool is_closed = false;
  time_point closed_at;

  /// The state with which the VM is in the index, and the lists that contain
  /// it.
  vm_index_entry indexed;
  vm_index_slots index_slots;
  /// The lists are those of an earlier description.
  bool has_new_description = true;
  /// See `vm_table`.
  bool is_changed = false;
  bool is_due = false;
  std::optional<time_point> next_check_at;

 private:
  std::uint32_t number_;
  job_vms* job_vms_;
  vm_description description_;
  std::map<task_name, run_state> runs_;
  void Count(const run_state& run, int change);
  bool HasRunsOf(const job_id& job) const;

  resources used_;
  int unknown_job_runs_ = 0;
  int long_running_ = 0;
  int latency_sensitive_ = 0;
  int newly_started_ = 0;
  int newly_started_suspects_ = 0;
  bool has_answered_ = false;
  std::uint32_t unanswered_ = 0;
  time_point last_answer_at_;
  duration clock_sample_ = duration::zero();
  time_point granted_at_;
  time_point lease_expires_at_;
  time_point incarnation_known_at_;
};

/// Orders VMs by when they became known.
struct by_number {
  bool operator()(const vm_state* a, const vm_state* b) const {
    return a->number() < b->number();
  }
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_STATE_H_
