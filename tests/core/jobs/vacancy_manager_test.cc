#include "plantainhead/core/jobs/vacancy_manager.h"

#include <catch2/catch.hpp>
#include <set>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kWanted = 3;

pool_load Load(std::uint32_t usable_vms) {
  pool_load load;
  load.usable_vms = usable_vms;
  return load;
}

/// Simulates a pool's owner whose VMs are empty when a test says so.
class vacancy_manager_fixture {
 protected:
  /// Resizes a pool that has one VM too many, of which `vm` is the least used.
  void ReleaseVm(const vm_id& vm) {
    REQUIRE(manager_.Resize("pool", Load(kWanted + 1), kWanted,
                            [&](std::uint32_t count) {
                              CHECK(count == 1);
                              return std::vector<vm_id>{vm};
                            }));
  }

  /// Resizes a pool that has `usable_vms` VMs that accept tasks.
  bool Resize(std::uint32_t usable_vms) {
    return manager_.Resize("pool", Load(usable_vms), kWanted,
                           [](std::uint32_t) { return std::vector<vm_id>(); });
  }

  bool NoteEmptyVms() {
    ReportPresence();
    bool is_found = false;
    for (const vm_id& vm : empty_) {
      is_found = manager_.NoteEmpty(vm) || is_found;
    }
    return is_found;
  }

  vacancy_batch TakeBatch() {
    ReportPresence();
    return manager_.TakeBatch(now_);
  }
  std::vector<vacant_vm> TakeHints() {
    ReportPresence();
    for (const vm_id& vm : vms_) {
      for (const auto reason :
           {vacancy_reason::kOffered, vacancy_reason::kForService}) {
        manager_.NoteHintShown({vm, reason}, shown_.count(vm) != 0);
      }
    }
    return manager_.TakeHints(now_);
  }
  bool IsClosed(const vm_id& vm) const { return manager_.IsClosed(vm); }

  void ReportPresence() {
    for (const vm_id& vm : vms_) {
      const bool is_present = present_.count(vm) != 0;
      manager_.NotePresence(vm, {is_present, is_present}, now_);
    }
  }

  vacancy_manager manager_{vacancy_manager_settings()};
  const std::set<vm_id> vms_ = {"vm-1", "vm-2"};
  std::set<vm_id> present_ = vms_;
  std::set<vm_id> empty_;
  /// VMs whose hints can be read from the store.
  std::set<vm_id> shown_;
  time_point now_{std::chrono::hours(1)};
};

const vacant_vm kOfferedVm = {"vm-1", vacancy_reason::kOffered};

// The owner of the fleet moves a VM that is reported to it, which terminates
// tasks on the VM. If the VM were reported before its vacancy record is stored,
// the next owner of the pool, which does not know of the vacancy, might already
// have started a task on it.
TEST_CASE_METHOD(vacancy_manager_fixture,
                 "No vacancy is reported before it is stored") {
  ReleaseVm("vm-1");
  CHECK(IsClosed("vm-1"));
  CHECK_FALSE(NoteEmptyVms());
  CHECK(TakeHints().empty());

  SECTION("an empty VM is recorded first") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    CHECK(TakeHints().empty());
    CHECK(TakeBatch().vacant == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(NoteEmptyVms());
    CHECK(TakeHints().empty());

    SECTION("and reported once when the record is stored") {
      CHECK(manager_.NoteStored() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeBatch().vacant.empty());
      CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeHints().empty());
      CHECK(IsClosed("vm-1"));

      SECTION("and again if its host is to be serviced") {
        manager_.UpdateForService({"vm-1"});
        CHECK(TakeHints() ==
              std::vector<vacant_vm>{{"vm-1", vacancy_reason::kForService}});
      }
    }
  }
}

TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A VM is drained for the service of its host") {
  manager_.UpdateForService({"vm-1"});
  CHECK(IsClosed("vm-1"));

  SECTION("and reopened if the service is cancelled before it is empty") {
    manager_.UpdateForService({});
    CHECK_FALSE(IsClosed("vm-1"));
  }

  SECTION("but not once it was found empty") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    manager_.UpdateForService({});
    CHECK(IsClosed("vm-1"));
  }
}

TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A VM that an earlier owner recorded stays closed") {
  manager_.Restore({"vm-1"});
  CHECK(IsClosed("vm-1"));
  CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});

  // The registry misses VMs for some seconds after the store was unavailable.
  SECTION("also while the VM is briefly missing") {
    present_ = {};
    CHECK(TakeBatch().dropped.empty());
    now_ += seconds(15);
    present_ = {"vm-1"};
    CHECK(TakeBatch().dropped.empty());
    now_ += seconds(15);
    present_ = {};
    CHECK(TakeBatch().dropped.empty());
    CHECK(IsClosed("vm-1"));
  }

  SECTION("and is forgotten some time after its incarnation has ended") {
    present_ = {};
    CHECK(TakeBatch().dropped.empty());
    now_ += seconds(21);
    CHECK(TakeBatch().dropped == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(IsClosed("vm-1"));

    // The store was unavailable for long, and the VM still exists. Its hint was
    // withdrawn meanwhile.
    SECTION("so it is reported again if it returns after all") {
      present_ = {"vm-1"};
      CHECK(TakeHints().empty());
      ReleaseVm("vm-1");
      empty_ = {"vm-1"};
      CHECK(NoteEmptyVms());
      TakeBatch();
      manager_.NoteStored();
      CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
    }
  }
}

// A pool releases a VM while its queue is idle, and the VM still runs a task.
// Then the queue's burst begins, and long-running tasks of the pool have to
// wait although the VM has free capacity. The owner of the fleet has not been
// notified of the VM, counts it as used by the pool, and sends no other one.
TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A pool that lacks VMs reclaims the VMs that it releases") {
  ReleaseVm("vm-1");

  SECTION("not while it has as many VMs as it wants") {
    CHECK_FALSE(Resize(kWanted));
    CHECK(IsClosed("vm-1"));
  }

  SECTION("while a task still runs on the VM") {
    CHECK_FALSE(NoteEmptyVms());
    CHECK(Resize(kWanted - 1));
    CHECK_FALSE(IsClosed("vm-1"));

    SECTION("so it is not recorded as vacant after the task has ended") {
      empty_ = {"vm-1"};
      CHECK_FALSE(NoteEmptyVms());
      CHECK(TakeBatch().vacant.empty());
    }
  }

  SECTION("when it is empty and its record is not requested yet") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    CHECK(Resize(kWanted - 1));
    CHECK_FALSE(IsClosed("vm-1"));
    CHECK(TakeBatch().vacant.empty());
  }

  SECTION("no more than it lacks, the most recently released one first") {
    ReleaseVm("vm-2");
    CHECK(Resize(kWanted - 1));
    CHECK(IsClosed("vm-1"));
    CHECK_FALSE(IsClosed("vm-2"));
  }

  SECTION("not VMs that are also closed for service") {
    manager_.UpdateForService({"vm-1"});
    Resize(kWanted - 1);
    CHECK(IsClosed("vm-1"));
  }

  SECTION("not VMs of another pool") {
    CHECK_FALSE(
        manager_.Resize("other", Load(kWanted - 1), kWanted,
                        [](std::uint32_t) { return std::vector<vm_id>(); }));
    CHECK(IsClosed("vm-1"));
  }

  // Once the store may have the record, the owner of the fleet may read it and
  // order the move.
  SECTION("never once the record may be stored") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    CHECK(TakeBatch().vacant == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(Resize(kWanted - 1));
    CHECK(IsClosed("vm-1"));
    manager_.NoteStored();
    CHECK_FALSE(Resize(kWanted - 1));
    CHECK(IsClosed("vm-1"));
  }
}

// The hint of a vacant VM is lost: the store rejects the append that contains
// it, or the owner of the fleet considers the VM gone and drops the hint. The
// VM would stay closed permanently and never be moved, and the owner of the
// fleet would count it as used by its pool, so that long-running tasks wait
// although a VM is idle.
TEST_CASE_METHOD(vacancy_manager_fixture, "A lost hint is sent again") {
  manager_.Restore({"vm-1"});
  CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
  now_ += seconds(1);
  CHECK(TakeHints().empty());

  SECTION("some time after it was sent") {
    now_ += seconds(1);
    CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
    CHECK(TakeHints().empty());
    now_ += seconds(2);
    CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
  }

  SECTION("not while it can be read from the store") {
    shown_ = {"vm-1"};
    now_ += seconds(60);
    CHECK(TakeHints().empty());

    SECTION("but when it is dropped later") {
      shown_ = {};
      CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
    }
  }

  SECTION("not when the VM is gone") {
    present_ = {};
    now_ += seconds(60);
    CHECK(TakeHints().empty());
  }
}

/// Returns how many VMs are visited when one VM is drained, recorded and
/// reported in addition to `count` vacant ones.
std::uint64_t CountVisitedVms(std::size_t count) {
  vacancy_manager manager{vacancy_manager_settings()};
  const time_point now(std::chrono::hours(1));
  std::set<vm_id> vacant;
  for (std::size_t i = 0; i < count; ++i) {
    vacant.insert("vacant-" + std::to_string(i));
  }
  manager.Restore(vacant);
  CHECK(manager.TakeHints(now).size() == count);
  const std::uint64_t before = manager.visited_vms();
  manager.Resize("pool", Load(kWanted + 1), kWanted,
                 [](std::uint32_t) { return std::vector<vm_id>{"vm-1"}; });
  CHECK(manager.NoteEmpty("vm-1"));
  CHECK(manager.TakeBatch(now).vacant.size() == 1);
  CHECK(manager.NoteStored().size() == 1);
  CHECK(manager.TakeHints(now).size() == 1);
  manager.NotePresence("vm-1", {false, false}, now);
  return manager.visited_vms() - before;
}

// In a large pool, hundreds of VMs are vacant and have not been moved yet. An
// owner that visits each of them for each plan becomes overloaded.
TEST_CASE("A new vacancy does not visit the other vacant VMs") {
  const std::uint64_t in_small_pool = CountVisitedVms(25);
  CHECK(in_small_pool > 0);
  CHECK(CountVisitedVms(500) <= in_small_pool);
}

}  // namespace
}  // namespace plantainhead::core::jobs
