#ifndef PLANTAINHEAD_CORE_JOBS_VACANCY_MANAGER_H_
#define PLANTAINHEAD_CORE_JOBS_VACANCY_MANAGER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/pool_sizer.h"
#include "plantainhead/core/jobs/vacancy_checker.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// How long the vacancy manager keeps records, and when it sends hints again. A
/// hint is a record in the store by which the owner of a pool reports a vacant
/// VM to the owner of the fleet (see `vacancy_hint`).
struct vacancy_manager_settings {
  /// How long the record of a vacant VM is kept after the VM has ended. The
  /// registry misses VMs for some seconds after the store was unavailable.
  duration record_retention = std::chrono::seconds(20);
  /// A hint that cannot be read back from the store is sent again after this
  /// time. An append takes 25 ms and reading it back takes as long, or 0.5 s
  /// while the store is slow.
  duration hint_retry = std::chrono::seconds(2);
};

/// Changes to the vacancy records that are stored together.
struct vacancy_batch {
  std::vector<vm_id> vacant;
  /// VMs whose incarnations ended some time ago; their records are deleted.
  std::vector<vm_id> dropped;
};

/// A drained VM, and the reason for which it was drained. The owner of the
/// fleet may be notified of it, to move or service its host.
struct vacant_vm {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;

  bool operator==(const vacant_vm&) const = default;
};

/// States who still knows a VM.
struct vm_presence {
  /// The pool's owner still manages the VM.
  bool is_held = true;
  /// The pool's owner manages the VM, or the registry lists it.
  bool is_listed = true;

  bool operator==(const vm_presence&) const = default;
};

/// Decides which VMs the owner of a pool closes to new tasks, and tracks each
/// closed VM until it is handed over to the owner of the fleet. These steps
/// follow each other: the VM is closed, it is found empty, its record is being
/// stored, it is recorded as vacant, and it is reported.
///
/// A VM that is recorded as vacant may be moved or serviced at any moment,
/// which would terminate a task that was started there after a change of owner
/// or before the VM was known. It therefore stays closed until its incarnation
/// ends, and it is not reported before its record is stored.
///
/// Callers notify it of changes, and it visits only the VMs that a change
/// concerns. Pure and not thread-safe.
class vacancy_manager {
 public:
  /// Returns the least used VMs of a pool that accept tasks, at most `count`.
  using vm_chooser = std::function<std::vector<vm_id>(std::uint32_t count)>;

  explicit vacancy_manager(const vacancy_manager_settings& settings)
      : settings_(settings) {}

  /// Restores the VMs that an earlier owner recorded as vacant. Call it before
  /// any other method.
  void Restore(const std::set<vm_id>& recorded);
  /// Replaces the set of VMs to drain because their hosts are to be serviced.
  void UpdateForService(const std::set<vm_id>& vms);
  /// Like `UpdateForService`, for one VM.
  void NoteForService(const vm_id& vm, bool is_for_service);
  /// Closes VMs that the pool does not need, or reclaims closed VMs if it has
  /// too few; `wanted` is the number of VMs that it should have. Returns
  /// whether the set of closed VMs has changed.
  bool Resize(const pool_id& pool,
              const pool_load& load,
              std::uint32_t wanted,
              const vm_chooser& least_used);
  /// Returns whether the VM is closed to new tasks.
  bool IsClosed(const vm_id& vm) const { return entries_.count(vm) != 0; }
  /// Returns the VMs that were closed or reopened since the last call. A VM may
  /// occur twice.
  std::vector<vm_id> TakeChanged();

  /// Notes that a closed VM has become empty. Returns whether this was not
  /// known before.
  bool NoteEmpty(const vm_id& vm);
  /// Notes where the VM is still known. A closed VM counts as present until
  /// this is called for it.
  void NotePresence(const vm_id& vm,
                    const vm_presence& presence,
                    time_point now);
  /// Notes whether the hint can be read from the store. A hint that does not
  /// show up for some time after it was sent is lost: the owner of the fleet
  /// would consider the VM in use, and neither move it nor send another one.
  void NoteHintShown(const vacant_vm& hint, bool is_shown);
  /// Returns the changes to store now. Precondition: the previous batch is
  /// stored, and `NoteStored` was called.
  vacancy_batch TakeBatch(time_point now);
  /// Notes that the last batch is stored. Returns the VMs that are recorded as
  /// vacant since then.
  std::vector<vacant_vm> NoteStored();
  /// Returns the VMs of which the owner of the fleet must be notified. An
  /// earlier owner may have recorded some without sending a hint.
  std::vector<vacant_vm> TakeHints(time_point now);

  /// Returns the total number of VMs visited.
  std::uint64_t visited_vms() const { return visited_vms_; }

 private:
  /// Progress of a closed VM: being drained, found empty, its record being
  /// stored, recorded as vacant.
  enum class stage { kClosing, kEmpty, kRecording, kVacant };

  /// State of the hint for one VM and one reason.
  struct hint_state {
    std::optional<time_point> sent_at;
    bool is_shown = false;
  };

  struct closed_vm {
    bool is_for_service = false;
    /// Key in `released_`, if the pool does not need the VM.
    std::optional<std::uint64_t> released;
    stage at = stage::kClosing;
    vm_presence presence;
    std::optional<time_point> gone_since;
    std::array<hint_state, kVacancyReasonCount> hints;
    /// Time of its entry in `hints_due_`, if any.
    std::optional<time_point> hint_due;
  };

  /// A VM that its pool gives up. It is drained first.
  struct released_vm {
    vm_id vm;
    pool_id pool;
  };

  bool Release(const pool_id& pool, const std::vector<vm_id>& vms);
  bool Reclaim(const pool_id& pool, std::uint32_t count);
  closed_vm* Find(const vm_id& vm);
  /// Returns the entry of the VM, which is closed from now on.
  closed_vm* Close(const vm_id& vm);
  /// Reopens the VM if no reason to keep it closed remains.
  void ReopenIfUnused(const vm_id& vm);
  void DropRelease(closed_vm* entry);
  void ScheduleHint(const vm_id& vm, closed_vm* entry);
  static vacancy_reason ReasonOf(const closed_vm& entry);
  static hint_state* HintOf(closed_vm* entry);

  vacancy_manager_settings settings_;
  std::unordered_map<vm_id, closed_vm> entries_;
  std::set<vm_id> for_service_;
  /// Released VMs of which this object has not yet requested a record of
  /// vacancy, in the order of their release.
  std::map<std::uint64_t, released_vm> released_;
  std::uint64_t next_release_ = 0;
  std::set<vm_id> empty_;
  std::vector<vm_id> recording_;
  std::set<std::pair<time_point, vm_id>> gone_;
  std::set<std::pair<time_point, vm_id>> hints_due_;
  std::vector<vm_id> changed_;
  std::uint64_t visited_vms_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VACANCY_MANAGER_H_
