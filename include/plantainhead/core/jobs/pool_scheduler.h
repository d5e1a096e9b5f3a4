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

/// The limits and timeouts of a `pool_scheduler`.
struct scheduler_settings {
  /// How long a VM may run tasks without hearing from the owner. It must be
  /// longer than the time between the last hold of an owner that is killed and
  /// the first one of its replacement, so that the tasks survive: 1 s for the
  /// hold, 2.4 s for the time to live of a member, 0.7 s for a renewal of
  /// another one, and the takeover itself. It must not be longer than
  /// necessary, because a new owner waits as long for VMs that do not answer.
  duration lease = std::chrono::milliseconds(4500);
  /// How long a hold waits for a task to end. Holds renew the lease.
  duration hold_wait = std::chrono::milliseconds(1000);
  /// The wait of a hold if the VM has latency-sensitive tasks, whose tail
  /// latency must be monitored.
  duration watch_wait = std::chrono::milliseconds(500);
  /// The wait of a hold while the VM is in the crash window of a suspected
  /// task. No other task starts there until it has passed.
  duration suspect_wait = std::chrono::milliseconds(200);
  /// A run that the VM still lists this long after its start is not considered
  /// the cause of a crash of the VM.
  duration crash_window = std::chrono::milliseconds(100);
  /// The time after which a stop that was not answered is sent again.
  duration stop_retry = std::chrono::milliseconds(400);
  /// The time after which a task whose VM has received a stop has ended.
  duration stop_time = std::chrono::milliseconds(1000);
  /// A task is considered hung if its progress has not changed for this long,
  /// over at least two listings, and for longer than it may take by its
  /// estimate or its earlier progress. A healthy task that takes at most 1 s
  /// ends before this limit.
  duration hang_limit = std::chrono::milliseconds(2500);
  /// How long a VM that fails every task gets no new ones.
  duration quarantine = std::chrono::seconds(4);
  /// The number of consecutive failures, of at least two jobs, after which a VM
  /// is quarantined.
  std::uint32_t quarantine_failures = 3;
  /// How long a failed task avoids the VM on which it failed. After that the
  /// same VM may run it again: if each VM may hold at most one task of the
  /// step, no other VM may be available. A VM that fails all tasks is
  /// quarantined by then.
  duration failed_vm_avoidance = std::chrono::milliseconds(1000);
  /// How long a VM that rejected an order for a transient reason gets no new
  /// ones.
  duration refusal_pause = std::chrono::milliseconds(300);
  /// The maximum age of the cancellations that are known when a task starts.
  /// Callers may rely on it that no task of a job starts more than 3 s after
  /// its cancellation was stored. The cancellations of an idle partition are up
  /// to 1 s old, or 2 s if a read hangs, plus the time of two responses of the
  /// store (0.8 s when it is very slow).
  duration max_cancellation_age = std::chrono::milliseconds(2600);
  /// The maximum number of runs on all VMs together. Tasks that need no
  /// resources would otherwise take memory without limit.
  std::size_t max_runs = 30000;
  /// How long the tasks of a closed VM may run before they are stopped. Most
  /// tasks take at most 1 s, so that they end without losing work.
  duration empty_limit = std::chrono::milliseconds(2000);
};

/// What a new owner must assume about the previous owner.
struct takeover_bounds {
  /// From this time on no other owner sends orders. Jobs that are first read
  /// later cannot have been started by an earlier owner.
  time_point exclusive_from;
  /// The time by which every lease that an earlier owner granted has expired,
  /// for VMs that `lease_ends` does not contain.
  time_point default_lease_end;
  /// The times by which the leases of these VMs have expired.
  std::map<vm_id, time_point> lease_ends;
};

/// The progress of a takeover. Before a new owner starts tasks that an earlier
/// owner may have started, each VM must have listed its runs, or its lease must
/// have expired.
struct takeover_wait {
  bool is_over = false;
  /// The number of pending VMs that are in the registry.
  std::uint32_t registered = 0;
  /// The number of pending VMs that are only known from the records of an
  /// earlier owner.
  std::uint32_t unregistered = 0;
  /// One of the pending VMs.
  vm_id vm;
};

/// A VM that lists a running or ended task of an unknown job.
struct unknown_job_vm {
  vm_id vm;
  bool is_registered = false;
  /// The last hold of the VM was answered.
  bool is_reachable = false;
};

/// Counters and gauges of a `pool_scheduler`.
struct scheduler_counts {
  std::size_t open_jobs = 0;
  std::uint64_t waiting_tasks = 0;
  std::uint64_t placed_tasks = 0;
  std::uint64_t starts = 0;
  std::uint64_t lease_expired_runs = 0;
  /// Runs that were on a VM when it was lost, including those whose lease
  /// expired.
  std::uint64_t lost_runs = 0;
  std::uint64_t failed_runs = 0;
  std::uint64_t hung_runs = 0;
  /// The number of visits of VMs, individually or in a scan. It shows whether
  /// the work is proportional to the number of changes or to the size of the
  /// pool.
  std::uint64_t visited_vms = 0;
  /// The number of visits of steps in search of tasks to start.
  std::uint64_t visited_steps = 0;
  /// Jobs that start no further tasks since their progress would not fit into a
  /// record of the store.
  std::size_t full_jobs = 0;
};

/// Reports a run that was lost with its VM.
struct lost_run {
  run_ref run;
  loss_kind kind = loss_kind::kCrashAtStart;
  vm_incarnation incarnation = std::nullopt;

  bool operator==(const lost_run&) const = default;
};

/// Reports that a VM has restarted under its id, with what the next incarnation
/// may have received that was meant for the former one.
struct vm_restart {
  vm_id vm;
  vm_incarnation incarnation;
  vm_incarnation former_incarnation;
  /// Runs that either incarnation may have accepted.
  std::size_t uncertain_runs = 0;
  /// When a lease was last granted on the former clock; the default value if
  /// none was.
  time_point granted_at;
  /// The highest number of an end that the holds have acknowledged.
  std::uint64_t acknowledged_through = 0;

  bool operator==(const vm_restart&) const = default;
};

/// Decides which task runs on which VM of one pool.
/// It does no I/O: events and times are passed in, and orders are returned. It
/// guarantees the following, although orders may be lost or carried out late:
/// - At most one run of a task can be active. A run that may be active is
///   considered ended when the VM lists its end; when a listing lacks the run
///   and was requested after the VM had confirmed a stop of it; when another
///   incarnation of the VM answers; or when the lease of the VM has expired.
/// - A VM never holds more than its capacity. A run keeps its share until it is
///   considered ended.
/// - An end is acknowledged to the VM only after its record is stored.
/// - If VMs crash repeatedly under a task, the task is given up and its job
///   fails. Losses are recorded, so that the next owner continues the count.
/// - A VM is used only after its record is stored, so that the next owner
///   queries it even if the registry has lost it.
/// Not thread-safe.
class pool_scheduler {
 public:
  pool_scheduler(const scheduler_settings& settings,
                 const takeover_bounds& takeover);
  pool_scheduler(const pool_scheduler&) = delete;
  pool_scheduler& operator=(const pool_scheduler&) = delete;
  ~pool_scheduler();

  /// Adds a job. Does nothing if the job is known. Jobs that are added before
  /// the first `UpdateVms` belong to an earlier owner. `now` determines whether
  /// an earlier owner may have started the job; its target latency is measured
  /// from `age` before `now`. `progress` is what an earlier owner recorded.
  /// Precondition: `spec` is valid.
  void AddJob(std::shared_ptr<const job_spec> spec,
              const queue_policy& policy,
              time_point now,
              duration age = duration::zero(),
              const job_progress& progress = {});
  /// Records that all jobs that were accepted by `through` have been added, or
  /// added as ended. A VM may list a task of a job that has not been read yet.
  /// It is certain that there is no such job only after this method was called
  /// with a later time.
  void NoteJobsRead(time_point through);
  /// Records that all cancellations that were stored by `through` have been
  /// passed on. Until the first call their age is not limited. Without the
  /// limit an owner whose renewals succeed while its reads hang would start
  /// tasks of jobs that were cancelled long before. See
  /// `scheduler_settings::max_cancellation_age`.
  void NoteCancellationsRead(time_point through);
  /// Returns whether the known cancellations are recent enough to start tasks.
  bool MayStart(time_point now) const;
  /// Returns whether a start of a task of the job that was ordered earlier may
  /// be sent now: the job is known and has not ended.
  bool MayStillStart(const job_id& job, time_point now) const;
  /// Returns a VM that lists a task of an unknown job, if there is one.
  std::optional<unknown_job_vm> FindUnknownJob() const;
  /// Records a job that ended under an earlier owner. VMs may still list its
  /// runs.
  void AddEndedJob(const job_id& id);
  /// Records an accepted job that is added later, when there is memory for it.
  /// Its runs continue, and their ends are not acknowledged before that.
  void AddUnopenedJob(const job_id& id);
  /// Returns the unopened jobs of which VMs list tasks.
  std::vector<job_id> ListedUnopenedJobs() const;
  /// Restores the state that an earlier owner recorded. Precondition: the job
  /// was added, and none of its tasks has been started since.
  void RestoreJob(const job_id& id, const job_progress& progress);
  void SetPolicy(const queue_id& queue, const queue_policy& policy);
  /// Cancels a job and its tasks. Returns false, and changes nothing, if the
  /// job is unknown or has ended.
  bool CancelJob(const job_id& id);

  /// Restores the VMs that an earlier owner has recorded as vacant: they run no
  /// task and will never accept another one. The scheduler does not wait for
  /// them; the registry lists some of them for seconds after they are gone.
  /// Preconditions: called before `AddKnownVm`; the VMs are closed before the
  /// first plan.
  void RestoreVacantVms(std::set<vm_id> vms);
  /// Adds a VM that an earlier owner may have used, whether or not the registry
  /// lists it. Precondition: called before the first `UpdateVms`.
  void AddKnownVm(const known_vm& vm);
  /// Replaces the list of registered VMs. A VM that is no longer in the list
  /// gets no new tasks, and it is removed once no task can be running on it.
  void UpdateVms(const std::vector<vm_description>& vms, time_point now);
  /// Adds or updates one registered VM. Precondition: `UpdateVms` was called.
  void UpdateVm(const vm_description& vm, time_point now);
  /// Removes one VM from the list of registered VMs; see `UpdateVms`.
  void UnregisterVm(const vm_id& vm);
  /// Sets the time until which the VM's report of its capacity is valid; see
  /// `report_validity`. No task starts on the VM after that.
  void NoteReport(const vm_id& vm, time_point trusted_until);
  /// Like `NoteReport`, for several VMs.
  void NoteReports(const std::map<vm_id, time_point>& trusted_until);
  /// Closes a VM so that it can be emptied: it gets no new tasks, and its
  /// long-running tasks are moved as their steps permit.
  void CloseVm(const vm_id& vm, time_point now);
  /// Returns when the VM was closed, or nothing if it is not closed.
  std::optional<time_point> ClosedAt(const vm_id& vm) const;
  /// Reverts `CloseVm`.
  void OpenVm(const vm_id& vm);
  /// Returns the used and the requested resources of the pool, as of the last
  /// plan. Jobs that are late are not included in the demand.
  pool_load Load(const pool_id& pool, time_point now) const;
  /// Returns up to `count` VMs of the pool that have no long-running task,
  /// those with the most free processor time first.
  std::vector<vm_id> LeastUsed(const pool_id& pool, std::size_t count) const;
  /// Returns whether the VM is known, has listed all its tasks, and has neither
  /// a run nor an end that has not been processed.
  bool IsEmpty(const vm_id& vm) const;
  /// Returns the time by which the lease of each VM that may be running tasks
  /// has expired, for the next owner.
  std::map<vm_id, time_point> LeaseEnds() const;
  /// Returns the VMs that need a hold, including those that are no longer
  /// registered. Copies them all.
  std::vector<vm_description> Vms() const;
  /// Returns one of `Vms()`, or null. The pointer is valid until the next call
  /// of a non-const method.
  const vm_description* FindVm(const vm_id& vm) const;
  /// Returns the current incarnation of the VM; empty if it is unknown.
  vm_incarnation IncarnationOf(const vm_id& vm) const;
  /// Returns the VMs that have been added to `Vms`, removed from it, or whose
  /// description has changed since the last call. A VM may occur twice.
  std::vector<vm_id> TakeVmChanges();
  /// Returns the closed VMs that were empty (see `IsEmpty`) in a plan since the
  /// last call. A VM may occur twice.
  std::vector<vm_id> TakeEmptied();

  void OnStartAnswer(const run_ref& target,
                     start_result result,
                     time_point now);
  void OnStopAnswer(const run_ref& target, bool is_answered, time_point now);
  /// Processes the answer to a hold. An outdated listing, which the VM made
  /// before one that was already processed, is ignored. Precondition: `sent_at`
  /// is when the hold was sent.
  void OnListing(const vm_id& vm,
                 time_point sent_at,
                 const run_listing& listing,
                 time_point now);
  /// Handles a hold that received no valid answer. Returns false if the failure
  /// is ignored: the hold was sent before the current incarnation of the VM
  /// became known, and may have failed with an earlier one. Precondition:
  /// `sent_at` is when the hold was sent, or empty if it is unknown.
  bool OnHoldUnanswered(const vm_id& vm,
                        std::optional<time_point> sent_at = std::nullopt);
  /// Handles an answer of a VM with another id at the address of the VM: all
  /// runs of the known incarnation have ended. Returns false if the answer is
  /// ignored: the call was sent before that incarnation became known.
  /// Precondition: `sent_at` is when the call was sent, or empty if it is
  /// unknown.
  bool OnReplaced(const vm_id& vm,
                  time_point now,
                  std::optional<time_point> sent_at = std::nullopt);
  /// Handles the rejection of an order by a VM that a newer owner has fenced.
  void OnFenced() { is_fenced_ = true; }

  /// Returns the current response time of VMs while it exceeds its limit,
  /// otherwise zero. More frequent holds would only delay the responses
  /// further.
  duration AnswerDelay() const;
  /// Returns whether the last plan ordered as many starts as may be in flight,
  /// so that an answer permits more of them.
  bool IsStartWindowFull() const;
  /// Returns the parameters of the next hold, and grants the lease in it.
  hold_parameters NextHold(const vm_id& vm, time_point now);
  /// Returns the orders to send now. `wall_now` is used only for due times.
  std::vector<vm_order> Plan(time_point now, time_point wall_now);

  /// Returns the runs that were lost with their VMs since the last call, for
  /// reports.
  std::vector<lost_run> TakeLosses();
  /// Returns the restarts of VMs that were found since the last call, for
  /// reports.
  std::vector<vm_restart> TakeRestarts();
  /// Returns the next batch to store, if there is one.
  std::optional<progress_batch> TakeBatch();
  /// Precondition: batches are stored in the order of their numbers.
  void OnBatchStored(const progress_batch& batch);

  /// Returns the VMs that the takeover waits for, as of the last plan.
  takeover_wait TakeoverWait(time_point now) const;
  /// Returns whether a newer owner was detected. No more orders may be sent
  /// then.
  bool IsFenced() const { return is_fenced_; }
  scheduler_counts Counts() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
  bool is_fenced_ = false;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_POOL_SCHEDULER_H_
