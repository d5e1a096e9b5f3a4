#include "plantainhead/core/fleet/job_planner.h"

#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"

namespace plantainhead::core {
namespace {

/// Harness with one pool of workers in three zones; each worker has 16
/// processors and 64 GB.
class job_planner_harness : public planner_harness {
 public:
  explicit job_planner_harness(int workers = 6) {
    configuration targets;
    targets.pools = {{pool_id("lidar"), team_id(), 0}};
    targets.teams = {{team_id("coast"), 0, 4}};
    Apply(publish_configuration{targets, 0});
    for (int i = 0; i < workers; ++i) {
      const std::string zone = "zone-" + std::to_string(i % 3);
      AddVm("w" + std::to_string(i), zone, zone + "-rack", "lidar");
    }
    Step();
  }
  job_requirements Spec(const std::string& name,
                        std::uint32_t processors = 8) const {
    job_requirements spec;
    spec.name = job_id(name);
    spec.team = team_id("coast");
    spec.pool = pool_id("lidar");
    spec.processors = processors;
    spec.memory_mb = 8192;
    return spec;
  }
  void Submit(const std::string& name, std::uint32_t processors = 8) {
    Apply(submit_job{Spec(name, processors)});
  }
  std::size_t CountJobs(job_status wanted) const {
    return static_cast<std::size_t>(std::count_if(
        state.jobs.begin(), state.jobs.end(),
        [&](const auto& job) { return job.second.state == wanted; }));
  }
  bool ReachesState(const std::string& job,
                    job_status wanted,
                    duration limit = std::chrono::hours(1)) {
    return StepUntil([&] { return Job(job).state == wanted; }, limit);
  }
  void Cancel(const std::string& job) {
    set_job_state record;
    record.job = job_id(job);
    record.expected = Job(job).version;
    record.state = job_status::kCancelled;
    Apply(record);
  }
  std::size_t Running() const {
    return static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(),
        [](const auto& task) { return task.state == task_state::kRunning; }));
  }
};

TEST_CASE("A job runs until it finishes") {
  job_planner_harness harness;
  harness.Submit("map");

  SECTION("when it is started once and its lease is renewed many times") {
    harness.run_time = std::chrono::hours(1);
    REQUIRE(harness.ReachesState("map", job_status::kFinished,
                                 std::chrono::hours(2)));
    CHECK(harness.starts[job_id("map")] == 1);
  }

  SECTION("when the planner is lost between placement and start") {
    // The record that places the job is in the log, but the planner fails
    // before it sends the start. The next planner sends the start that the
    // record names.
    harness.Step();
    REQUIRE(harness.Job("map").state == job_status::kPlaced);
    REQUIRE(harness.starts.empty());
    harness.ReplacePlanner();
    REQUIRE(harness.ReachesState("map", job_status::kFinished));
    CHECK(harness.starts[job_id("map")] == 1);
  }

  SECTION("on another worker, after the lease of a lost one has expired") {
    // The worker disappears from the list together with its task. It may only
    // be unreachable and still run the job; a start elsewhere before the lease
    // has expired would run the job twice at once.
    harness.run_time = std::chrono::hours(1);
    harness.StepFor(std::chrono::minutes(1));
    const vm_id first = harness.Job("map").vm;
    std::erase_if(harness.vms, [&](const auto& vm) { return vm.vm == first; });
    harness.tasks.clear();
    REQUIRE(
        harness.StepUntil([&] { return harness.starts[job_id("map")] == 2; },
                          std::chrono::minutes(10)));
    CHECK(harness.overlaps == 0);
    CHECK(harness.Job("map").vm != first);
  }

  SECTION("after a checkpoint when a wave drains its worker") {
    harness.run_time = std::chrono::minutes(30);
    harness.StepFor(std::chrono::minutes(1));
    const vm_id first = harness.Job("map").vm;
    const wave_id wave("kernel");
    harness.Apply(start_wave{wave, {pool_id("lidar")}, {}});
    REQUIRE(harness.StepUntil([&] {
      return harness.state.waves.at(wave).state == wave_state::kFinished;
    }));
    CHECK(harness.reboots.size() == 6);
    REQUIRE(harness.ReachesState("map", job_status::kFinished));
    // The second placement prefers workers that the wave has already rebooted.
    CHECK(harness.starts[job_id("map")] == 2);
    CHECK(harness.Job("map").failures == 0);
  }
}

TEST_CASE("A worker fails every task") {
  // The worker with the least free capacity is chosen first. If it fails every
  // task immediately, it is free again at once and would consume the whole
  // queue.
  job_planner_harness harness;
  harness.bad_workers = {vm_id("w0")};
  for (int i = 0; i < 20; ++i) {
    harness.Submit("job-" + std::to_string(i));
  }
  REQUIRE(harness.StepUntil(
      [&] { return harness.CountJobs(job_status::kFinished) == 20; }));
  CHECK(harness.Vm("w0").quarantined);
  CHECK(harness.CountJobs(job_status::kParked) == 0);

  harness.bad_workers.clear();
  harness.StepFor(std::chrono::hours(2));
  CHECK_FALSE(harness.Vm("w0").quarantined);
}

TEST_CASE("A start is sent again after the job's expected size changed") {
  // The answer to a start is lost. Before the start is sent again, other tasks
  // show that the jobs of the team use far less than they declare. The platform
  // refuses a known id with a different content, and a planner that acts on
  // this refusal leaves a running task that is not accounted for.
  job_planner_harness harness;
  harness.Submit("first");
  harness.StepFor(std::chrono::seconds(5));
  harness.Submit("second");
  harness.StepUntil([&] { return harness.starts.contains(job_id("second")); });
  std::erase_if(harness.tasks,
                [](const auto& task) { return task.job == job_id("second"); });
  for (task_listing& task : harness.tasks) {
    task.processors_used = 2;
    task.memory_used_mb = 1024;
  }
  harness.ReplacePlanner();
  harness.StepFor(std::chrono::seconds(5));
  CHECK(harness.changed_operations == 0);
}

TEST_CASE("All workers refuse a job for a while") {
  // The list shows capacity that the platform no longer has. Each refusal ends
  // a placement; if refusals counted as failures, ten within seconds would park
  // a healthy job.
  job_planner_harness harness;
  for (const vm_listing& vm : harness.vms) {
    harness.refusing.insert(vm.vm);
  }
  harness.Submit("map");
  harness.StepFor(std::chrono::minutes(10));
  CHECK(harness.Job("map").state != job_status::kParked);
  harness.refusing.clear();
  CHECK(harness.ReachesState("map", job_status::kFinished));
}

TEST_CASE("Some jobs can never run") {
  job_planner_harness harness;

  SECTION("one that fails everywhere is parked without quarantining workers") {
    harness.bad_jobs = {job_id("broken")};
    harness.Submit("broken");
    harness.Submit("sound");
    REQUIRE(harness.ReachesState("broken", job_status::kParked));
    CHECK(harness.Job("broken").reason.starts_with("it failed on 3 workers"));
    CHECK(harness.starts[job_id("broken")] == 3);
    REQUIRE(harness.ReachesState("sound", job_status::kFinished));
    for (const auto& [id, vm] : harness.state.vms) {
      CHECK_FALSE(vm.quarantined);
    }
  }

  SECTION("one that is too large for every worker is parked with its size") {
    harness.Submit("huge", 64);
    REQUIRE(harness.ReachesState("huge", job_status::kParked));
    CHECK(harness.Job("huge").reason.find("64 processors") !=
          std::string::npos);
  }
}

TEST_CASE("An urgent job is submitted to a full pool") {
  job_planner_harness harness(2);
  harness.run_time = std::chrono::hours(2);
  for (int i = 0; i < 4; ++i) {
    harness.Submit("batch-" + std::to_string(i));
  }
  harness.StepFor(std::chrono::minutes(1));
  REQUIRE(harness.CountJobs(job_status::kPlaced) == 4);
  job_requirements urgent = harness.Spec("preview");
  urgent.urgent = true;
  harness.Apply(submit_job{urgent});
  const time_point asked = harness.now;

  REQUIRE(harness.StepUntil(
      [&] { return harness.starts[job_id("preview")] == 1; }));
  CHECK(harness.now - asked <= std::chrono::milliseconds(2100));
  harness.StepFor(std::chrono::minutes(1));
  CHECK(harness.CountJobs(job_status::kWaiting) == 1);
  CHECK(harness.CountJobs(job_status::kPlaced) == 4);
}

TEST_CASE("A team reaches its quota of accelerators") {
  job_planner_harness harness;
  for (vm_listing& vm : harness.vms) {
    vm.accelerators = 2;
  }
  for (int i = 0; i < 6; ++i) {
    job_requirements spec = harness.Spec("train-" + std::to_string(i), 1);
    spec.accelerators = 1;
    harness.Apply(submit_job{spec});
  }
  harness.StepFor(std::chrono::minutes(1));
  CHECK(harness.CountJobs(job_status::kPlaced) == 4);
  CHECK(harness.Planner().reasons().at("job:train-5") ==
        "team coast would hold 5 of its 4 accelerators");
}

TEST_CASE("Jobs are cancelled in a burst") {
  job_planner_harness harness;
  harness.run_time = std::chrono::hours(2);
  for (int i = 0; i < 500; ++i) {
    harness.Submit("job-" + std::to_string(i));
  }
  harness.StepFor(std::chrono::minutes(1));
  REQUIRE(harness.Running() == 12);
  for (int i = 0; i < 500; ++i) {
    harness.Cancel("job-" + std::to_string(i));
  }
  harness.Step();
  harness.Step();
  CHECK(harness.Running() == 0);
}

}  // namespace
}  // namespace plantainhead::core
