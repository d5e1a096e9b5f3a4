#include "core/jobs/pool_model.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A read that watches is given up after 2 s, and a new one is sent then.
constexpr milliseconds kLatestRead(2100);
// The reads after a claim take this long when one of them hangs.
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

// Runs a pool under faults, then without, and returns what went wrong.
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

// Plays with seeds that the test's own seed gives.
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

TEST_CASE("A pool keeps its promises under faults in any order") {
  SECTION("late orders and lost answers") {
    model_faults faults;
    faults.late_orders = 0.2;
    faults.lost_answers = 0.1;
    CHECK(HoldsInvariants(faults));
  }

  // A caller asked how many jobs wait and was told 0: the first tasks of all
  // of them had been ordered, and no VM had taken one. Each record that says
  // that a job runs is checked against what VMs took.
  SECTION("orders that are lost or refused") {
    model_faults faults;
    faults.lost_orders = 0.2;
    faults.refused_orders = 0.3;
    CHECK(HoldsInvariants(faults));
  }

  SECTION("VMs that fall silent or crash") {
    model_faults faults;
    faults.silence_every = seconds(2);
    faults.crash_every = seconds(3);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("owners that replace one another while the earlier one goes on") {
    model_faults faults;
    faults.takeover_every = seconds(2);
    CHECK(HoldsInvariants(faults));
  }

  // A task ran twice: the owner before had read its job sooner than the new
  // owner did, and had started it.
  SECTION("owners that read new jobs sooner or later than one another") {
    model_faults faults;
    faults.takeover_every = seconds(2);
    faults.read_delay = kLatestRead;
    faults.takeover_time = kLongestTakeover;
    CHECK(HoldsInvariants(faults));
  }

  // Their tasks run on, and none starts there or, on that ground, elsewhere.
  SECTION("VMs whose entries can't be read, with all else") {
    model_faults faults = AllFaults();
    faults.unreadable_every = seconds(2);
    CHECK(HoldsInvariants(faults));
  }

  // Guards against starts, and against tasks that are lost or run twice, by a
  // capacity that a VM had before.
  SECTION("VMs whose capacity shrinks and grows") {
    model_faults faults;
    faults.shrink_every = milliseconds(700);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("VMs whose capacity shrinks and grows, with all else") {
    model_faults faults = AllFaults();
    faults.shrink_every = milliseconds(700);
    CHECK(HoldsInvariants(faults));
  }

  SECTION("all of it together") {
    CHECK(HoldsInvariants(AllFaults()));
  }

  SECTION("all of it together, with lost or refused orders and late reads") {
    model_faults faults = AllFaults();
    faults.lost_orders = 0.05;
    faults.refused_orders = 0.1;
    faults.read_delay = kLatestRead;
    faults.takeover_time = kLongestTakeover;
    CHECK(HoldsInvariants(faults));
  }
}

TEST_CASE("A pool keeps its promises while VMs begin again under their ids") {
  model_faults faults;
  faults.same_id_share = 1.0;
  faults.crash_every = seconds(8);

  SECTION("also if they fall silent") {
    faults.silence_every = seconds(4);
  }

  SECTION("also under late orders and lost answers") {
    faults.late_orders = 0.1;
    faults.lost_answers = 0.05;
  }

  SECTION("also if owners replace one another") {
    faults.takeover_every = seconds(3);
  }

  CHECK(HoldsInvariants(faults));
}

// Seeds that failed once.
TEST_CASE("A pool keeps its promises in the cases that it once broke them") {
  const std::uint32_t seed = GENERATE(130U);
  CAPTURE(seed);
  CHECK(RunModel(seed, AllFaults()) == std::vector<std::string>());
}

// A queue in its turn asks for twice what its pool holds, for four seconds;
// then there is calm. Every job still ends, and those that come in the calm end
// in time: jobs that are late anyway don't hold them up.
TEST_CASE(
    "After a rise past its capacity a pool serves the next jobs in time") {
  pool_model model(7, {}, 4);
  model.Run(milliseconds(500));
  // 32 cores; a job takes 8 core-seconds, so that 4 a second are what it holds.
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
    // Twice its chain of 1 s.
    CHECK(model.ended_at[id] - model.submitted_at[id] <= seconds(2));
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
