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

/// A pool's owner with VMs that are empty when a test says so.
class vacancy_manager_fixture {
 protected:
  /// The pool has one VM too many, and `vm` is the least used.
  void ReleaseVm(const vm_id& vm) {
    REQUIRE(manager_.Resize("pool", Load(kWanted + 1), kWanted,
                            [&](std::uint32_t count) {
                              CHECK(count == 1);
                              return std::vector<vm_id>{vm};
                            }));
  }

  /// The pool has `usable_vms` VMs that take tasks.
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
  /// VMs whose hints are to be read in the store.
  std::set<vm_id> shown_;
  time_point now_{std::chrono::hours(1)};
};

const vacant_vm kOfferedVm = {"vm-1", vacancy_reason::kOffered};

// The owner of the fleet moves a VM that it is told of, and what runs there
// ends. Told before the record of the vacancy is stored, it would move a VM on
// which the next owner of the pool, which knows of no vacancy, has started a
// task.
TEST_CASE_METHOD(vacancy_manager_fixture,
                 "Nobody is told of a vacancy before it is stored") {
  ReleaseVm("vm-1");
  CHECK(IsClosed("vm-1"));
  CHECK_FALSE(NoteEmptyVms());
  CHECK(TakeHints().empty());

  SECTION("found empty, it is to be recorded first") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    CHECK(TakeHints().empty());
    CHECK(TakeBatch().vacant == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(NoteEmptyVms());
    CHECK(TakeHints().empty());

    SECTION("and told once when the record is stored") {
      CHECK(manager_.NoteStored() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeBatch().vacant.empty());
      CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeHints().empty());
      CHECK(IsClosed("vm-1"));

      SECTION("and again when its host is to be serviced") {
        manager_.UpdateForService({"vm-1"});
        CHECK(TakeHints() ==
              std::vector<vacant_vm>{{"vm-1", vacancy_reason::kForService}});
      }
    }
  }
}

TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A VM is emptied for the service of its host") {
  manager_.UpdateForService({"vm-1"});
  CHECK(IsClosed("vm-1"));

  SECTION("and is used again when the service is off before it was empty") {
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
                 "What an earlier owner recorded stays closed") {
  manager_.Restore({"vm-1"});
  CHECK(IsClosed("vm-1"));
  CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});

  // The registry misses VMs for some seconds after the store was away.
  SECTION("also while the VM is missing for a moment") {
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

  SECTION("and is forgotten some time after its life") {
    present_ = {};
    CHECK(TakeBatch().dropped.empty());
    now_ += seconds(21);
    CHECK(TakeBatch().dropped == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(IsClosed("vm-1"));

    // The store was away for long, and the VM wasn't gone. Its hint was taken
    // back meanwhile.
    SECTION("so that it is told again if it is back after all") {
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

// A pool gives a VM away while its queue is calm, and the VM still runs a task.
// Then the queue's turn begins: lasting tasks of the pool have to wait,
// although there is room for them on that VM. The owner of the fleet hasn't
// been told of it, takes it for a VM that the pool uses, and sends no other
// one.
TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A pool that lacks VMs takes back what it gives away") {
  ReleaseVm("vm-1");

  SECTION("not while it has as many as it wants") {
    CHECK_FALSE(Resize(kWanted));
    CHECK(IsClosed("vm-1"));
  }

  SECTION("while a task still runs there") {
    CHECK_FALSE(NoteEmptyVms());
    CHECK(Resize(kWanted - 1));
    CHECK_FALSE(IsClosed("vm-1"));

    SECTION("so that it isn't recorded as vacant when the task has ended") {
      empty_ = {"vm-1"};
      CHECK_FALSE(NoteEmptyVms());
      CHECK(TakeBatch().vacant.empty());
    }
  }

  SECTION("when it is empty and its record wasn't asked for yet") {
    empty_ = {"vm-1"};
    CHECK(NoteEmptyVms());
    CHECK(Resize(kWanted - 1));
    CHECK_FALSE(IsClosed("vm-1"));
    CHECK(TakeBatch().vacant.empty());
  }

  SECTION("no more than it lacks, the last one first") {
    ReleaseVm("vm-2");
    CHECK(Resize(kWanted - 1));
    CHECK(IsClosed("vm-1"));
    CHECK_FALSE(IsClosed("vm-2"));
  }

  SECTION("not what is closed for service as well") {
    manager_.UpdateForService({"vm-1"});
    Resize(kWanted - 1);
    CHECK(IsClosed("vm-1"));
  }

  SECTION("not those of another pool") {
    CHECK_FALSE(
        manager_.Resize("other", Load(kWanted - 1), kWanted,
                        [](std::uint32_t) { return std::vector<vm_id>(); }));
    CHECK(IsClosed("vm-1"));
  }

  // From the moment that the store may have the record, the owner of the fleet
  // may read it and order the move.
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

// The hint of a vacant VM gets lost: the store rejects the append that holds
// it, or the owner of the fleet takes the VM for gone and drops it. The VM
// would be closed for good with nobody to move it, and the owner of the fleet
// would count it as one that its pool uses: lasting tasks wait beside an idle
// VM.
TEST_CASE_METHOD(vacancy_manager_fixture,
                 "A hint that got lost is told again") {
  manager_.Restore({"vm-1"});
  CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
  now_ += seconds(1);
  CHECK(TakeHints().empty());

  SECTION("some time after it was told") {
    now_ += seconds(1);
    CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
    CHECK(TakeHints().empty());
    now_ += seconds(2);
    CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
  }

  SECTION("not while the store shows it") {
    shown_ = {"vm-1"};
    now_ += seconds(60);
    CHECK(TakeHints().empty());

    SECTION("but when it was dropped later") {
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

/// Returns how many VMs are visited when one more of `count` vacant VMs is
/// emptied, recorded and told.
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

// In a large pool some hundred VMs are vacant and not gone yet; an owner that
// looks at each of them in each plan has no time left for its tasks.
TEST_CASE("A vacancy doesn't make the owner look at the others") {
  const std::uint64_t in_small_pool = CountVisitedVms(25);
  CHECK(in_small_pool > 0);
  CHECK(CountVisitedVms(500) <= in_small_pool);
}

}  // namespace
}  // namespace plantainhead::core::jobs
