#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"
#include "plantainhead/core/fleet/wave_planner.h"

namespace plantainhead::core {
namespace {

// A wave may be started right after the first configuration is published,
// before the planner has assigned any VM to a pool. The pool of the wave is
// then empty, but the wave must not be finished: its listed VMs would never be
// rebooted.
TEST_CASE("A wave is started before the first VM has a pool") {
  planner_harness harness;
  configuration targets;
  targets.pools = {{pool_id("casework"), team_id(), 0}};
  harness.Apply(publish_configuration{targets, 0});
  harness.Apply(start_wave{wave_id("kernel"), {pool_id("casework")}, {}});
  for (const std::string zone : {"goyang", "suwon"}) {
    harness.AddVm(zone + "-1", zone, zone + "-rack", "casework");
  }

  const bool finished = harness.StepUntil([&] {
    return harness.state.waves.at(wave_id("kernel")).state ==
           wave_state::kFinished;
  });

  CHECK(finished);
  CHECK(harness.reboots.size() == 2);
}

}  // namespace
}  // namespace plantainhead::core
