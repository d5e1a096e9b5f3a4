#ifndef PLANTAINHEAD_CORE_JOBS_MAINTENANCE_SCHEDULER_H_
#define PLANTAINHEAD_CORE_JOBS_MAINTENANCE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Action: ask the pool's owner to drain the VM and give it no new tasks.
struct close_vm {
  vm_id vm;
};

/// Action: revoke `close_vm`, since the VM's incarnation has ended or it is not
/// to be serviced.
struct release_vm {
  vm_id vm;
};

/// Action: service the host now. Tasks that run on it are terminated.
struct service_host {
  std::uint64_t wave = 0;
  host_id host;
};

/// Action: report that all hosts of the wave have been taken down for service.
struct complete_wave {
  std::uint64_t wave = 0;
};

/// Action: record that the host was taken down for service, although no answer
/// to its order has said so.
struct record_service {
  std::uint64_t wave = 0;
  host_id host;
};

using wave_action = std::
    variant<close_vm, release_vm, service_host, record_service, complete_wave>;

/// A change of the progress of a host, for logs.
struct host_phase_change {
  std::uint64_t wave = 0;
  host_id host;
  host_phase from = host_phase::kDue;
  host_phase to = host_phase::kDue;
  /// The incarnation that is being drained or was ordered; may be empty.
  vm_id vm;
  /// What the last list showed: the state, the incarnation and when the list
  /// was requested. Empty if no list has contained the host.
  std::optional<host_state> listed_state;
  vm_id listed_vm;
  time_point listed_at;
};

/// Outcome of an order to service a host.
enum class service_result {
  /// The service has begun, or was already done.
  kAccepted,
  /// The service has not begun with this order; retry later. This does not tell
  /// whether it has begun with an earlier order.
  kTemporaryFailure,
  /// The host cannot be serviced in this wave.
  kPermanentFailure,
  /// The service may have begun, or may begin later.
  kUnknown,
};

/// Pace and time limits of maintenance waves.
struct maintenance_settings {
  /// Number of hosts that are drained ahead of time, so that one is ready as
  /// soon as another returns. Each costs its pool one VM meanwhile.
  std::uint32_t drained_ahead = 1;
  /// Time from closing a host until it is seen to be back: up to 2 s to drain
  /// it, 2 s of service, and a fleet list every 0.6 s.
  duration cycle = std::chrono::milliseconds(5000);
  /// Fraction of the wave's time limit within which the wave should be done.
  double deadline_share = 0.8;
  /// An order that may not have arrived is sent again after this time. Orders
  /// are idempotent.
  duration order_retry = std::chrono::seconds(1);
  /// A host that a list still shows up in the same incarnation, requested this
  /// long after an order was accepted, was serviced before that order.
  duration service_visible_limit = std::chrono::seconds(3);
  /// A host is considered to have left permanently if fleet lists have omitted
  /// it for this time, measured from the first such list to the last. Racks
  /// that lose power return within 8 s.
  duration missing_limit = std::chrono::seconds(10);
};

/// Decides when hosts are drained and serviced, for all maintenance waves. Pure
/// and not thread-safe.
class maintenance_scheduler {
 public:
  explicit maintenance_scheduler(const maintenance_settings& settings)
      : settings_(settings) {}

  /// Adds a wave; a known one is not changed. Returns whether it is new.
  /// Progress that was noted for the wave before it was added has been ignored.
  bool AddWave(const maintenance_wave& wave);
  /// Notes progress that an earlier scheduler recorded. It is applied also to a
  /// host that is already being drained.
  void NoteServiced(std::uint64_t wave, const host_id& host);
  void NoteCompleted(std::uint64_t wave);
  /// Replaces the list of hosts, which was requested at `requested_at`. `spare`
  /// are the pools whose VMs run no tasks.
  void UpdateHosts(const std::vector<fleet_host>& hosts,
                   const std::set<pool_id>& spare,
                   time_point requested_at);
  /// Replaces the set of pools that have fewer VMs than they want.
  void UpdateUndersized(std::set<pool_id> pools) {
    undersized_ = std::move(pools);
  }
  /// Replaces the set of VMs that are recorded as closed for service.
  void UpdateClosed(const std::set<vm_id>& vms);
  /// Like `UpdateClosed`, for one VM.
  void NoteClosed(const vm_id& vm, bool is_closed);
  /// Replaces the set of VMs that have been drained.
  void UpdateEmpty(std::set<vm_id> empty) { empty_ = std::move(empty); }
  /// Like `UpdateEmpty`, for one VM.
  void NoteEmpty(const vm_id& vm, bool is_empty);
  /// Replaces the set of hosts that an earlier scheduler may have ordered and
  /// that must not be ordered yet.
  void UpdateBlocked(std::set<host_id> hosts) { blocked_ = std::move(hosts); }
  /// Handles the answer to a service order. It speaks of this order only; what
  /// an earlier one without an answer has done is decided by lists.
  void OnServiceAnswer(std::uint64_t wave,
                       const host_id& host,
                       service_result result,
                       time_point now);
  /// Returns whether a planned order that has not been sent yet would still
  /// find the incarnation that was drained for it. If not, it must not be sent
  /// and counts as answered with `kTemporaryFailure`.
  bool MayService(const service_host& order) const;

  std::vector<wave_action> Plan(time_point now);
  /// Returns the changes of phases since the last call.
  std::vector<host_phase_change> TakePhaseChanges() {
    return std::exchange(phase_changes_, {});
  }
  /// Returns the hosts that are being drained or serviced.
  std::set<host_id> BusyHosts() const;
  /// Returns whether a wave is not complete or a host has not returned yet, so
  /// that the fleet list must be read.
  bool HasWork() const;

 private:
  struct listed_host;
  struct host_progress {
    host_phase phase = host_phase::kDue;
    /// The incarnation that is being drained or was terminated.
    vm_id vm;
    bool is_order_in_flight = false;
    /// An order for this incarnation was not answered.
    bool may_have_begun = false;
    /// When the last answer arrived, or was given up.
    time_point answered_at;
    time_point next_order_at;
    /// When the service order was accepted.
    time_point accepted_at;
    /// A list requested after that time showed the host in service.
    bool was_seen_down = false;
    /// Null until the host is first found in a list.
    const listed_host* listed = nullptr;
  };
  struct fleet_wave {
    maintenance_wave wave;
    std::map<host_id, host_progress> hosts;
    bool is_complete = false;
  };
  struct listed_host {
    fleet_host host;
    time_point last_listed;
    /// Request time of the first list after `last_listed`, which omitted the
    /// host.
    std::optional<time_point> unlisted_since;
  };
  /// A host that is up and may be closed next.
  struct due_host {
    host_progress* progress = nullptr;
    const fleet_host* host = nullptr;
    /// Number of VMs of its pool that are being drained or are down.
    std::uint32_t* busy = nullptr;
  };
  using due_iterator = std::vector<due_host>::iterator;

  void PlanWave(fleet_wave* wave,
                time_point now,
                std::vector<wave_action>* actions);
  void NoteReturns(fleet_wave* wave, std::vector<wave_action>* actions);
  /// Decides from the current list what became of orders without an answer.
  void ResolveOrders(fleet_wave* wave, std::vector<wave_action>* actions);
  void OrderServices(fleet_wave* wave,
                     time_point now,
                     std::vector<wave_action>* actions);
  void Complete(fleet_wave* wave, std::vector<wave_action>* actions);
  /// Returns whether the service of a host that is down has ended.
  bool IsBack(const host_progress& progress, const listed_host& listed) const;
  /// Returns whether a service of the host may belong to another wave.
  bool MayBelongToOther(std::uint64_t wave, const host_id& host) const;
  /// Returns whether the host is in service or may soon be.
  bool MayBeDown(const host_id& host,
                 const host_progress& progress,
                 const listed_host* listed) const;
  /// Returns whether the host is up in the incarnation that was drained.
  bool IsDrained(const host_progress& progress,
                 const listed_host& listed) const;
  /// Sets the phase and notes the change for logs.
  void SetPhase(std::uint64_t wave,
                const host_id& host,
                host_progress* progress,
                host_phase phase);
  /// Makes the host due again, in another incarnation.
  void Restart(std::uint64_t wave,
               const host_id& host,
               host_progress* progress,
               std::vector<wave_action>* actions);
  const listed_host* FindHost(const host_id& host) const;
  const listed_host* FindHost(const host_id& host, host_progress* progress);
  bool IsMissing(const listed_host* listed) const;
  std::map<pool_id, std::uint32_t> CountBusy();
  void CloseNext(fleet_wave* wave,
                 time_point now,
                 std::vector<wave_action>* actions);
  std::uint32_t RequiredConcurrency(const fleet_wave& wave,
                                    time_point now) const;
  bool RunsTasks(const fleet_host& host) const;
  std::vector<due_host> DueHosts(fleet_wave* wave,
                                 std::map<pool_id, std::uint32_t>* busy);
  due_iterator FindNext(std::vector<due_host>* due,
                        bool only_spare,
                        bool protect_undersized) const;
  due_iterator FindClosed(std::vector<due_host>* due) const;
  bool IsReady(const host_progress& progress, const fleet_host& host) const;
  std::set<vm_id> NeededVms() const;
  /// Returns whether the current list shows that the VM is needed.
  bool IsConfirmedNeeded(const vm_id& vm) const;
  void ReleaseUnneeded(std::vector<wave_action>* actions);
  void Release(const vm_id& vm, std::vector<wave_action>* actions);

  maintenance_settings settings_;
  std::map<std::uint64_t, fleet_wave> waves_;
  /// Elements are referenced by pointer and never erased.
  std::map<host_id, listed_host> hosts_;
  std::unordered_map<vm_id, host_id> host_of_vm_;
  std::set<pool_id> spare_;
  std::set<pool_id> undersized_;
  std::set<vm_id> closed_;
  /// VMs that were released but are still recorded as closed.
  std::set<vm_id> released_;
  std::set<vm_id> empty_;
  std::set<host_id> blocked_;
  std::vector<host_phase_change> phase_changes_;
  time_point first_requested_at_;
  time_point requested_at_;
  bool is_listed_ = false;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_MAINTENANCE_SCHEDULER_H_
