#include "plantainhead/operators/control.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "operators/entry_server.h"
#include "operators/target_diff.h"

namespace plantainhead::operators {
namespace {

constexpr char kOtherTargets[] =
    "version: 1\n"
    "services:\n"
    "  - {name: intake, pools: [intake]}\n"
    "classes:\n"
    "  - {name: urgent, service: intake, served: 99%, within: 800ms, "
    "unavailability: 1%}\n"
    "pools:\n"
    "  - {name: intake, least-vms: 2}\n";

// A file that goes away with the test.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("plantainhead-" + std::to_string(std::random_device()()))) {
    std::ofstream(path_) << text;
  }
  ~temporary_file() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

core::entry_member Member(core::incarnation who, const entry_server& server) {
  core::entry_member member;
  member.who = who;
  member.name =
      core::entry_id("entry-" + std::to_string(static_cast<int>(who)));
  member.host = server.address().host;
  member.http_port = server.address().port;
  return member;
}

// Two entries that share one fold, as after both have read the log.
struct two_entries {
  two_entries() : first(&entry), second(&entry) {
    entry.folding = true;
    context.entries = {first.address(), second.address()};
    context.author = "lee";
    context.sleep = [](std::chrono::milliseconds) {};
  }

  exit_code Publish(const std::string& file) {
    publish_options options;
    options.file = file;
    return control(context, &out, &err).Publish(options);
  }

  operator_fixture entry;
  entry_server first;
  entry_server second;
  control_context context;
  std::ostringstream out;
  std::ostringstream err;
};

TEST_CASE("An operator publishes targets with plantainctl") {
  two_entries fleet;
  const temporary_file file(kOtherTargets);

  SECTION("and they are in force") {
    CHECK(fleet.Publish(file.path()) == exit_code::kOk);
    CHECK(fleet.entry.state.targets_version == 5);
    CHECK(fleet.entry.state.targets_author == "lee");
  }

  // The first entry appends the record, then its VM dies before the answer.
  // The second refuses the copy, since version 4 is no longer in force. The
  // operator must read "done", not "conflict", and the targets have changed
  // once.
  SECTION("though the answer is lost") {
    fleet.first.loses_answers = true;
    CHECK(fleet.Publish(file.path()) == exit_code::kOk);
    CHECK(fleet.entry.commands.size() == 2);
    CHECK(fleet.entry.state.targets_version == 5);
  }

  // As before, but between the lost answer and the second copy another operator
  // publishes. The copy must not undo that; the operator sees a conflict.
  SECTION("though the answer is lost and another operator comes in between") {
    fleet.first.loses_answers = true;
    fleet.first.after_change = [&] {
      fleet.entry.Ask("PUT", "/v1/targets", kSmallTargets,
                      {{"plantain-author", "kim"}});
    };
    CHECK(fleet.Publish(file.path()) == exit_code::kConflict);
    CHECK(fleet.entry.state.targets_author == "kim");
    CHECK(fleet.err.str().find("kim") != std::string::npos);
  }

  SECTION("with a version that is no longer in force") {
    publish_options options;
    options.file = file.path();
    options.expected = 3;
    CHECK(control(fleet.context, &fleet.out, &fleet.err).Publish(options) ==
          exit_code::kConflict);
    CHECK(fleet.entry.state.targets_version == 4);
  }

  SECTION("from a file with mistakes, and no entry is asked") {
    const temporary_file wrong("version: 1\nservies: []\n");
    CHECK(fleet.Publish(wrong.path()) == exit_code::kBadInput);
    CHECK(fleet.err.str().find(":2:1: 'servies' is not a known key") !=
          std::string::npos);
    CHECK(fleet.first.requests == 0);
  }

  SECTION("while no entry is up") {
    const dead_entry down;
    fleet.context.entries = {down.address()};
    CHECK(fleet.Publish(file.path()) == exit_code::kUnreachable);
  }
}

TEST_CASE("An operator waits until targets are in force everywhere") {
  const temporary_file file(kOtherTargets);
  two_entries fleet;
  operator_fixture late_entry;
  late_entry.who = core::incarnation{2};
  entry_server late(&late_entry);
  fleet.entry.who = core::incarnation{1};
  auto& members = fleet.entry.state.members;
  members[core::incarnation{1}] = Member(core::incarnation{1}, fleet.first);
  members[core::incarnation{2}] = Member(core::incarnation{2}, late);
  publish_options options;
  options.file = file.path();
  options.wait = true;
  int polls = 0;

  SECTION("and comes back once the last entry has read the log") {
    fleet.context.sleep = [&](std::chrono::milliseconds) {
      if (++polls == 3) {
        late_entry.state.targets_offset = 91;
      }
    };
    CHECK(control(fleet.context, &fleet.out, &fleet.err).Publish(options) ==
          exit_code::kOk);
    CHECK(polls == 3);
  }

  // The late entry's VM is replaced; a new process has its port and has read
  // everything. Only the view tells that the old one is gone.
  SECTION("and isn't misled by a new process on an old port") {
    late_entry.who = core::incarnation{3};
    late_entry.state.targets_offset = 91;
    fleet.context.sleep = [&](std::chrono::milliseconds) {
      if (++polls == 3) {
        members.erase(core::incarnation{2});
      }
    };
    CHECK(control(fleet.context, &fleet.out, &fleet.err).Publish(options) ==
          exit_code::kOk);
    CHECK(polls == 3);
  }

  SECTION("or learns who lags when time is up") {
    options.wait_limit = std::chrono::milliseconds(0);
    CHECK(control(fleet.context, &fleet.out, &fleet.err).Publish(options) ==
          exit_code::kFailed);
    CHECK(fleet.err.str().find("not yet in force at: entry-2") !=
          std::string::npos);
  }
}

TEST_CASE("An operator drives waves and jobs with plantainctl") {
  two_entries fleet;
  control run(fleet.context, &fleet.out, &fleet.err);

  SECTION("from start to cancellation") {
    CHECK(run.StartWave({"w1", {"intake"}, ""}) == exit_code::kOk);
    CHECK(run.ChangeWave("w1", "pause", "storm") == exit_code::kOk);
    CHECK(run.ChangeWave("w1", "resume", "") == exit_code::kOk);
    CHECK(run.ChangeWave("w1", "cancel", "") == exit_code::kOk);
    CHECK(run.ChangeWave("w1", "resume", "") == exit_code::kConflict);
    CHECK(run.ShowWaves("w1") == exit_code::kOk);
    CHECK(run.ShowWaves("w2") == exit_code::kBadInput);
  }

  // Each answer of the first entry is lost after the record was applied; the
  // second entry refuses every copy.
  SECTION("though every answer of one entry is lost") {
    fleet.first.loses_answers = true;
    CHECK(run.StartWave({"w1", {"intake"}, ""}) == exit_code::kOk);
    CHECK(run.ChangeWave("w1", "pause", "") == exit_code::kOk);
    job_options job;
    job.job = "j1";
    job.pool = "intake";
    CHECK(run.SubmitJob(job) == exit_code::kOk);
    CHECK(run.ChangeJob("j1", "cancel", "") == exit_code::kOk);
    CHECK(fleet.entry.state.jobs.at(core::job_id("j1")).state ==
          core::job_status::kCancelled);
  }

  // The pause is carried out, its answer is lost, and another operator resumes
  // the wave. The second copy must not pause it again behind their back.
  SECTION("though another operator comes between a lost answer and its copy") {
    CHECK(run.StartWave({"w1", {"intake"}, ""}) == exit_code::kOk);
    fleet.first.loses_answers = true;
    fleet.first.after_change = [&] {
      fleet.entry.Ask("POST", "/v1/waves/w1/resume", "",
                      {{"plantain-author", "kim"}});
    };
    CHECK(run.ChangeWave("w1", "pause", "") == exit_code::kConflict);
    CHECK(fleet.entry.state.waves.at(core::wave_id("w1")).state ==
          core::wave_state::kRunning);
  }

  SECTION("whose name another operator took") {
    fleet.entry.Ask("POST", "/v1/waves", R"({"wave":"w1","pools":["intake"]})");
    CHECK(run.StartWave({"w1", {"intake"}, ""}) == exit_code::kConflict);
  }
}

TEST_CASE("An operator reads the fleet's burn while an entry is down") {
  two_entries fleet;
  const dead_entry down;
  fleet.context.entries = {down.address(), fleet.second.address()};
  fleet.context.format = output_format::kHtml;
  CHECK(control(fleet.context, &fleet.out, &fleet.err).Burn() ==
        exit_code::kOk);
  CHECK(fleet.out.str().find("<svg") != std::string::npos);
}

TEST_CASE("An operator compares targets") {
  const auto before = settings::ParseTargets(kSmallTargets, "a");
  auto after = settings::ParseTargets(kOtherTargets, "b");
  after.teams.push_back({core::team_id("t"), 3, 0});

  CHECK(DiffTargets(before, after) == std::vector<std::string>{
                                          "~ class urgent: within 1s -> 800ms",
                                          "~ pool intake: least-vms 1 -> 2",
                                          "+ team t vms=3 accelerators=0",
                                      });
  CHECK(DiffTargets(before, before).empty());
}

}  // namespace
}  // namespace plantainhead::operators
