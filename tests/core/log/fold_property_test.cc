#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/log/control_log.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/core/log/record_number.h"

namespace plantainhead::core {
namespace {

// Generates random records about a small set of names, so that they often refer
// to the same object and conflict.
class record_generator {
 public:
  explicit record_generator(std::uint64_t seed) : random_(seed) {}

  // Returns a record that is valid under `state` more often than not.
  log_entry Draw(const fleet_state& state) {
    constexpr int kCopyOneIn = 15;
    if (!drawn_.empty() && Choose(kCopyOneIn) == 0) {
      return {state.offset + 1, drawn_[random_() % drawn_.size()]};
    }
    const record_number number{Entry(), ++numbers_};
    record content{MakeRecordId(number), "writer", Body(state)};
    drawn_.push_back(content);
    return {state.offset + 1, content};
  }

 private:
  std::uint64_t Choose(std::uint64_t choices) { return random_() % choices; }
  template <typename Id>
  Id Name(const char* kind) {
    return Id(kind + std::to_string(Choose(3)));
  }
  // Processes end and others start, so the range of incarnations moves on.
  incarnation Entry() {
    constexpr std::uint64_t kLives = 6;
    constexpr std::uint64_t kRecordsPerLife = 20;
    return incarnation{1 + Choose(kLives) + numbers_ / kRecordsPerLife};
  }
  lease_epoch Epoch(const fleet_state& state) {
    return Choose(5) == 0 ? Choose(4) : state.lease.epoch;
  }
  template <typename Map, typename Id>
  generation Expected(const Map& map, const Id& id) {
    const auto it = map.find(id);
    const generation current = it == map.end() ? 0 : it->second.version;
    return Choose(6) == 0 ? Choose(10) : current;
  }

  record_body Body(const fleet_state& state) {
    switch (Choose(10)) {
      case 0:
        return Member();
      case 1:
        return Lease(state);
      case 2:
        return Targets(state);
      case 3:
      case 4:
        return Wave(state);
      case 5:
      case 6:
        return Job(state);
      default:
        return Vm(state);
    }
  }
  record_body Member() {
    join_entry join;
    join.who = Entry();
    join.name = Name<entry_id>("entry");
    switch (Choose(6)) {
      case 0:
        return leave_entry{Entry()};
      case 1:
        return accuse_entry{Entry(), Entry()};
      case 2:
        return withdraw_accusation{Entry(), Entry()};
      default:
        return join;
    }
  }
  record_body Lease(const fleet_state& state) {
    if (Choose(2) == 0) {
      return take_planner_lease{Entry(), Epoch(state), 0};
    }
    return renew_planner_lease{Entry(), Epoch(state)};
  }
  record_body Targets(const fleet_state& state) {
    configuration targets;
    for (int i = 0; i < 3; ++i) {
      targets.pools.push_back({Name<pool_id>("pool"), team_id(), 0});
    }
    return publish_configuration{
        targets, Choose(3) == 0 ? Choose(4) : state.targets_version};
  }
  record_body Wave(const fleet_state& state) {
    const auto wave = Name<wave_id>("wave");
    if (Choose(3) == 0) {
      return start_wave{wave, {Name<pool_id>("pool")}, {}};
    }
    return set_wave_state{Choose(2) * Epoch(state), wave,
                          Expected(state.waves, wave),
                          static_cast<wave_state>(Choose(4)), ""};
  }
  record_body Job(const fleet_state& state) {
    job_requirements spec;
    spec.name = Name<job_id>("job");
    spec.pool = Name<pool_id>("pool");
    if (Choose(3) == 0) {
      return submit_job{spec};
    }
    return set_job_state{Choose(2) * Epoch(state),
                         spec.name,
                         Expected(state.jobs, spec.name),
                         static_cast<job_status>(Choose(6)),
                         Name<vm_id>("vm"),
                         operation_id(),
                         ""};
  }
  record_body Vm(const fleet_state& state) {
    const auto vm = Name<vm_id>("vm");
    const generation expected = Expected(state.vms, vm);
    switch (Choose(8)) {
      case 0:
        return forget_vm{Epoch(state), vm, expected};
      case 1:
        return set_quarantine{Choose(2) * Epoch(state), vm, expected,
                              Choose(2) == 0, ""};
      case 2:
      case 3:
        return assign_vm{Epoch(state), vm, expected, Name<pool_id>("pool"), ""};
      default:
        return set_vm_phase{Epoch(state),
                            vm,
                            expected,
                            static_cast<vm_phase>(Choose(5)),
                            operation_id(),
                            Choose(2) == 0 ? Name<wave_id>("wave") : wave_id(),
                            ""};
    }
  }

  random_source random_;
  std::uint64_t numbers_ = 0;
  std::vector<record> drawn_;
};

std::vector<log_entry> DrawLog(std::uint64_t seed, int records) {
  record_generator source(seed);
  fleet_state state;
  std::vector<log_entry> log;
  for (int i = 0; i < records; ++i) {
    log.push_back(source.Draw(state));
    Apply(state, log.back());
  }
  return log;
}

constexpr int kRecords = 400;

// Returns the state without the fields that every record changes.
fleet_state WithoutPositions(fleet_state state) {
  state.offset = 0;
  state.writers.clear();
  return state;
}

std::set<incarnation> MembersOf(const fleet_state& state) {
  std::set<incarnation> members;
  for (const auto& [who, member] : state.members) {
    members.insert(who);
  }
  return members;
}

void CheckNoneReturns(const std::set<incarnation>& before,
                      const std::set<incarnation>& after,
                      std::set<incarnation>& gone) {
  for (const incarnation who : before) {
    if (!after.contains(who)) {
      gone.insert(who);
    }
  }
  for (const incarnation who : after) {
    RC_ASSERT(!gone.contains(who));
  }
}

void CheckMembers(const fleet_state& state) {
  for (const auto& [who, member] : state.members) {
    RC_ASSERT(member.accusers.size() * 2 <= state.members.size() - 1 ||
              member.accusers.empty());
    for (const incarnation accuser : member.accusers) {
      RC_ASSERT(state.members.contains(accuser) && accuser != who);
    }
  }
}

// A VM changes its pool only by a record that names its current generation and
// while it is serving. A VM id never has the same generation twice.
void CheckVms(const fleet_state& before,
              const fleet_state& after,
              const record_body& body,
              std::map<vm_id, generation>& greatest) {
  for (const auto& [vm, now] : after.vms) {
    const auto was = before.vms.find(vm);
    const bool is_new = was == before.vms.end();
    if (!is_new && now == was->second) {
      continue;
    }
    RC_ASSERT(now.version > greatest[vm]);
    greatest[vm] = now.version;
    if (!is_new && now.pool == was->second.pool) {
      continue;
    }
    const auto* assigned = std::get_if<assign_vm>(&body);
    RC_ASSERT(assigned != nullptr && assigned->vm == vm);
    RC_ASSERT(assigned->epoch == before.lease.epoch);
    if (!is_new) {
      RC_ASSERT(assigned->expected == was->second.version);
      RC_ASSERT(was->second.phase == vm_phase::kServing);
    }
  }
}

TEST_CASE(
    "Any sequence of log records preserves the invariants of the fleet state") {
  const bool holds = rc::check([](std::uint64_t seed) {
    fleet_state state;
    std::map<vm_id, generation> greatest;
    std::map<fold_outcome, int> outcomes;
    std::set<incarnation> gone;
    for (const log_entry& entry : DrawLog(seed, kRecords)) {
      const fleet_state before = state;
      const fold_result result = Apply(state, entry);
      ++outcomes[result.outcome];
      RC_ASSERT(state.offset == before.offset + 1);
      RC_ASSERT(state.view >= before.view);
      RC_ASSERT((state.view == state.offset) ==
                (MembersOf(state) != MembersOf(before)));
      CheckNoneReturns(MembersOf(before), MembersOf(state), gone);
      RC_ASSERT(state.lease.epoch >= before.lease.epoch);
      RC_ASSERT(state.targets_version >= before.targets_version);
      if (result.outcome != fold_outcome::kApplied) {
        RC_ASSERT(WithoutPositions(state) == WithoutPositions(before));
      }
      CheckMembers(state);
      CheckVms(before, state, entry.content.body, greatest);
    }
    RC_ASSERT(outcomes.size() == 4U);
  });
  CHECK(holds);
}

TEST_CASE(
    "A snapshot and the records after it give the state of the whole log") {
  const bool holds = rc::check([](std::uint64_t seed) {
    const std::vector<log_entry> log = DrawLog(seed, kRecords);
    const std::size_t cut = seed % kRecords;
    fleet_state whole;
    auto snapshot = std::make_shared<fleet_state>();
    for (const log_entry& entry : log) {
      Apply(whole, entry);
      if (entry.offset <= cut) {
        Apply(*snapshot, entry);
      }
    }
    append_ids ids;
    random_source random(seed);
    control_log_settings settings;
    settings.queue.self = incarnation{99};
    control_log joiner(settings, &ids, &random);
    effects out;
    joiner.Start(time_point(), out);
    const std::uint64_t digest = Digest(*snapshot);
    const record taken{record_id("s"), "", snapshot_taken{snapshot, digest}};
    joiner.OnLogRead(time_point(), {kSnapshotStream, {}, 1, 1}, out);
    joiner.OnLogRead(time_point(), {kSnapshotStream, {{1, taken}}, 1, 1}, out);
    joiner.OnLogRead(
        time_point(),
        {kControlStream,
         {log.begin() + static_cast<std::ptrdiff_t>(cut), log.end()},
         kRecords,
         cut + 1},
        out);
    RC_ASSERT(joiner.state() == whole);
    RC_ASSERT(Digest(joiner.state()) == Digest(whole));
    RC_ASSERT(joiner.caught_up());
  });
  CHECK(holds);
}

TEST_CASE("The fleet state does not depend on how reads split the log") {
  // Reads have random lengths, and some records are delivered again, as after
  // reading restarts.
  const bool holds = rc::check([](std::uint64_t seed) {
    const std::vector<log_entry> log = DrawLog(seed, kRecords);
    fleet_state whole;
    for (const log_entry& entry : log) {
      Apply(whole, entry);
    }
    append_ids ids;
    random_source random(seed);
    control_log_settings settings;
    settings.queue.self = incarnation{99};
    control_log follower(settings, &ids, &random);
    effects out;
    follower.Start(time_point(), out);
    follower.OnLogRead(time_point(), {kSnapshotStream, {}, 0, 1}, out);
    follower.OnLogRead(time_point(), {kSnapshotStream, {}, 0, 1}, out);
    std::size_t applied = 0;
    while (follower.state().offset < log.size()) {
      const log_offset done = follower.state().offset;
      const auto first = static_cast<std::ptrdiff_t>(
          done - std::min<log_offset>(done, random() % 5));
      const auto last = static_cast<std::ptrdiff_t>(
          std::min<log_offset>(log.size(), done + random() % 60));
      applied += follower.OnLogRead(
          time_point(),
          {kControlStream,
           {log.begin() + first, log.begin() + std::max(first, last)},
           log.size(),
           1},
          out);
    }
    RC_ASSERT(applied == log.size());
    RC_ASSERT(Digest(follower.state()) == Digest(whole));
  });
  CHECK(holds);
}

}  // namespace
}  // namespace plantainhead::core
