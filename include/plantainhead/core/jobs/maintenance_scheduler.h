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

/// Ask the pool's owner to empty the VM.
struct close_vm {
  vm_id vm;
};

/// The VM's life is over, or it isn't to be serviced: take `close_vm` back.
struct release_vm {
  vm_id vm;
};

/// Service the host now; what runs on it ends.
struct service_host {
  std::uint64_t wave = 0;
  host_id host;
};

/// All hosts of the wave have been taken down for service.
struct complete_wave {
  std::uint64_t wave = 0;
};

using wave_action =
    std::variant<close_vm, release_vm, service_host, complete_wave>;

/// How an order to service a host went.
enum class service_result {
  /// Begun, or done before.
  kAccepted,
  /// Surely not begun; try again later.
  kTemporaryFailure,
  /// It can't be serviced in this wave.
  kPermanentFailure,
  /// May have begun, or may begin yet.
  kUnknown,
};

struct maintenance_settings {
  /// Hosts that are emptied ahead of their turn, so that one is ready when
  /// another returns. Each costs its pool a VM meanwhile.
  std::uint32_t drained_ahead = 1;
  /// What a host takes from being closed to being back: up to 2 s until it is
  /// empty, 2 s of service, and a list every 0.6 s to see it by.
  duration cycle = std::chrono::milliseconds(5000);
  /// Share of a wave's time by which it is to be done.
  double deadline_share = 0.8;
  /// An order that may not have arrived is sent again after this time; it has
  /// no effect if it did.
  duration order_retry = std::chrono::seconds(1);
  /// A host that lists leave out for this time, from the first of them to the
  /// last, has left for good. Racks that go dark come back within 8 s.
  duration missing_limit = std::chrono::seconds(10);
};

/// Decides which hosts are emptied and serviced when, for all waves.
/// Pure and not thread-safe.
class maintenance_scheduler {
 public:
  explicit maintenance_scheduler(const maintenance_settings& settings)
      : settings_(settings) {}

  /// Adds a wave; one that is known stays as it is. Returns whether it is new:
  /// what was noted of it before that isn't kept.
  bool AddWave(const maintenance_wave& wave);
  /// Notes what an earlier keeper recorded. It counts also for a host that is
  /// being emptied.
  void NoteServiced(std::uint64_t wave, const host_id& host);
  void NoteCompleted(std::uint64_t wave);
  /// Replaces the list of the fleet's hosts, which was asked for at
  /// `requested_at`. `spare` are the pools whose VMs run nothing.
  void UpdateHosts(const std::vector<fleet_host>& hosts,
                   const std::set<pool_id>& spare,
                   time_point requested_at);
  /// Replaces the pools that have fewer VMs than they want.
  void UpdateUndersized(std::set<pool_id> pools) {
    undersized_ = std::move(pools);
  }
  /// Replaces the VMs that are closed for service, as recorded.
  void UpdateClosed(const std::set<vm_id>& vms);
  /// The same for one VM.
  void NoteClosed(const vm_id& vm, bool is_closed);
  /// Replaces the set of VMs that have been emptied.
  void UpdateEmpty(std::set<vm_id> empty) { empty_ = std::move(empty); }
  /// The same for one VM.
  void NoteEmpty(const vm_id& vm, bool is_empty);
  void OnServiceAnswer(std::uint64_t wave,
                       const host_id& host,
                       service_result result,
                       time_point now);

  std::vector<wave_action> Plan(time_point now);
  /// Returns the hosts that are being emptied or serviced.
  std::set<host_id> BusyHosts() const;
  /// Returns whether a wave isn't complete, so that the list must be read.
  bool HasWork() const;

 private:
  struct listed_host;
  enum class host_phase { kDue, kClosing, kOrdered, kDown, kDone };
  struct host_progress {
    host_phase phase = host_phase::kDue;
    /// The life that is emptied or was ended.
    vm_id vm;
    bool is_order_in_flight = false;
    time_point next_order_at;
    /// When the order to service it was accepted.
    time_point accepted_at;
    /// A list that was asked for after that showed it in service.
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
    /// The first list since then, which left it out.
    std::optional<time_point> unlisted_since;
  };
  /// A host that is up and whose turn may come.
  struct due_host {
    host_progress* progress = nullptr;
    const fleet_host* host = nullptr;
    /// How many VMs of its pool are being emptied or are down.
    std::uint32_t* busy = nullptr;
  };
  using due_iterator = std::vector<due_host>::iterator;

  void PlanWave(fleet_wave* wave,
                time_point now,
                std::vector<wave_action>* actions);
  void NoteReturns(fleet_wave* wave, std::vector<wave_action>* actions);
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
  /// Returns whether the present list tells that the VM is needed.
  bool IsConfirmedNeeded(const vm_id& vm) const;
  void ReleaseUnneeded(std::vector<wave_action>* actions);
  void Release(const vm_id& vm, std::vector<wave_action>* actions);

  maintenance_settings settings_;
  std::map<std::uint64_t, fleet_wave> waves_;
  /// Its elements are pointed to, and stay.
  std::map<host_id, listed_host> hosts_;
  std::unordered_map<vm_id, host_id> host_of_vm_;
  std::set<pool_id> spare_;
  std::set<pool_id> undersized_;
  std::set<vm_id> closed_;
  /// VMs that were released, and are still recorded as closed.
  std::set<vm_id> released_;
  std::set<vm_id> empty_;
  time_point first_requested_at_;
  time_point requested_at_;
  bool is_listed_ = false;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_MAINTENANCE_SCHEDULER_H_
