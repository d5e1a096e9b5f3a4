#include "plantainhead/core/log/fold.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

#include "plantainhead/core/log/digest.h"
#include "plantainhead/core/log/record_number.h"

namespace plantainhead::core {
namespace {

constexpr incarnation kFirst{1};
constexpr incarnation kSecond{2};
constexpr incarnation kThird{3};

// Applies records one after another and assigns their ids and offsets.
class log_writer {
 public:
  fold_result Write(record_body body, std::string author = "writer") {
    const std::string id = "record-" + std::to_string(++written_);
    return WriteAs(id, std::move(body), std::move(author));
  }
  fold_result WriteAs(std::string id,
                      record_body body,
                      std::string author = "writer") {
    return Apply(state, {state.offset + 1,
                         {record_id(std::move(id)), std::move(author),
                          std::move(body)}});
  }
  void Join(incarnation who, const std::string& name) {
    join_entry body;
    body.who = who;
    body.name = entry_id(name);
    Write(body);
  }
  // Creates three members, the first of which is the planner, and two pools.
  void Prepare() {
    Join(kFirst, "entry-1");
    Join(kSecond, "entry-2");
    Join(kThird, "entry-3");
    Write(take_planner_lease{kFirst, 0, 0});
    configuration targets;
    targets.pools = {{pool_id("red"), team_id(), 0},
                     {pool_id("blue"), team_id(), 0}};
    Write(publish_configuration{targets, 0}, "ana");
  }

  fleet_state state;

 private:
  int written_ = 0;
};

TEST_CASE("Two operators publish a configuration at once") {
  // Both operators read generation 0 and publish. The log orders the records:
  // the first takes effect, and the second must be a conflict, or the first
  // operator's change would be lost silently.
  log_writer log;
  const fold_result ana = log.Write(publish_configuration{{}, 0}, "ana");
  const fold_result ben = log.Write(publish_configuration{{}, 0}, "ben");

  CHECK(ana.outcome == fold_outcome::kApplied);
  CHECK(ben.outcome == fold_outcome::kConflict);
  CHECK(ben.detail ==
        "the configuration has generation 1, not 0: in force since offset 1, "
        "written by ana");
  CHECK(log.state.targets_author == "ana");
  CHECK(log.state.offset == 2);
}

TEST_CASE("A record is appended twice") {
  // The result of an append is lost after its records were written, so the
  // writer appends them again. The stream contains both copies; the second must
  // have no effect.
  log_writer log;
  log.WriteAs("same", publish_configuration{{}, 0}, "ana");
  const fold_result second =
      log.WriteAs("same", publish_configuration{{}, 1}, "ana");

  CHECK(second.outcome == fold_outcome::kDuplicate);
  CHECK(log.state.targets_version == 1);
  CHECK(log.state.offset == 2);
}

TEST_CASE("A delayed append arrives after later ones of its writer") {
  // An append of records 1 and 2 times out in the network. The writer drops
  // record 1, which has become obsolete, and appends 2 again; then the first
  // append arrives after all. Neither of its records may take effect: 2 has
  // already been applied, and 1 was withdrawn.
  log_writer log;
  log.Join(kFirst, "entry-1");
  const auto id = [](std::uint64_t number) {
    return MakeRecordId({kSecond, number}).value();
  };
  join_entry join;
  join.who = kSecond;
  join.name = entry_id("entry-2");
  CHECK(log.WriteAs(id(2), join).outcome == fold_outcome::kApplied);
  CHECK(log.WriteAs(id(1), leave_entry{kFirst}).outcome ==
        fold_outcome::kDuplicate);
  CHECK(log.WriteAs(id(2), join).outcome == fold_outcome::kDuplicate);
  CHECK(log.state.members.size() == 2);
  CHECK(log.state.writers.at(kSecond) == writer_position{2, 2});
}

TEST_CASE("A log entry that is not the next one is rejected") {
  log_writer log;
  log.Join(kFirst, "entry-1");
  const fleet_state before = log.state;
  log_entry entry;
  entry.offset = GENERATE(1U, 3U);
  CHECK_THROWS_AS(Apply(log.state, entry), offset_error);
  CHECK(log.state == before);
}

TEST_CASE("The planner's VMs") {
  log_writer log;
  log.Prepare();
  const vm_id vm("vm-1");
  REQUIRE(log.Write(assign_vm{1, vm, 0, pool_id("red"), ""}).outcome ==
          fold_outcome::kApplied);
  const generation version = log.state.vms.at(vm).version;

  SECTION("move once for each generation") {
    CHECK(log.Write(assign_vm{1, vm, version, pool_id("blue"), ""}).outcome ==
          fold_outcome::kApplied);
    const fold_result second =
        log.Write(assign_vm{1, vm, version, pool_id("red"), ""});
    CHECK(second.outcome == fold_outcome::kConflict);
    CHECK(log.state.vms.at(vm).pool == pool_id("blue"));
  }

  SECTION("are not moved by a former planner that was frozen") {
    // The first planner freezes while sending a record. Its lease expires, the
    // second takes the next epoch, and then the old record arrives.
    REQUIRE(log.Write(take_planner_lease{kSecond, 1, 0}).outcome ==
            fold_outcome::kApplied);
    const fold_result late =
        log.Write(assign_vm{1, vm, version, pool_id("blue"), ""});
    CHECK(late.outcome == fold_outcome::kConflict);
    CHECK(late.detail.find("entry-2") != std::string::npos);
    CHECK(log.state.vms.at(vm).pool == pool_id("red"));
  }

  SECTION("are assigned to configured pools only") {
    CHECK(
        log.Write(assign_vm{1, vm, version, pool_id("nowhere"), ""}).outcome ==
        fold_outcome::kConflict);
  }

  SECTION("that are deleted and listed again never repeat a generation") {
    // A VM is deleted and listed again. A record written for its earlier
    // instance arrives afterwards and must not match.
    log.Write(forget_vm{1, vm, version});
    log.Write(assign_vm{1, vm, 0, pool_id("red"), ""});
    CHECK(log.state.vms.at(vm).version > version);
  }

  SECTION("count as visited by a wave after they return") {
    const wave_id wave("may");
    log.Write(start_wave{wave, {pool_id("red")}, {}}, "ana");
    const auto step = [&](vm_phase phase) {
      return log
          .Write(set_vm_phase{1, vm, log.state.vms.at(vm).version, phase,
                              operation_id(), wave, ""})
          .outcome;
    };
    CHECK(step(vm_phase::kRebooting) == fold_outcome::kConflict);
    CHECK(step(vm_phase::kDraining) == fold_outcome::kApplied);
    CHECK(log.Write(assign_vm{1, vm, log.state.vms.at(vm).version,
                              pool_id("blue"), ""})
              .outcome == fold_outcome::kConflict);
    CHECK(step(vm_phase::kDrained) == fold_outcome::kApplied);
    CHECK(step(vm_phase::kRebooting) == fold_outcome::kApplied);
    CHECK(step(vm_phase::kReturning) == fold_outcome::kApplied);
    CHECK(log.state.waves.at(wave).visited.empty());
    CHECK(step(vm_phase::kServing) == fold_outcome::kApplied);
    CHECK(log.state.waves.at(wave).visited.contains(vm));
  }

  SECTION("are not drained for a wave that was paused meanwhile") {
    const wave_id wave("may");
    log.Write(start_wave{wave, {pool_id("red")}, {}}, "ana");
    log.Write(set_wave_state{0, wave, log.state.waves.at(wave).version,
                             wave_state::kPaused, "storm"},
              "ana");
    CHECK(log.Write(set_vm_phase{1, vm, version, vm_phase::kDraining,
                                 operation_id(), wave, ""})
              .outcome == fold_outcome::kConflict);
  }
}

TEST_CASE("Members join, leave and are expelled") {
  log_writer log;
  log.Prepare();

  SECTION("one is expelled once more than half of the others accuse it") {
    log.Write(accuse_entry{kSecond, kFirst});
    CHECK(log.state.members.contains(kFirst));
    log.Write(accuse_entry{incarnation{77}, kFirst});
    CHECK(log.state.members.contains(kFirst));
    log.Write(accuse_entry{kThird, kFirst});
    CHECK_FALSE(log.state.members.contains(kFirst));
    CHECK(log.state.view == log.state.offset);

    log.Join(kFirst, "entry-1");
    CHECK_FALSE(log.state.members.contains(kFirst));
    CHECK(log.Write(assign_vm{1, vm_id("v"), 0, pool_id("red"), ""}).outcome ==
          fold_outcome::kConflict);
    CHECK(log.Write(take_planner_lease{kSecond, 1, 0}).outcome ==
          fold_outcome::kApplied);
  }

  SECTION("a restarted VM takes the place of its former process") {
    log.Join(incarnation{9}, "entry-2");
    CHECK_FALSE(log.state.members.contains(kSecond));
    CHECK(log.state.members.contains(incarnation{9}));
  }

  SECTION("a holder that leaves frees the planner lease") {
    log.Write(leave_entry{kFirst});
    CHECK(log.state.lease.holder == incarnation::kNone);
    CHECK(log.state.lease.epoch == 1);
  }

  SECTION("a lease that was renewed meanwhile is not taken") {
    const log_offset read = log.state.lease.renewed_at;
    log.Write(renew_planner_lease{kFirst, 1});
    CHECK(log.Write(take_planner_lease{kSecond, 1, read}).outcome ==
          fold_outcome::kConflict);
  }
}

TEST_CASE("A job is placed, fails and is parked") {
  log_writer log;
  log.Prepare();
  const vm_id vm("vm-1");
  log.Write(assign_vm{1, vm, 0, pool_id("red"), ""});
  job_requirements spec;
  spec.name = job_id("tiles");
  spec.pool = pool_id("red");
  log.Write(submit_job{spec}, "ana");
  const auto set = [&](lease_epoch epoch, job_status state) {
    return log
        .Write(set_job_state{epoch, spec.name,
                             log.state.jobs.at(spec.name).version, state, vm,
                             operation_id(), ""})
        .outcome;
  };
  CHECK(set(0, job_status::kPlaced) == fold_outcome::kIgnored);
  CHECK(set(1, job_status::kPlaced) == fold_outcome::kApplied);
  CHECK(set(1, job_status::kWaiting) == fold_outcome::kApplied);
  CHECK(log.state.jobs.at(spec.name).failures == 1);
  CHECK(set(1, job_status::kParked) == fold_outcome::kApplied);

  SECTION("and an operator resumes it") {
    CHECK(set(0, job_status::kWaiting) == fold_outcome::kApplied);
    CHECK(log.state.jobs.at(spec.name).failures == 0);
  }

  SECTION("and its worker is quarantined, which rejects new jobs") {
    log.Write(set_quarantine{0, vm, log.state.vms.at(vm).version, true, ""},
              "ana");
    set(0, job_status::kWaiting);
    CHECK(set(1, job_status::kPlaced) == fold_outcome::kConflict);
  }
}

TEST_CASE("Ended jobs are evicted, the oldest first") {
  log_writer log;
  log.Prepare();
  for (std::size_t i = 0; i <= kRetainedEndedJobs; ++i) {
    job_requirements spec;
    spec.name = job_id("job-" + std::to_string(i));
    spec.pool = pool_id("red");
    log.Write(submit_job{spec});
    log.Write(set_job_state{0, spec.name, log.state.offset,
                            job_status::kCancelled, vm_id(), operation_id(),
                            ""});
  }
  CHECK(log.state.jobs.size() == kRetainedEndedJobs);
  CHECK_FALSE(log.state.jobs.contains(job_id("job-0")));
}

TEST_CASE("A script submits an unlimited number of jobs") {
  // Every entry stores every job, so all would run out of memory together.
  log_writer log;
  log.Prepare();
  fold_result last;
  for (std::size_t i = 0; i <= kMaxJobs; ++i) {
    job_requirements spec;
    spec.name = job_id("job-" + std::to_string(i));
    spec.pool = pool_id("red");
    last = log.Write(submit_job{spec});
  }
  CHECK(last.outcome == fold_outcome::kConflict);
  CHECK(log.state.jobs.size() == kMaxJobs);
}

TEST_CASE("Records that do not belong on the control stream are ignored") {
  log_writer log;
  CHECK(log.Write(unknown_record{"from-next-year"}).outcome ==
        fold_outcome::kIgnored);
  CHECK(log.Write(claim_request{}).outcome == fold_outcome::kIgnored);
  CHECK(log.Write(snapshot_taken{}).outcome == fold_outcome::kIgnored);
  CHECK(log.WriteAs("", leave_entry{}).outcome == fold_outcome::kIgnored);
  CHECK(log.state.offset == 4);
}

TEST_CASE("Different states have different digests") {
  log_writer log;
  log.Prepare();
  fleet_state other = log.state;
  CHECK(Digest(other) == Digest(log.state));
  other.members.at(kFirst).accusers.insert(kSecond);
  CHECK(Digest(other) != Digest(log.state));
}

}  // namespace
}  // namespace plantainhead::core
