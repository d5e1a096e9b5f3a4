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
  resources room;
  time_point ordered_at;
  /// Since when the VM is known to have taken the run.
  std::optional<time_point> confirmed_at;
  bool is_start_in_flight = false;
  /// The life of the VM that it is on has listed it.
  bool is_listed = false;
  /// The life of the VM in which it was ordered, if another one has begun
  /// before it was listed: either may have taken it.
  life_mark former_life;
  /// It began a short while ago, as far as is known: if the VM crashes, it is
  /// the likeliest cause.
  bool is_fresh = true;
  /// Its task may be one that crashes its VMs.
  bool is_suspected = false;
  /// Since when the VM may or may not have taken the run: its start had no
  /// answer, and no later listing has told.
  std::optional<time_point> unsettled_since;
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

  bool IsForeign() const { return step == nullptr; }
  bool IsLasting() const { return step != nullptr && step->lasting; }
  bool IsServing() const {
    return step != nullptr && step->latency_target > duration::zero();
  }
};

/// A start that had no answer: it may be carried out late, also by another life
/// of the VM.
struct unanswered_start {
  std::uint32_t run = 0;
  time_point given_up_at;
};

class taker_list;
struct pool_figures;

/// How far a VM is on its way to taking tasks; see `vm_stage_counts`.
enum class vm_stage {
  /// The registry doesn't list it.
  kGone,
  kClosed,
  kUnheard,
  kUnrecorded,
  kUntrusted,
  kTaking,
};

/// What a VM adds to the figures of its pool; see `vm_index`.
struct vm_figures {
  /// Null: it isn't counted.
  pool_figures* pool = nullptr;
  vm_stage stage = vm_stage::kGone;
  bool is_usable = false;
  resources capacity;
  resources free;
  /// See `taker_list`.
  std::size_t kind = 0;
  std::size_t starts_under_way = 0;

  bool operator==(const vm_figures&) const = default;
};

/// Where `vm_index` lists a VM, by its description.
struct vm_places {
  pool_figures* pool = nullptr;
  /// For the VM while it takes tasks.
  std::vector<taker_list*> takers;
  /// Null: it is in no rack.
  std::size_t* takers_in_rack = nullptr;
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
  /// Adds a run that takes `room`.
  run_state& Add(const task_name& task, const run_state& run);
  void Erase(const task_name& task);
  void ClearRuns();
  resources Free() const { return description_.capacity - used_; }
  /// Returns whether the VM, as it is and as the registry tells of it, may take
  /// tasks.
  bool IsUsable() const {
    return is_listed && IsDescribed() && is_settled && IsReachable() &&
           !is_closed && !description_.draining;
  }
  /// Returns whether what it told of its capacity still holds.
  bool IsTrusted(time_point now) const {
    return !trusted_until || now <= *trusted_until;
  }
  /// Returns whether it has told all, and holds neither a run nor the end of
  /// one that isn't taken in.
  bool IsEmpty() const {
    return is_heard_ && is_settled && runs_.empty() && untaken_ends.empty();
  }
  /// Counted, since every placement asks.
  bool HasForeign() const { return foreign_ > 0; }
  bool HasLasting() const { return lasting_ > 0; }
  bool HasServing() const { return serving_ > 0; }
  bool HasFresh() const { return fresh_ > 0; }
  bool HasFreshSuspect() const { return fresh_suspects_ > 0; }
  /// Notes that the VM, which holds the run, lives on with it.
  void MarkOutlived(run_state* run);

  /// Notes that the VM answered: its clock, and when the answer came.
  void Hear(duration vm_clock, time_point now);
  void NoteUnanswered() { ++unanswered_; }
  bool IsHeard() const { return is_heard_; }
  /// True when the last call had an answer.
  bool IsReachable() const { return is_heard_ && unanswered_ == 0; }
  time_point last_heard() const { return last_heard_; }
  /// Returns what the VM's clock was when it was last heard; zero before that.
  duration last_clock() const { return clock_sample_; }

  /// Forgets what only holds for the life before; runs and leases are kept.
  void BeginLife(const life_mark& born, time_point now);
  /// When the VM's present life was first known; before that it is the first.
  time_point life_known_at() const { return life_known_at_; }
  /// Returns whether the registry's entry is of the present life, as far as is
  /// told.
  bool IsDescribed() const { return !AreOtherLives(born, description_.born); }

  /// Returns a time on the VM's clock, `lease` from now, up to which an order
  /// may let it run tasks, and remembers it. Nothing before it was heard.
  std::optional<duration> Grant(duration lease, time_point now);
  /// Returns whether nothing can be running on the VM, since no lease that was
  /// ever granted to it is still running on its clock.
  bool IsLapsed(time_point now) const { return now >= lapse_at_; }
  /// Returns when the last lease is over at the latest.
  time_point lapse_at() const { return lapse_at_; }
  /// Counts leases that somebody else granted until `until`.
  void AssumeLease(time_point until);
  /// Forgets that the VM was heard: all that ran on it is over.
  void MarkLapsed() { is_heard_ = false; }

  life_mark born;
  /// Starts that had no answer, also those whose runs are over by now.
  std::map<task_name, unanswered_start> unanswered_starts;
  /// Ends: the greatest number that was taken in, and what may be acknowledged.
  std::uint64_t taken_through = 0;
  std::uint64_t acknowledged_through = 0;
  /// Ends that wait for their batch of records to be stored.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored_ends;
  /// Since when an end of an unknown job holds back the later ones.
  std::optional<time_point> unknown_end_since;

  /// Runs whose ends the last listing told and that aren't taken in.
  std::map<task_name, std::uint32_t> untaken_ends;

  /// Which listing was last looked through for tasks that hang or must be
  /// paced.
  time_point checked_at;
  /// No starts before this time.
  time_point avoid_until;
  std::uint32_t failures_in_row = 0;
  std::set<job_id> failing_jobs;
  bool is_listed = true;
  /// Until when what it told of its capacity is gone by; nothing: always.
  std::optional<time_point> trusted_until;
  /// A listing of it has been taken in completely.
  bool is_settled = false;
  /// A record that it is used is stored, or is on its way.
  bool is_recorded = false;
  bool is_record_due = true;
  /// Being emptied for maintenance, and since when.
  bool is_closed = false;
  time_point closed_at;

  /// As it was last taken into the index, and where.
  vm_figures indexed;
  vm_places places;
  /// The places are those of an earlier description.
  bool has_new_description = true;
  /// See `vm_table`.
  bool is_changed = false;
  bool is_due = false;
  std::optional<time_point> wake_at;

 private:
  std::uint32_t number_;
  job_vms* job_vms_;
  vm_description description_;
  std::map<task_name, run_state> runs_;
  void Count(const run_state& run, int change);
  bool HasRunsOf(const job_id& job) const;

  resources used_;
  int foreign_ = 0;
  int lasting_ = 0;
  int serving_ = 0;
  int fresh_ = 0;
  int fresh_suspects_ = 0;
  bool is_heard_ = false;
  std::uint32_t unanswered_ = 0;
  time_point last_heard_;
  duration clock_sample_ = duration::zero();
  time_point lapse_at_;
  time_point life_known_at_;
};

/// Orders VMs as they became known.
struct by_number {
  bool operator()(const vm_state* a, const vm_state* b) const {
    return a->number() < b->number();
  }
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_STATE_H_
