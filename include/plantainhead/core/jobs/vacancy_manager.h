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

struct vacancy_manager_settings {
  /// How long after a vacant VM's end its record is kept. The registry misses
  /// VMs for some seconds after the store was away.
  duration record_retention = std::chrono::seconds(20);
  /// When a VM that was told of is told of again, if that isn't to be read. An
  /// append takes 25 ms and its reading as long, 0.5 s while the store is slow.
  duration hint_retry = std::chrono::seconds(2);
};

/// Records of vacant VMs that are to be stored together.
struct vacancy_batch {
  std::vector<vm_id> vacant;
  /// Lives that have been over for a while; their records are dropped.
  std::vector<vm_id> dropped;
};

/// A VM that the owner of the fleet may be told of.
struct vacant_vm {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;

  bool operator==(const vacant_vm&) const = default;
};

/// Where a VM is still known.
struct vm_presence {
  /// The pool's owner has to do with it.
  bool is_held = true;
  /// It is held, or the registry lists it.
  bool is_listed = true;

  bool operator==(const vm_presence&) const = default;
};

/// Decides which VMs the owner of a pool closes, and takes each of them on its
/// way from being closed to being handed to the owner of the fleet: closed,
/// found empty, being recorded, recorded as vacant, told.
///
/// A VM that is recorded as vacant is moved or serviced at any moment. A task
/// that started there, after a change of owner or before this VM was known,
/// would be ended by that. So it stays closed until its life ends, and nobody
/// is told of it before its record is stored.
///
/// It is told what has changed, and looks only at the VMs that this concerns.
/// Pure and not thread-safe.
class vacancy_manager {
 public:
  /// Returns the least used VMs of a pool that take tasks, at most `count`.
  using vm_chooser = std::function<std::vector<vm_id>(std::uint32_t count)>;

  explicit vacancy_manager(const vacancy_manager_settings& settings)
      : settings_(settings) {}

  /// Takes over what an earlier owner has recorded. Call it before all else.
  void Restore(const std::set<vm_id>& recorded);
  /// Replaces the VMs that are to be emptied for the service of their hosts.
  void UpdateForService(const std::set<vm_id>& vms);
  /// The same for one VM.
  void NoteForService(const vm_id& vm, bool is_for_service);
  /// Closes what the pool can do without, or takes back what it lacks; `wanted`
  /// is how many VMs it should have. Returns whether other VMs are closed than
  /// before.
  bool Resize(const pool_id& pool,
              const pool_load& load,
              std::uint32_t wanted,
              const vm_chooser& least_used);
  /// Returns whether the VM takes no tasks.
  bool IsClosed(const vm_id& vm) const { return entries_.count(vm) != 0; }
  /// Returns the VMs that were closed or opened since the last call. One may
  /// come twice.
  std::vector<vm_id> TakeChanged();

  /// Takes in that a closed VM has become empty. Returns whether that is news.
  bool NoteEmpty(const vm_id& vm);
  /// Takes in whether the VM is still known. Until it is called for a closed VM
  /// that counts as present.
  void NotePresence(const vm_id& vm,
                    const vm_presence& presence,
                    time_point now);
  /// Takes in whether the store shows the hint. One that isn't shown for a
  /// while after it was told has got lost: the owner of the fleet would take
  /// the VM for one in use, and neither move it nor send another.
  void NoteHintShown(const vacant_vm& hint, bool is_shown);
  /// Returns what is to be stored now. Precondition: what was returned before
  /// is stored, and `NoteStored` was called.
  vacancy_batch TakeBatch(time_point now);
  /// The last batch is stored. Returns the VMs that are recorded as vacant
  /// since.
  std::vector<vacant_vm> NoteStored();
  /// Returns the VMs of which the owner of the fleet is to be told. An earlier
  /// owner may have recorded some without telling.
  std::vector<vacant_vm> TakeHints(time_point now);

  /// Returns how many VMs were looked at.
  std::uint64_t visited_vms() const { return visited_vms_; }

 private:
  /// How far a closed VM is: being emptied, found empty, its record asked for,
  /// recorded as vacant.
  enum class stage { kClosing, kEmpty, kRecording, kVacant };

  /// What the owner of the fleet was told of a VM, for one reason.
  struct hint_state {
    std::optional<time_point> sent_at;
    bool is_shown = false;
  };

  struct closed_vm {
    bool is_for_service = false;
    /// Its place among the released VMs, if the pool can do without it.
    std::optional<std::uint64_t> released;
    stage at = stage::kClosing;
    vm_presence presence;
    std::optional<time_point> gone_since;
    std::array<hint_state, kVacancyReasonCount> hints;
    /// Its place among the hints that are due.
    std::optional<time_point> hint_due;
  };

  /// A VM that is emptied to be given away.
  struct released_vm {
    vm_id vm;
    pool_id pool;
  };

  bool Release(const pool_id& pool, const std::vector<vm_id>& vms);
  bool Reclaim(const pool_id& pool, std::uint32_t count);
  closed_vm* Find(const vm_id& vm);
  /// Returns the entry of the VM, which is closed from now on.
  closed_vm* Close(const vm_id& vm);
  /// Opens the VM when nothing keeps it closed.
  void ReopenIfUnused(const vm_id& vm);
  void DropRelease(closed_vm* entry);
  void ScheduleHint(const vm_id& vm, closed_vm* entry);
  static vacancy_reason ReasonOf(const closed_vm& entry);
  static hint_state* HintOf(closed_vm* entry);

  vacancy_manager_settings settings_;
  std::unordered_map<vm_id, closed_vm> entries_;
  std::set<vm_id> for_service_;
  /// Those whose records weren't asked for; the last one last.
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
