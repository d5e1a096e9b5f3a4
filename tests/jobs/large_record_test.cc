#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/jobs/scheduler_driver.h"
#include "jobs/record_codec.h"

namespace plantainhead::jobs {
namespace {

using core::jobs::end_kind;
using core::jobs::ended_task;
using core::jobs::job_progress;
using core::jobs::start_order;
using core::jobs::vm_id;

// The limit of the platform's store.
constexpr std::size_t kRecordBytes = 262144;

// Guards against a pool that stops for good because the progress of one job no
// longer fits into a record of the store.
TEST_CASE("The progress of a job fits into a record however many tasks ended") {
  core::jobs::scheduler_driver driver;
  const std::vector<vm_id> vms = {"vm-1", "vm-2", "vm-3"};
  driver.Register({core::jobs::Vm("vm-1", 200000),
                   core::jobs::Vm("vm-2", 200000),
                   core::jobs::Vm("vm-3", 200000)});
  std::size_t expected = 0;

  SECTION("in 25 independent steps") {
    driver.Add(core::jobs::Job("job", std::vector<core::jobs::step_spec>(
                                          25, core::jobs::Step(10000))));
    expected = 20000;
  }

  SECTION("in the occurrences of a schedule") {
    const auto job = std::make_shared<core::jobs::job_spec>(
        *core::jobs::Job("job", {core::jobs::Step(160)}));
    job->schedule = core::jobs::job_schedule{
        core::time_point(), std::chrono::milliseconds(1), 1000};
    driver.Add(job);
    expected = 20000;
  }

  std::map<vm_id, std::uint64_t> numbers;
  std::size_t ended = 0;
  std::size_t largest = 0;
  for (int round = 0; round < 5000 && ended < expected; ++round) {
    std::map<vm_id, std::vector<ended_task>> ends;
    for (const start_order& start : driver.StartAll()) {
      ends[start.target.vm].push_back(
          core::jobs::Ended(++numbers[start.target.vm], start.target.task,
                            start.target.run, end_kind::kDone));
      ++ended;
    }
    driver.Pass(std::chrono::milliseconds(10));
    for (const vm_id& vm : vms) {
      driver.List(vm, {}, ends[vm]);
    }
    for (const auto& batch : driver.Store()) {
      for (const auto& [id, progress] : batch.jobs) {
        const auto record = Encode(progress_record{id, progress});
        largest = std::max(largest, record.key.size() + record.value->size());
      }
    }
  }
  CHECK(ended >= expected);
  CHECK(largest <= kRecordBytes);
}

}  // namespace
}  // namespace plantainhead::jobs
