#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "jobs/fleet_records.h"
#include "jobs/record_codec.h"
#include "platform/record_reader.h"
#include "record_mutations.h"

// Another writer has put a record into a topic of this project. It gives a
// whole record or a fault with its place, and nothing is thrown.
namespace plantainhead::jobs {
namespace {

using core::jobs::fault_kind;
using core::jobs::record_fault;
using json = nlohmann::json;
using testing::mutation;

constexpr const char* kId = "0123456789abcdef";

submission_record SampleSubmission() {
  submission_record record;
  record.spec.id = kId;
  record.spec.queue = "queue";
  record.spec.pool = "pool";
  record.spec.payload = "payload";
  core::jobs::step_spec step;
  step.task_count = 3;
  step.need = {500, 256, 1};
  step.estimate = std::chrono::milliseconds(900);
  step.depends_on = {0};
  step.checkpoints = true;
  step.max_unavailable = 2;
  step.required_label = "label";
  step.latency_target = std::chrono::milliseconds(120);
  record.spec.steps = {core::jobs::step_spec(), step};
  record.spec.schedule =
      core::jobs::job_schedule{core::time_point(std::chrono::milliseconds(5)),
                               std::chrono::milliseconds(7), 9};
  return record;
}

progress_record SampleProgress() {
  core::jobs::job_progress progress;
  progress.phase = core::jobs::job_phase::kRunning;
  progress.unreported_runs = 3;
  progress.tasks.push_back({0, 1, 2, 3, {1, 2}, false, "saved", true});
  return {kId, progress};
}

// Changes that make sense all the same, as "place: change".
using harmless_changes = std::set<std::string>;

template <typename Decode>
void CheckMutations(const adapter::keyed_record& sound,
                    const harmless_changes& harmless,
                    Decode decode) {
  REQUIRE(decode(sound));
  for (const mutation& change :
       testing::Mutations(json::parse(sound.value.value()))) {
    const std::string what = change.place + ": " + change.change;
    CAPTURE(what);
    const auto record = decode({sound.key, change.record.dump()});
    if (harmless.count(what) != 0) {
      CHECK(record);
      continue;
    }
    REQUIRE_FALSE(record);
    CHECK(record.fault().field.rfind(change.place, 0) == 0);
  }
  for (const std::string& text : testing::MalformedTexts(*sound.value)) {
    CHECK_FALSE(decode({sound.key, text}));
  }
}

const auto kDecodeJob = [](const adapter::keyed_record& record) {
  return DecodeJobRecord(record);
};
const auto kDecodePool = [](const adapter::keyed_record& record) {
  return DecodePoolRecord(record);
};

TEST_CASE("A submission of another writer is whole or a fault") {
  CheckMutations(
      Encode(SampleSubmission()),
      {"r: missing", "s[1].cp: missing", "s[1].d: missing", "s[1].g: missing",
       "s[1].lt: missing", "s[1].mm: missing", "s[1].rl: missing"},
      kDecodeJob);

  SECTION("a time of handing in that makes no sense") {
    submission_record record = SampleSubmission();
    record.spec.submitted_at =
        core::time_point(std::chrono::milliseconds(1790000000123));
    CheckMutations(Encode(record),
                   {"h: missing", "r: missing", "s[1].cp: missing",
                    "s[1].d: missing", "s[1].g: missing", "s[1].lt: missing",
                    "s[1].mm: missing", "s[1].rl: missing"},
                   kDecodeJob);
    json value = json::parse(Encode(record).value.value());
    for (const json& odd : {json(-1), json(adapter::kMostMillis + 1)}) {
      value["h"] = odd;
      CHECK(DecodeJobRecord({kId, value.dump()}).fault() ==
            record_fault{fault_kind::kOutOfRange, "h"});
    }
    value["h"] = "soon";
    CHECK(DecodeJobRecord({kId, value.dump()}).fault() ==
          record_fault{fault_kind::kWrongType, "h"});
  }

  SECTION("a step that waits for itself or for a later one") {
    json value = json::parse(Encode(SampleSubmission()).value.value());
    value["s"][1]["d"] = {1};
    CHECK(DecodeJobRecord({kId, value.dump()}).fault() ==
          record_fault{fault_kind::kOutOfRange, "s[1].d"});
  }

  SECTION("more tasks than a process can hold") {
    json value = json::parse(Encode(SampleSubmission()).value.value());
    value["s"][0]["n"] = 4'000'000'000;
    CHECK(DecodeJobRecord({kId, value.dump()}).fault() ==
          record_fault{fault_kind::kOutOfRange, "s[0].n"});
  }

  SECTION("no step, or a key that is no job's") {
    json value = json::parse(Encode(SampleSubmission()).value.value());
    CHECK_FALSE(DecodeJobRecord({"other", value.dump()}));
    value["s"] = json::array();
    CHECK_FALSE(DecodeJobRecord({kId, value.dump()}));
  }
}

TEST_CASE("The end and the cancelling of a job by another writer") {
  // Without its one field it would be a submission that lacks all of its own.
  CHECK_FALSE(DecodeJobRecord({kId, "{}"}));
  for (const auto& [change, other] : testing::Replacements("failed")) {
    CAPTURE(change);
    const auto record = DecodeJobRecord({kId, json{{"x", other}}.dump()});
    REQUIRE_FALSE(record);
    CHECK(record.fault().field == "x");
  }
  CHECK(DecodeJobRecord({kId, R"({"x":"running"})"}).fault().kind ==
        fault_kind::kOutOfRange);
  CHECK(DecodeJobRecord({kId, R"({"x":"melted"})"}).fault() ==
        record_fault{fault_kind::kUnknownName, "x"});
  const std::string cancel = Encode(cancel_record{kId}).key;
  CHECK(DecodeJobRecord({cancel, "1"}));
  CHECK_FALSE(DecodeJobRecord({cancel, "\xff"}));
  CHECK_FALSE(DecodeJobRecord({cancel, "0"}));
}

TEST_CASE("Progress of another writer is whole or a fault") {
  CheckMutations(Encode(SampleProgress()),
                 {"t: missing", "t[0][7]: missing", "u: missing"}, kDecodePool);
  // Before, such a job counted as queued again.
  CHECK(DecodePoolRecord({kId, R"({"s":"melted"})"}).fault() ==
        record_fault{fault_kind::kUnknownName, "s"});
}

TEST_CASE("A claim of another writer is whole or a fault") {
  CheckMutations(
      Encode(owner_record{7, "node", {{"vm", std::chrono::milliseconds(5)}}}),
      {"leases: missing", "leases.vm: missing"}, kDecodePool);
}

TEST_CASE("A mark of another writer is whole or a fault") {
  for (const char* key : {"vacant/vm", "order/host"}) {
    CHECK(DecodePoolRecord({key, "1"}));
    CHECK(DecodePoolRecord({key, std::nullopt}));
    CHECK_FALSE(DecodePoolRecord({key, "2"}));
    CHECK_FALSE(DecodePoolRecord({key, "\xff"}));
  }
  CHECK(DecodePoolRecord({"order/host", "by:node"}));
  CHECK_FALSE(DecodePoolRecord({"order/host", "by:"}));
  CHECK_FALSE(DecodePoolRecord({"order/host", "by:a b"}));
  CHECK_FALSE(DecodePoolRecord({"order/a b", "by:node"}));
  CHECK_FALSE(DecodePoolRecord({"vacant/vm", "by:node"}));
  for (const char* key : {"vacant/", "order/a b", "vm/\xff", "vm/a\nb"}) {
    CHECK_FALSE(DecodePoolRecord({key, "1"}));
  }
  CHECK_FALSE(DecodePoolRecord({"vm/vm", "nowhere"}));
}

TEST_CASE("A note on the fleet of another writer is whole or a fault") {
  using core::jobs::vacancy_hint;
  using core::jobs::vacancy_reason;
  const adapter::keyed_record hint =
      Encode(vacancy_hint{"vm", vacancy_reason::kOffered, 1, 2});
  for (const adapter::keyed_record& sound :
       {hint, EncodeClosedVm("vm"), DropClosedVm("vm"), DropOfferedVm("vm"),
        EncodeWantedVms("pool", {5, true}), EncodeServicedHost({3, "host"}),
        EncodeCompletedWave(4)}) {
    CAPTURE(sound.key);
    CHECK_FALSE(FaultOfFleetRecord(sound));
    for (const char* value : {"odd", "-1", "\xff", "99999999999999999999", "{",
                              "1:", ":1", "1:-1", "31:1", "1.5", " 1"}) {
      CAPTURE(value);
      CHECK(FaultOfFleetRecord({sound.key, value}));
    }
  }
  for (const char* key : {"", "odd", "closed/", "closed/\xff", "serviced/x/h",
                          "serviced/1/", "completed/-1", "wanted/a b"}) {
    CAPTURE(key);
    CHECK(FaultOfFleetRecord({key, "1"}));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
