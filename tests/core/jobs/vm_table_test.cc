#include "core/jobs/vm_table.h"

#include <catch2/catch.hpp>
#include <vector>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::seconds;

run_state Run() {
  run_state run;
  run.run = 1;
  return run;
}

// Guards against a VM that no plan visits again although it has changed or its
// lease has expired.
TEST_CASE("A table returns the VMs that have changed and that are due") {
  vm_table table;
  const time_point now{std::chrono::hours(1)};
  vm_state* second = table.Add(Vm("vm-2")).first;
  vm_state* first = table.Add(Vm("vm-1")).first;

  SECTION("those that are new, in the order in which they became known") {
    CHECK(table.TakeChanged() == std::vector<vm_state*>{second, first});
    CHECK(table.TakeDue() == std::vector<vm_state*>{second, first});
    CHECK(table.TakeChanged().empty());
    CHECK(table.TakeDue().empty());

    SECTION("those that were obtained for a change, once") {
      CHECK(table.FindForChange("vm-1") == first);
      CHECK(table.FindForChange("vm-1") == first);
      CHECK(table.TakeChanged() == std::vector<vm_state*>{first});
    }

    SECTION("not those that were only read") {
      CHECK(table.Find("vm-1") == first);
      CHECK(table.FindUnmarked("vm-1") == first);
      CHECK(table.TakeDue().empty());
    }

    SECTION("those whose check is due") {
      table.ScheduleCheck(first, now + seconds(2));
      table.ScheduleCheck(second, now + seconds(1));
      table.MarkDueChecks(now + seconds(1));
      CHECK(table.TakeDue() == std::vector<vm_state*>{second});

      SECTION("by the time that was set last") {
        table.ScheduleCheck(first, now + seconds(5));
        table.MarkDueChecks(now + seconds(4));
        CHECK(table.TakeDue().empty());
        table.MarkDueChecks(now + seconds(5));
        CHECK(table.TakeDue() == std::vector<vm_state*>{first});
      }
    }
  }

  SECTION("not one that was removed") {
    table.ScheduleCheck(first, now);
    table.Erase(first);
    table.MarkDueChecks(now);
    CHECK(table.Find("vm-1") == nullptr);
    CHECK(table.TakeDue() == std::vector<vm_state*>{second});
    CHECK(table.TakeChanged() == std::vector<vm_state*>{second});
  }
}

// Guards against a run that is not stopped because its VM is not found by its
// job, and against a VM that is found after its last run was removed.
TEST_CASE("VMs are found by the jobs that have runs on them") {
  vm_table table;
  vm_state* first = table.Add(Vm("vm-1")).first;
  vm_state* second = table.Add(Vm("vm-2")).first;
  second->Add({"job", 0, 0, 0}, Run());
  first->Add({"job", 0, 0, 1}, Run());
  first->Add({"job", 0, 0, 2}, Run());
  first->Add({"other", 0, 0, 0}, Run());
  CHECK(table.WithRunsOf("job") == std::vector<vm_state*>{first, second});
  CHECK(table.WithRunsOf("other") == std::vector<vm_state*>{first});
  CHECK(table.WithRunsOf("unknown").empty());

  SECTION("until the last run of the job there is removed") {
    first->Erase({"job", 0, 0, 1});
    CHECK(table.WithRunsOf("job") == std::vector<vm_state*>{first, second});
    first->Erase({"job", 0, 0, 2});
    CHECK(table.WithRunsOf("job") == std::vector<vm_state*>{second});
  }

  SECTION("or the VM is removed") {
    table.Erase(first);
    CHECK(table.WithRunsOf("job") == std::vector<vm_state*>{second});
    CHECK(table.WithRunsOf("other").empty());
  }

  SECTION("also when a newer run replaces another one") {
    first->Add({"other", 0, 0, 0}, Run());
    CHECK(table.WithRunsOf("other") == std::vector<vm_state*>{first});
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
