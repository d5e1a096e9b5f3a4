#include "core/jobs/pool_model.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A long-polling read times out after 2 s and is then repeated.
constexpr milliseconds kLatestRead(2100);
// The duration of the reads after a claim if one of them hangs.
constexpr milliseconds kLongestTakeover(2000);

std::shared_ptr<const job_spec> RandomJob(int number, std::mt19937* random) {
  std::vector<step_spec> steps;
  const auto count = 1 + (*random)() % 3;
  for (std::uint32_t i = 0; i < count; ++i) {
    step_spec step = Step(1 + (*random)() % 5, 500 + 500 * ((*random)() % 5));
    step.estimate = milliseconds(200 + 100 * ((*random)() % 10));
    if (i > 0) {
      step.depends_on = {i - 1};
    }
    if ((*random)() % 4 == 0) {
      step.max_per_vm = 2;
    }
    steps.push_back(step);
  }
  return Job("job-" + std::to_string(number), std::move(steps));
}

// Runs a pool with faults and then without, and returns the violations.
std::vector<std::string> RunModel(std::uint32_t seed,
                                  const model_faults& faults) {
  std::mt19937 random(seed);
  pool_model model(seed, faults, 5);
  model.Run(milliseconds(500));
  constexpr int kJobs = 25;
  for (int i = 0; i < kJobs; ++i) {
    model.Submit(RandomJob(i, &random), Policy(50));
    model.Run(milliseconds(400));
  }
  model.StopFaults();
  model.Run(seconds(60));
  std::vector<std::string> violations = model.violations;
  for (int i = 0; i < kJobs; ++i) {
    const job_id id = "job-" + std::to_string(i);
    if (model.PhaseOf(id) != job_phase::kCompleted) {
      violations.push_back("not completed: " + id);
    }
  }
  return violations;
}

// Runs the model with seeds that are derived from the seed of the test.
bool HoldsInvariants(const model_faults& faults) {
  return rc::check([&] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    RC_ASSERT(RunModel(seed, faults) == std::vector<std::string>());
  });
}

model_faults AllFaults() {
  model_faults faults;
  faults.late_orders = 0.05;
  faults.lost_answers = 0.05;
  faults.failing_runs = 0.05;
  faults.silence_every = seconds(4);
  faults.crash_every = seconds(6);
  faults.takeover_every = seconds(4);
  return faults;
}

TEST_CASE("The invariants of a pool hold under faults in any order") {
  SECTION("late orders and lost answers") {
    model_faults faults;
    faults.late_orders = 0.2;
    faults.lost_answers = 0.1;
    CHECK(HoldsInvariants(faults));
  }

  // Guards against jobs that are recorded as running, and not counted as
  // waiting, although their first tasks were only ordered and no VM had
  // accepted one. Each record of a running job is compared with the tasks that
  // VMs accepted.
  SECTION("orders that are lost or rejected") {
    model_faults faults;
    faults.lost_orders = 0.2;
    faults.refused_orders = 0.3;
    CHECK(HoldsInvariants(faults));
  }

  SECTION("VMs that stop answering or crash") {
    model_faults faults;
    faults.silence_every = seconds(2);
    faults.crash_every = seconds(3);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("owners that replace each other while the earlier one continues") {
    model_faults faults;
    faults.takeover_every = seconds(2);
    CHECK(HoldsInvariants(faults));
  }

  // Guards against a task that runs twice because the earlier owner had read
  // and started its job before the new owner read it.
  SECTION("owners that read new jobs at different times") {
    model_faults faults;
    faults.takeover_every = seconds(2);
    faults.read_delay = kLatestRead;
    faults.takeover_time = kLongestTakeover;
    CHECK(HoldsInvariants(faults));
  }

  // The tasks of these VMs continue; none starts there, and none starts
  // elsewhere for that reason.
  SECTION("VMs whose entries cannot be read, with all other faults") {
    model_faults faults = AllFaults();
    faults.unreadable_every = seconds(2);
    CHECK(HoldsInvariants(faults));
  }

  // Guards against starts that use an outdated capacity, and against tasks that
  // are lost or run twice because of it.
  SECTION("VMs whose capacity changes") {
    model_faults faults;
    faults.shrink_every = milliseconds(700);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("VMs whose capacity changes, with all other faults") {
    model_faults faults = AllFaults();
    faults.shrink_every = milliseconds(700);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("all faults") {
    CHECK(HoldsInvariants(AllFaults()));
  }

  SECTION("all faults, with lost or rejected orders and late reads") {
    model_faults faults = AllFaults();
    faults.lost_orders = 0.05;
    faults.refused_orders = 0.1;
    faults.read_delay = kLatestRead;
    faults.takeover_time = kLongestTakeover;
    CHECK(HoldsInvariants(faults));
  }
}

TEST_CASE("The invariants of a pool hold while VMs restart under their ids") {
  model_faults faults;
  faults.same_id_share = 1.0;
  faults.crash_every = seconds(8);

  SECTION("also if they stop answering") {
    faults.silence_every = seconds(4);
  }

  SECTION("also under late orders and lost answers") {
    faults.late_orders = 0.1;
    faults.lost_answers = 0.05;
  }

  SECTION("also if owners replace each other") {
    faults.takeover_every = seconds(3);
  }

  CHECK(HoldsInvariants(faults));
}

// Seeds of earlier failures.
TEST_CASE("The invariants of a pool hold for seeds of earlier failures") {
  const std::uint32_t seed = GENERATE(130U);
  CAPTURE(seed);
  CHECK(RunModel(seed, AllFaults()) == std::vector<std::string>());
}

// Guards against late jobs that delay others. A queue submits twice the
// capacity of its pool for 4 s, followed by normal load. All jobs must end, and
// those that are submitted under normal load must end in time.
TEST_CASE("After an overload a pool serves the next jobs in time") {
  pool_model model(7, {}, 4);
  model.Run(milliseconds(500));
  // The pool has 32 cores and a job takes 8 core-seconds, so that the capacity
  // is 4 jobs per second.
  step_spec step = Step(8, 1000);
  step.estimate = seconds(1);
  for (int i = 0; i < 32; ++i) {
    model.Submit(Job("rise-" + std::to_string(i), {step}), Policy());
    model.Run(milliseconds(125));
  }
  model.Run(seconds(3));
  for (int i = 0; i < 4; ++i) {
    model.Submit(Job("calm-" + std::to_string(i), {step}), Policy());
    model.Run(seconds(1));
  }
  model.Run(seconds(20));
  CHECK(model.violations.empty());
  for (int i = 0; i < 32; ++i) {
    CHECK(model.PhaseOf("rise-" + std::to_string(i)) == job_phase::kCompleted);
  }
  for (int i = 0; i < 4; ++i) {
    const job_id id = "calm-" + std::to_string(i);
    REQUIRE(model.ended_at.count(id) == 1);
    // Twice its critical path of 1 s.
    CHECK(model.ended_at[id] - model.submitted_at[id] <= seconds(2));
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
