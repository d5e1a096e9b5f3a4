#include "plantainhead/core/jobs/vacancy_keeper.h"

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
class vacancy_fixture {
 protected:
  /// The pool has one VM too many, and `vm` is the least used.
  void GiveAway(const vm_id& vm) {
    REQUIRE(keeper_.Resize("pool", Load(kWanted + 1), kWanted,
                           [&](std::uint32_t count) {
                             CHECK(count == 1);
                             return std::vector<vm_id>{vm};
                           }));
  }

  /// The pool has `usable_vms` VMs that take tasks.
  bool Resize(std::uint32_t usable_vms) {
    return keeper_.Resize("pool", Load(usable_vms), kWanted,
                          [](std::uint32_t) { return std::vector<vm_id>(); });
  }

  bool FindVacant() {
    return keeper_.FindVacant(
        IsPresent(), [&](const vm_id& vm) { return empty_.count(vm) != 0; });
  }

  vacancy_batch TakeBatch() { return keeper_.TakeBatch(IsPresent(), now_); }
  std::vector<vacant_vm> TakeHints() { return keeper_.TakeHints(IsPresent()); }
  bool IsClosed(const vm_id& vm) const {
    return keeper_.Closed().count(vm) != 0;
  }

  vacancy_keeper::vm_predicate IsPresent() const {
    return [this](const vm_id& vm) { return present_.count(vm) != 0; };
  }

  vacancy_keeper keeper_{vacancy_keeper_settings()};
  std::set<vm_id> present_ = {"vm-1", "vm-2"};
  std::set<vm_id> empty_;
  time_point now_{std::chrono::hours(1)};
};

const vacant_vm kOfferedVm = {"vm-1", vacancy_reason::kOffered};

// The owner of the fleet moves a VM that it is told of, and what runs there
// ends. Told before the record of the vacancy is stored, it would move a VM on
// which the next owner of the pool, which knows of no vacancy, has started a
// task.
TEST_CASE_METHOD(vacancy_fixture,
                 "Nobody is told of a vacancy before it is stored") {
  GiveAway("vm-1");
  CHECK(IsClosed("vm-1"));
  CHECK_FALSE(FindVacant());
  CHECK(TakeHints().empty());

  SECTION("found empty, it is to be recorded first") {
    empty_ = {"vm-1"};
    CHECK(FindVacant());
    CHECK(TakeHints().empty());
    CHECK(TakeBatch().vacant == std::vector<vm_id>{"vm-1"});
    CHECK_FALSE(FindVacant());
    CHECK(TakeHints().empty());

    SECTION("and told once when the record is stored") {
      CHECK(keeper_.NoteStored() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeBatch().vacant.empty());
      CHECK(TakeHints() == std::vector<vacant_vm>{kOfferedVm});
      CHECK(TakeHints().empty());
      CHECK(IsClosed("vm-1"));

      SECTION("and again when its host is to be serviced") {
        keeper_.UpdateForService({"vm-1"});
        CHECK(TakeHints() ==
              std::vector<vacant_vm>{{"vm-1", vacancy_reason::kForService}});
      }
    }
  }
}

TEST_CASE_METHOD(vacancy_fixture,
                 "A VM is emptied for the service of its host") {
  keeper_.UpdateForService({"vm-1"});
  CHECK(IsClosed("vm-1"));

  SECTION("and is used again when the service is off before it was empty") {
    keeper_.UpdateForService({});
    CHECK_FALSE(IsClosed("vm-1"));
  }

  SECTION("but not once it was found empty") {
    empty_ = {"vm-1"};
    CHECK(FindVacant());
    keeper_.UpdateForService({});
    CHECK(IsClosed("vm-1"));
  }
}

TEST_CASE_METHOD(vacancy_fixture,
                 "What an earlier owner recorded stays closed") {
  keeper_.Restore({"vm-1"});
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
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
