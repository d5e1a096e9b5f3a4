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

/// A run that is, or may be, on a VM. It takes its room until the VM has listed
/// its end or can't be running it any more.
struct run_state {
  std::uint32_t run = 0;
  resources demand;
  time_point ordered_at;
  /// Since when the VM is known to have taken the run.
  std::optional<time_point> confirmed_at;
  bool is_start_in_flight = false;
  /// The life of the VM that it is on has listed it.
  bool is_registered = false;
  /// The life of the VM in which it was ordered, if another one has begun
  /// before it was listed: either may have taken it.
  vm_incarnation former_incarnation;
  /// It began a short while ago, as far as is known: if the VM crashes, it is
  /// the likeliest cause.
  bool is_newly_started = true;
  /// Its task may be one that crashes its VMs.
  bool is_suspected = false;
  /// Since when the VM may or may not have taken the run: its start had no
  /// answer, and no later listing has told.
  std::optional<time_point> start_unknown_since;
  bool is_stop_wanted = false;
  bool is_stop_in_flight = false;
  time_point stop_sent_at;
  std::optional<time_point> stop_answered_at;
  time_point next_stop_at;
  std::uint32_t percent = 0;
  /// When `percent` was last seen to change.
  time_point progressed_at;
  std::int64_t reading = 0;
  /// Share of its speed that it was last told to work at.
  std::uint32_t pace = 100;
  /// What it is a task of; null when its job isn't known here. Steps live as
  /// long as the scheduler.
  const step_spec* step = nullptr;

  bool IsOfUnknownJob() const { return step == nullptr; }
  bool IsLongRunning() const { return step != nullptr && step->long_running; }
  bool IsLatencySensitive() const {
    return step != nullptr && step->latency_target > duration::zero();
  }
};

/// A start that had no answer: it may be carried out late, also by another life
/// of the VM.
struct unanswered_start {
  std::uint32_t run = 0;
  time_point given_up_at;
};

class available_vm_list;
struct pool_vm_index;

/// How far a VM is on its way to taking tasks; see `vm_stage_counts`.
enum class vm_stage {
  /// The registry doesn't list it.
  kUnregistered,
  kClosed,
  kUnheard,
  kUnrecorded,
  kUntrusted,
  kAvailable,
};

/// What a VM adds to the figures of its pool; see `vm_index`.
struct vm_index_entry {
  /// Null: it isn't counted.
  pool_vm_index* pool = nullptr;
  vm_stage stage = vm_stage::kUnregistered;
  bool is_usable = false;
  resources capacity;
  resources free;
  /// See `available_vm_list`.
  std::size_t kind = 0;
  std::size_t starts_in_flight = 0;

  bool operator==(const vm_index_entry&) const = default;
};

/// Where `vm_index` lists a VM, by its description.
struct vm_index_slots {
  pool_vm_index* pool = nullptr;
  /// For the VM while it takes tasks.
  std::vector<available_vm_list*> available;
  /// Null: it is in no rack.
  std::size_t* available_in_rack = nullptr;
};

/// The present life of a VM as its pool's owner sees it. Not thread-safe.
class vm_state {
 public:
  /// `number` tells the VMs of a table apart, in the order in which they became
  /// known. Precondition: `job_vms` outlives it.
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
  /// Adds a run that takes `demand`.
  run_state& Add(const task_name& task, const run_state& run);
  void Erase(const task_name& task);
  void ClearRuns();
  resources Free() const { return description_.capacity - used_; }
  /// Returns whether the VM, as it is and as the registry tells of it, may take
  /// tasks.
  bool IsUsable() const {
    return is_registered && IsDescribed() && is_reconciled && IsReachable() &&
           !is_closed && !description_.draining;
  }
  /// Returns whether what it told of its capacity still holds.
  bool IsTrusted(time_point now) const {
    return !trusted_until || now <= *trusted_until;
  }
  /// Returns whether it has told all, and holds neither a run nor the end of
  /// one that isn't taken in.
  bool IsEmpty() const {
    return has_answered_ && is_reconciled && runs_.empty() &&
           unprocessed_ends.empty();
  }
  /// Counted, since every placement asks.
  bool HasUnknownJobRuns() const { return unknown_job_runs_ > 0; }
  bool HasLongRunning() const { return long_running_ > 0; }
  bool HasLatencySensitive() const { return latency_sensitive_ > 0; }
  bool HasNewlyStarted() const { return newly_started_ > 0; }
  bool HasNewlyStartedSuspect() const { return newly_started_suspects_ > 0; }
  /// Notes that the VM, which holds the run, lives on with it.
  void MarkSurvived(run_state* run);

  /// Notes that the VM answered: its clock, and when the answer came.
  void RecordAnswer(duration vm_clock, time_point now);
  void NoteUnanswered() { ++unanswered_; }
  bool HasAnswered() const { return has_answered_; }
  /// True when the last call had an answer.
  bool IsReachable() const { return has_answered_ && unanswered_ == 0; }
  time_point last_answer_at() const { return last_answer_at_; }
  /// Returns what the VM's clock was when it was last heard; zero before that.
  duration last_clock() const { return clock_sample_; }

  /// Forgets what only holds for the life before; runs and leases are kept.
  void BeginIncarnation(const vm_incarnation& incarnation, time_point now);
  /// When the VM's present life was first known; before that it is the first.
  time_point incarnation_known_at() const { return incarnation_known_at_; }
  /// Returns whether the registry's entry is of the present life, as far as is
  /// told.
  bool IsDescribed() const {
    return !AreDifferentIncarnations(incarnation, description_.incarnation);
  }

  /// Returns a time on the VM's clock, `lease` from now, up to which an order
  /// may let it run tasks, and remembers it. Nothing before it was heard.
  std::optional<duration> Grant(duration lease, time_point now);
  /// Returns whether nothing can be running on the VM, since no lease that was
  /// ever granted to it is still running on its clock.
  bool IsLeaseExpired(time_point now) const { return now >= lease_expires_at_; }
  /// Returns when the last lease is over at the latest.
  time_point lease_expires_at() const { return lease_expires_at_; }
  /// Counts leases that somebody else granted until `until`.
  void AssumeLease(time_point until);
  /// Forgets that the VM was heard: all that ran on it is over.
  void MarkLeaseExpired() { has_answered_ = false; }

  vm_incarnation incarnation;
  /// Starts that had no answer, also those whose runs are over by now.
  std::map<task_name, unanswered_start> unanswered_starts;
  /// Ends: the greatest number that was taken in, and what may be acknowledged.
  std::uint64_t processed_through = 0;
  std::uint64_t acknowledged_through = 0;
  /// Ends that wait for their batch of records to be stored.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored_ends;
  /// Since when an end of an unknown job holds back the later ones.
  std::optional<time_point> unknown_end_since;

  /// Runs whose ends the last listing told and that aren't taken in.
  std::map<task_name, std::uint32_t> unprocessed_ends;

  /// Which listing was last looked through for tasks that hang or must be
  /// paced.
  time_point checked_at;
  /// No starts before this time.
  time_point avoid_until;
  std::uint32_t failures_in_row = 0;
  std::set<job_id> failing_jobs;
  bool is_registered = true;
  /// Until when what it told of its capacity is gone by; nothing: always.
  std::optional<time_point> trusted_until;
  /// A listing of it has been taken in completely.
  bool is_reconciled = false;
  /// A record that it is used is stored, or is on its way.
  bool is_recorded = false;
  bool is_record_due = true;
  /// Being emptied for maintenance, and since when.
  bool is_closed = false;
  time_point closed_at;

  /// As it was last taken into the index, and where.
  vm_index_entry indexed;
  vm_index_slots index_slots;
  /// The places are those of an earlier description.
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
  time_point lease_expires_at_;
  time_point incarnation_known_at_;
};

/// Orders VMs as they became known.
struct by_number {
  bool operator()(const vm_state* a, const vm_state* b) const {
    return a->number() < b->number();
  }
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_STATE_H_
