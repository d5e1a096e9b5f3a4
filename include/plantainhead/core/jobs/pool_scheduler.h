#ifndef PLANTAINHEAD_CORE_JOBS_POOL_SCHEDULER_H_
#define PLANTAINHEAD_CORE_JOBS_POOL_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/orders.h"
#include "plantainhead/core/jobs/pool_sizer.h"
#include "plantainhead/core/jobs/run_loss.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Limits and waits of a `pool_scheduler`.
struct scheduler_settings {
  /// How long a VM may run tasks without hearing from the owner. After the last
  /// hold (1 s) and the replacement of an owner that was killed (time to live
  /// of a member, 2.4 s, a renewal of another one, 0.7 s, and the takeover) it
  /// must not be over, so that the tasks survive. A new owner waits as long for
  /// VMs that don't answer, so it is no longer than that needs.
  duration lease = std::chrono::milliseconds(4500);
  /// How long a hold waits for an end. Holds keep the lease alive.
  duration hold_wait = std::chrono::milliseconds(1000);
  /// The same beside tasks that serve, whose tail latency must be watched.
  duration watch_wait = std::chrono::milliseconds(500);
  /// The same while a VM hasn't outlived the start of a task that may crash it:
  /// nothing else starts there until then.
  duration suspect_wait = std::chrono::milliseconds(200);
  /// A run that a VM lists this long after it began isn't what crashes the VM.
  duration crash_window = std::chrono::milliseconds(100);
  /// A stop without an answer is sent again after this time.
  duration stop_retry = std::chrono::milliseconds(400);
  /// A task whose percentage stands still this long, over at least two
  /// listings, hangs. A sound task of a second or less ends before.
  duration hang_limit = std::chrono::milliseconds(2500);
  /// A VM that fails every task gets none for this time.
  duration quarantine = std::chrono::seconds(4);
  /// Failures in a row, of at least two jobs, that put a VM under quarantine.
  std::uint32_t quarantine_failures = 3;
  /// A task that failed waits this long for another VM. Then its own may take
  /// it again: where each VM holds at most one task of the step there may be no
  /// other, and one that fails all is set aside by then.
  duration failed_vm_avoidance = std::chrono::milliseconds(1000);
  /// A VM that refused an order for a passing reason gets none for this time.
  duration refusal_pause = std::chrono::milliseconds(300);
  /// Nothing starts while cancellations are known only up to a moment that is
  /// this long ago. A caller may count on it that nothing of its job starts
  /// later than 3 s after its cancellation was stored. What is known of an idle
  /// partition is up to 1 s old, 2 s when a reading hangs, and two answers of
  /// the store more (0.8 s when it is very slow).
  duration max_cancellation_age = std::chrono::milliseconds(2600);
  /// A VM that is to be emptied lets its tasks end for this time, so that most
  /// of them, which take a second or less, lose no work; then it stops them.
  duration empty_limit = std::chrono::milliseconds(2000);
};

/// What a new owner must assume of the one before it.
struct takeover_bounds {
  /// From now on nobody else gives orders: jobs that are first read later can't
  /// have been started by an earlier owner.
  time_point exclusive_from;
  /// By now every lease that an earlier owner granted is over, on VMs for which
  /// nothing else is known.
  time_point default_lease_end;
  /// By now the leases of these are over.
  std::map<vm_id, time_point> lease_ends;
};

/// The VMs for which a new owner waits before it starts what an earlier owner
/// may have started: each must tell what it runs, or its lease must end.
struct takeover_wait {
  bool is_over = false;
  /// VMs that the registry lists.
  std::uint32_t registered = 0;
  /// VMs that are only known from the records of an earlier owner.
  std::uint32_t unregistered = 0;
  /// One of them.
  vm_id vm;
};

/// A VM that runs a task, or has ended one, of a job that isn't known.
struct unknown_job_vm {
  vm_id vm;
  bool is_registered = false;
  /// Its last hold had an answer.
  bool is_reachable = false;
};

/// Figures for reports.
struct scheduler_counts {
  std::size_t open_jobs = 0;
  std::size_t waiting_tasks = 0;
  std::size_t placed_tasks = 0;
  std::uint64_t starts = 0;
  std::uint64_t lease_expired_runs = 0;
  /// Runs that were on a VM when it was lost, the lapsed ones among them.
  std::uint64_t lost_runs = 0;
  std::uint64_t failed_runs = 0;
  std::uint64_t hung_runs = 0;
  /// VMs that were looked at, one by one or in a pass. It tells whether the
  /// work follows what changes or the size of the pool.
  std::uint64_t visited_vms = 0;
};

/// A run that was lost with its VM, for reports.
struct lost_run {
  run_ref run;
  loss_kind kind = loss_kind::kCrashAtStart;
  vm_incarnation incarnation = std::nullopt;

  bool operator==(const lost_run&) const = default;
};

/// Decides for one pool which task runs on which VM.
///
/// Pure: events and times come in, orders come out. The promises it keeps, with
/// orders that may be lost or carried out late:
/// - a task has at most one run that can be alive. A run that may be alive ends
///   by being listed as ended; by a listing without it that was asked for after
///   the VM had confirmed a stop of it; by another life of the VM; or by the
///   end of the VM's lease.
/// - a VM never holds more than its capacity: a run takes its room until then.
/// - an end is acknowledged to the VM only after the record of it is stored.
/// - a task under which VMs crash again and again is given up, and its job
///   fails; losses are recorded, so that the next owner counts on.
/// - a VM is used only after a record of it is stored, so that the next owner
///   asks it, also when the registry has lost it.
/// Not thread-safe.
class pool_scheduler {
 public:
  pool_scheduler(const scheduler_settings& settings,
                 const takeover_bounds& takeover);
  pool_scheduler(const pool_scheduler&) = delete;
  pool_scheduler& operator=(const pool_scheduler&) = delete;
  ~pool_scheduler();

  /// Adds a job; one that is known already is left as it is. Jobs that are
  /// added before the first `UpdateVms` are an earlier owner's. `now` tells
  /// whether an earlier owner may have started the job; its target counts from
  /// `age` before. Precondition: `spec` is valid (see `FindFaults`).
  void AddJob(std::shared_ptr<const job_spec> spec,
              const queue_policy& policy,
              time_point now,
              duration age = duration::zero());
  /// Notes that all jobs that were accepted by then have been added, or noted
  /// as ended. A VM may tell of a job that isn't known yet; only after a later
  /// moment has been noted is it certain that there is no such job.
  void NoteJobsRead(time_point through);
  /// Notes that all cancellations that were stored by then have been passed on.
  /// Until it is first called there is no bound on their age. Without it an
  /// owner whose renewals are answered while its readings hang starts tasks of
  /// jobs that were cancelled long before. See
  /// `scheduler_settings::max_cancellation_age`.
  void NoteCancellationsRead(time_point through);
  /// Returns whether cancellations are known well enough to start tasks.
  bool MayStart(time_point now) const;
  /// Returns whether a start of a task of the job that was ordered before may
  /// be sent now: the job is known and not over.
  bool MayStillStart(const job_id& job, time_point now) const;
  /// Returns a VM that tells of a job that isn't known, if there is one.
  std::optional<unknown_job_vm> FindUnknownJob() const;
  /// Notes a job that ended under an earlier owner. VMs may still list its
  /// runs.
  void AddEndedJob(const job_id& id);
  /// Takes over what an earlier owner recorded. Precondition: the job was added
  /// and nothing of it was started since.
  void RestoreJob(const job_id& id, const job_progress& progress);
  void SetPolicy(const queue_id& queue, const queue_policy& policy);
  /// Ends a job and its tasks. Returns false, and changes nothing, when the job
  /// is unknown or has ended.
  bool CancelJob(const job_id& id);

  /// Takes over the VMs of which an earlier owner has recorded that they run
  /// nothing, and take no task for the rest of their lives: they aren't waited
  /// for. The registry lists some of them for seconds after they are gone.
  /// Preconditions: called before `AddKnownVm`; they are closed before the
  /// first plan.
  void RestoreVacantVms(std::set<vm_id> vms);
  /// Adds a VM that an earlier owner may have used, whether or not the registry
  /// lists it. Precondition: called before the first `UpdateVms`.
  void AddKnownVm(const known_vm& vm);
  /// Replaces the list of the pool's VMs. A VM that is gone from it gets no new
  /// tasks, and is forgotten when nothing can be running on it.
  void UpdateVms(const std::vector<vm_description>& vms, time_point now);
  /// Takes in one VM of the list that is new or described in another way.
  /// Precondition: `UpdateVms` was called.
  void UpdateVm(const vm_description& vm, time_point now);
  /// Takes one VM out of the list; see `UpdateVms`.
  void UnregisterVm(const vm_id& vm);
  /// Takes in until when the VM's report of its capacity is trusted; see
  /// `report_validity`. After that nothing starts there.
  void NoteReport(const vm_id& vm, time_point trusted_until);
  /// The same for several VMs.
  void NoteReports(const std::map<vm_id, time_point>& trusted_until);
  /// Empties a VM: no new tasks, and lasting ones move as their steps allow.
  void CloseVm(const vm_id& vm, time_point now);
  /// Returns since when the VM is closed; nothing if it isn't.
  std::optional<time_point> ClosedAt(const vm_id& vm) const;
  /// Takes back `CloseVm`.
  void OpenVm(const vm_id& vm);
  /// Returns what the pool's tasks take and could take, as of the last plan.
  /// Jobs that are late don't count.
  pool_load Load(const pool_id& pool, time_point now) const;
  /// Returns up to `count` VMs of the pool that hold no lasting task, those
  /// with the least work first.
  std::vector<vm_id> LeastUsed(const pool_id& pool, std::size_t count) const;
  /// Returns whether the VM is known, has told all, and holds neither a run nor
  /// the end of one that isn't taken in.
  bool IsEmpty(const vm_id& vm) const;
  /// Returns by when the lease of each VM that may be running tasks is over,
  /// for the next owner.
  std::map<vm_id, time_point> LeaseEnds() const;
  /// Returns the VMs that need a hold; also those that left the list. Copies
  /// them all.
  std::vector<vm_description> Vms() const;
  /// Returns one of them, or null. It is valid until the next call that isn't
  /// const.
  const vm_description* FindVm(const vm_id& vm) const;
  /// Returns the VMs that have joined `Vms`, have left it, or are described in
  /// another way since the last call. One may come twice.
  std::vector<vm_id> TakeVmChanges();
  /// Returns the closed VMs that were empty at a plan since the last call, as
  /// `IsEmpty` tells. One may come twice.
  std::vector<vm_id> TakeEmptied();

  void OnStartAnswer(const run_ref& target,
                     start_result result,
                     time_point now);
  void OnStopAnswer(const run_ref& target, bool is_answered, time_point now);
  /// A listing that the VM made before one that was taken changes nothing.
  /// Precondition: `sent_at` is when the hold was sent.
  void OnListing(const vm_id& vm,
                 time_point sent_at,
                 const run_listing& listing,
                 time_point now);
  void OnHoldUnanswered(const vm_id& vm);
  /// Another life of the VM answered: all that ran on this one is over.
  void OnReplaced(const vm_id& vm, time_point now);
  /// A VM refused an order because a newer owner holds it.
  void OnFenced() { is_fenced_ = true; }

  /// Returns how long VMs take to answer while that is longer than usual, and
  /// else zero. Holds that follow one another sooner only delay the answers.
  duration AnswerDelay() const;
  /// Returns whether the last plan ordered as many starts as may be under way,
  /// so that an answer lets more begin.
  bool IsStartWindowFull() const;
  /// Returns how to send the next hold, and grants the lease in it.
  hold_parameters NextHold(const vm_id& vm, time_point now);
  /// Returns the orders to send now. `wall_now` is only used for due times.
  std::vector<vm_order> Plan(time_point now, time_point wall_now);

  /// Returns, for reports, the runs that were lost with their VMs since the
  /// last call.
  std::vector<lost_run> TakeLosses();
  /// Returns what has to be stored next, if anything.
  std::optional<progress_batch> TakeBatch();
  /// Precondition: batches are stored in their order.
  void OnBatchStored(const progress_batch& batch);

  /// Returns for which VMs the takeover waits, as of the last plan.
  takeover_wait TakeoverWait(time_point now) const;
  /// True when a newer owner was met. Give no more orders then.
  bool IsFenced() const { return is_fenced_; }
  scheduler_counts Counts() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
  bool is_fenced_ = false;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_POOL_SCHEDULER_H_
