#ifndef PLANTAINHEAD_CORE_JOBS_VACANCY_KEEPER_H_
#define PLANTAINHEAD_CORE_JOBS_VACANCY_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/pool_sizer.h"
#include "plantainhead/core/jobs/vacancy_checker.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

struct vacancy_keeper_settings {
  /// How long after a vacant VM's end its record is kept. The registry misses
  /// VMs for some seconds after the store was away.
  duration memory = std::chrono::seconds(20);
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

/// Decides which VMs the owner of a pool closes, and takes each of them on its
/// way from being closed to being handed to the owner of the fleet: closed,
/// found empty, being recorded, recorded as vacant, told.
///
/// A VM that is recorded as vacant is moved or serviced at any moment. A task
/// that started there, after a change of owner or before this VM was known,
/// would be ended by that. So it stays closed until its life ends, and nobody
/// is told of it before its record is stored. Pure and not thread-safe.
class vacancy_keeper {
 public:
  /// Returns the least used VMs of a pool that take tasks, at most `count`.
  using vm_chooser = std::function<std::vector<vm_id>(std::uint32_t count)>;
  using vm_predicate = std::function<bool(const vm_id&)>;
  using hint_predicate = std::function<bool(const vacant_vm&)>;

  explicit vacancy_keeper(const vacancy_keeper_settings& settings)
      : settings_(settings) {}

  /// Takes over what an earlier owner has recorded. Call it before all else.
  void Restore(std::set<vm_id> recorded) { vacant_ = std::move(recorded); }
  /// Replaces the VMs that are to be emptied for the service of their hosts.
  void UpdateForService(std::set<vm_id> vms) { for_service_ = std::move(vms); }
  /// Closes what the pool can do without, or takes back what it lacks; `wanted`
  /// is how many VMs it should have. Returns whether other VMs are closed than
  /// before.
  bool Resize(const pool_id& pool,
              const pool_load& load,
              std::uint32_t wanted,
              const vm_chooser& least_used);
  /// Returns the VMs that take no tasks.
  std::set<vm_id> Closed() const;

  /// Looks for closed VMs that have become empty. `is_present`: the owner
  /// has to do with the VM. Returns whether one was found.
  bool FindVacant(const vm_predicate& is_present, const vm_predicate& is_empty);
  /// Returns what is to be stored now. Precondition: what was returned before
  /// is stored, and `NoteStored` was called.
  vacancy_batch TakeBatch(const vm_predicate& is_present, time_point now);
  /// The last batch is stored. Returns the VMs that are recorded as vacant
  /// since.
  std::vector<vacant_vm> NoteStored();
  /// Returns the VMs of which the owner of the fleet is to be told. An earlier
  /// owner may have recorded some without telling. `is_shown`: the store shows
  /// the hint. One that isn't shown for a while has got lost: the owner of the
  /// fleet would take the VM for one in use, and neither move it nor send
  /// another.
  std::vector<vacant_vm> TakeHints(const vm_predicate& is_present,
                                   const hint_predicate& is_shown,
                                   time_point now);

 private:
  /// A VM that is emptied to be given away.
  struct released_vm {
    vm_id vm;
    pool_id pool;
  };

  bool Release(const pool_id& pool, const std::vector<vm_id>& vms);
  bool TakeBack(const pool_id& pool, std::uint32_t count);
  void Forget(const vm_id& vm);
  bool IsReleased(const vm_id& vm) const;
  bool MayBeRecorded(const vm_id& vm) const;
  vacancy_reason ReasonOf(const vm_id& vm) const;

  vacancy_keeper_settings settings_;
  std::set<vm_id> for_service_;
  /// The last one last.
  std::vector<released_vm> released_;
  /// VMs that are empty, in the order of what happens with each: found so,
  /// being recorded, recorded, and told to the fleet's owner.
  std::set<vm_id> found_;
  std::set<vm_id> recording_;
  std::set<vm_id> vacant_;
  std::map<std::pair<vm_id, vacancy_reason>, time_point> told_;
  /// Vacant VMs whose lives seem to be over, and since when.
  std::map<vm_id, time_point> gone_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VACANCY_KEEPER_H_
