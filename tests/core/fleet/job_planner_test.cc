#include "plantainhead/core/fleet/job_planner.h"

#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"

namespace plantainhead::core {
namespace {

/// A pool of workers with 16 processors and 64 GB each, in three zones.
class job_story : public planner_harness {
 public:
  explicit job_story(int workers = 6) {
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
  bool Becomes(const std::string& job,
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

TEST_CASE("A job runs to its end") {
  job_story world;
  world.Submit("map");

  SECTION("started once, its lease renewed far beyond its length") {
    world.run_time = std::chrono::hours(1);
    REQUIRE(world.Becomes("map", job_status::kFinished, std::chrono::hours(2)));
    CHECK(world.starts[job_id("map")] == 1);
  }

  SECTION("also when its planner is lost before it started it") {
    // The record that places the job is in the log, its planner dies before the
    // start goes out. The next planner sends the start of the record.
    world.Step();
    REQUIRE(world.Job("map").state == job_status::kPlaced);
    REQUIRE(world.starts.empty());
    world.ReplacePlanner();
    REQUIRE(world.Becomes("map", job_status::kFinished));
    CHECK(world.starts[job_id("map")] == 1);
  }

  SECTION("on another worker when its own is lost, after the lease") {
    // The worker vanishes from the list with the task on it. It may only be cut
    // off, and still run the job; a start elsewhere before the lease has ended
    // would run it twice at once.
    world.run_time = std::chrono::hours(1);
    world.StepFor(std::chrono::minutes(1));
    const vm_id first = world.Job("map").vm;
    std::erase_if(world.vms, [&](const auto& vm) { return vm.vm == first; });
    world.tasks.clear();
    REQUIRE(world.StepUntil([&] { return world.starts[job_id("map")] == 2; },
                            std::chrono::minutes(10)));
    CHECK(world.overlaps == 0);
    CHECK(world.Job("map").vm != first);
  }

  SECTION("after a checkpoint when a wave drains its worker") {
    world.run_time = std::chrono::minutes(30);
    world.StepFor(std::chrono::minutes(1));
    const vm_id first = world.Job("map").vm;
    const wave_id wave("kernel");
    world.Apply(start_wave{wave, {pool_id("lidar")}, {}});
    REQUIRE(world.StepUntil([&] {
      return world.state.waves.at(wave).state == wave_state::kFinished;
    }));
    CHECK(world.reboots.size() == 6);
    REQUIRE(world.Becomes("map", job_status::kFinished));
    // The second placement prefers workers that the wave has visited.
    CHECK(world.starts[job_id("map")] == 2);
    CHECK(world.Job("map").failures == 0);
  }
}

TEST_CASE("A worker fails every task") {
  // The worker with the least room is chosen first, fails at once and has room
  // again: it would eat the whole queue.
  job_story world;
  world.bad_workers = {vm_id("w0")};
  for (int i = 0; i < 20; ++i) {
    world.Submit("job-" + std::to_string(i));
  }
  REQUIRE(world.StepUntil(
      [&] { return world.CountJobs(job_status::kFinished) == 20; }));
  CHECK(world.Vm("w0").quarantined);
  CHECK(world.CountJobs(job_status::kParked) == 0);

  world.bad_workers.clear();
  world.StepFor(std::chrono::hours(2));
  CHECK_FALSE(world.Vm("w0").quarantined);
}

TEST_CASE("A start is sent again after the job's expected size changed") {
  // The answer to a start is lost. Until it is sent again, other tasks show
  // that the team's jobs use far less than they declare. The platform refuses
  // an id that comes with other figures, and a refusal that is believed leaves
  // a task running that nobody counts.
  job_story world;
  world.Submit("first");
  world.StepFor(std::chrono::seconds(5));
  world.Submit("second");
  world.StepUntil([&] { return world.starts.contains(job_id("second")); });
  std::erase_if(world.tasks,
                [](const auto& task) { return task.job == job_id("second"); });
  for (task_listing& task : world.tasks) {
    task.processors_used = 2;
    task.memory_used_mb = 1024;
  }
  world.ReplacePlanner();
  world.StepFor(std::chrono::seconds(5));
  CHECK(world.changed == 0);
}

TEST_CASE("All workers refuse a job for a while") {
  // The list shows room that the platform no longer has. Each refusal ends the
  // placement; taken for failures, ten of them within seconds would park a job
  // that is sound.
  job_story world;
  for (const vm_listing& vm : world.vms) {
    world.refusing.insert(vm.vm);
  }
  world.Submit("map");
  world.StepFor(std::chrono::minutes(10));
  CHECK(world.Job("map").state != job_status::kParked);
  world.refusing.clear();
  CHECK(world.Becomes("map", job_status::kFinished));
}

TEST_CASE("Some jobs can never run") {
  job_story world;

  SECTION("one that fails everywhere is parked, its workers are not blamed") {
    world.bad_jobs = {job_id("broken")};
    world.Submit("broken");
    world.Submit("sound");
    REQUIRE(world.Becomes("broken", job_status::kParked));
    CHECK(world.Job("broken").reason.starts_with("it failed on 3 workers"));
    CHECK(world.starts[job_id("broken")] == 3);
    REQUIRE(world.Becomes("sound", job_status::kFinished));
    for (const auto& [id, vm] : world.state.vms) {
      CHECK_FALSE(vm.quarantined);
    }
  }

  SECTION("one that no worker could hold is parked, with what it takes") {
    world.Submit("huge", 64);
    REQUIRE(world.Becomes("huge", job_status::kParked));
    CHECK(world.Job("huge").reason.find("64 processors") != std::string::npos);
  }
}

TEST_CASE("An urgent job is submitted to a full pool") {
  job_story world(2);
  world.run_time = std::chrono::hours(2);
  for (int i = 0; i < 4; ++i) {
    world.Submit("batch-" + std::to_string(i));
  }
  world.StepFor(std::chrono::minutes(1));
  REQUIRE(world.CountJobs(job_status::kPlaced) == 4);
  job_requirements urgent = world.Spec("preview");
  urgent.urgent = true;
  world.Apply(submit_job{urgent});
  const time_point asked = world.now;

  REQUIRE(
      world.StepUntil([&] { return world.starts[job_id("preview")] == 1; }));
  CHECK(world.now - asked <= std::chrono::milliseconds(2100));
  world.StepFor(std::chrono::minutes(1));
  CHECK(world.CountJobs(job_status::kWaiting) == 1);
  CHECK(world.CountJobs(job_status::kPlaced) == 4);
}

TEST_CASE("A team reaches its quota of accelerators") {
  job_story world;
  for (vm_listing& vm : world.vms) {
    vm.accelerators = 2;
  }
  for (int i = 0; i < 6; ++i) {
    job_requirements spec = world.Spec("train-" + std::to_string(i), 1);
    spec.accelerators = 1;
    world.Apply(submit_job{spec});
  }
  world.StepFor(std::chrono::minutes(1));
  CHECK(world.CountJobs(job_status::kPlaced) == 4);
  CHECK(world.Planner().reasons().at("job:train-5") ==
        "team coast would hold 5 of its 4 accelerators");
}

TEST_CASE("Jobs are cancelled in a burst") {
  job_story world;
  world.run_time = std::chrono::hours(2);
  for (int i = 0; i < 500; ++i) {
    world.Submit("job-" + std::to_string(i));
  }
  world.StepFor(std::chrono::minutes(1));
  REQUIRE(world.Running() == 12);
  for (int i = 0; i < 500; ++i) {
    world.Cancel("job-" + std::to_string(i));
  }
  world.Step();
  world.Step();
  CHECK(world.Running() == 0);
}

}  // namespace
}  // namespace plantainhead::core
