#include <catch2/catch.hpp>

#include "core/entry/entry_fleet.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr incarnation kFirst{1};
constexpr incarnation kSecond{2};
constexpr incarnation kThird{3};
constexpr int kAtOnce = 60;

/// Counts calls to a VM that start more than `kBound` after its drain record
/// was written to the log.
struct drain_fixture : entry_fleet {
  static constexpr duration kBound = seconds(2);

  drain_fixture() : entry_fleet(3) {
    for (const std::string zone : {"suwon", "goyang", "seongnam"}) {
      AddVm(zone + "-1", zone);
      AddVm(zone + "-2", zone);
    }
    Begin();
    trace = [this](const event*, const action_list& actions) {
      for (const action& item : actions) {
        if (const auto* call = std::get_if<call_endpoint>(&item)) {
          ++calls_started;
          const auto drain = drained_at.find(call->vm);
          late_calls +=
              drain != drained_at.end() && now - drain->second > kBound ? 1 : 0;
        }
      }
    };
    each_step = [this] { Watch(); };
  }

  bool StartsWave(incarnation at = kFirst) {
    Command(at, start_wave{wave_id("kernel"), {pool_id("casework")}, {}});
    return StepUntil([&] { return !drained_at.empty(); });
  }
  bool WaveEnds() {
    return StepUntil([&] {
      return entries[kFirst].core->fleet().waves.at(wave_id("kernel")).state ==
             wave_state::kFinished;
    });
  }

  int late_calls = 0;
  int calls_started = 0;
  std::size_t drains = 0;
  std::map<vm_id, time_point> drained_at;

 private:
  void Watch() {
    const auto& records = log.streams[kControlStream].records;
    for (; read_ < records.size(); ++read_) {
      const auto* phase = std::get_if<set_vm_phase>(&records[read_].body);
      if (phase == nullptr) {
        continue;
      }
      if (phase->phase == vm_phase::kDraining) {
        drained_at[phase->vm] = now;
        ++drains;
      }
      if (phase->phase == vm_phase::kServing) {
        drained_at.erase(phase->vm);
      }
    }
    for (auto& [who, item] : entries) {
      if (item.alive && !item.exited && !item.frozen) {
        SendRequest(who);
      }
    }
  }

  std::size_t read_ = 0;
};

// A wave drains VMs under load. Owners must stop sending to a VM as soon as
// they have read its drain record, even if they read it late.
TEST_CASE("A draining endpoint gets no new work after two seconds") {
  drain_fixture fleet;

  SECTION("without faults") {
    REQUIRE(fleet.StartsWave());
    REQUIRE(fleet.WaveEnds());
    CHECK(fleet.drains == 6);
  }
  SECTION("with a slow log") {
    fleet.log_delay = milliseconds(500);
    fleet.read_interval = milliseconds(1500);
    REQUIRE(fleet.StartsWave());
    REQUIRE(fleet.WaveEnds());
    CHECK(fleet.drains == 6);
  }

  CHECK(fleet.late_calls == 0);
  CHECK(fleet.calls_started > 100);
  CHECK(fleet.calls_interrupted_by_reboot == 0);
}

// An entry is frozen while a VM starts to drain, and requests are waiting for
// it when it resumes. It has not read the log yet and must not send these
// requests to that VM, seconds after all others stopped.
TEST_CASE("An entry resumes after a VM began to drain") {
  drain_fixture fleet;
  const incarnation frozen = GENERATE(kFirst, kSecond, kThird);
  fleet.StepFor(seconds(1));
  fleet.entries[frozen].frozen = true;
  REQUIRE(fleet.StartsWave(frozen == kFirst ? kSecond : kFirst));
  fleet.StepFor(seconds(4));
  REQUIRE_FALSE(fleet.drained_at.empty());
  fleet.entries[frozen].frozen = false;
  for (int i = 0; i < kAtOnce; ++i) {
    fleet.SendRequest(frozen);
  }
  fleet.StepFor(seconds(10));
  CHECK(fleet.late_calls == 0);
  CHECK(fleet.calls_interrupted_by_reboot == 0);
}

}  // namespace
}  // namespace plantainhead::core
