#include "plantainhead/platform/record_codec.h"

#include <catch2/catch.hpp>

namespace plantainhead::platform {
namespace {

using namespace core;

constexpr incarnation kAnn{0xFEDCBA9876543210ULL};
constexpr incarnation kBob{1};
const time_point kAt{std::chrono::microseconds(1'700'000'000'123'456)};

configuration Targets() {
  work_class urgent;
  urgent.name = class_name("urgent");
  urgent.service = service_name("intake");
  urgent.served = 0.999;
  urgent.within = std::chrono::milliseconds(1500);
  urgent.unavailability = 0.1;
  urgent.can_wait = true;
  configuration targets;
  targets.services = {{service_name("intake"), {pool_id("a"), pool_id("b")}}};
  targets.classes = {urgent};
  targets.pools = {{pool_id("a"), team_id("t"), 3}, {pool_id("b"), {}, 0}};
  targets.teams = {{team_id("t"), 12, 4}};
  targets.priorities = {2.5, 0.1, 1.0 / 3};
  return targets;
}

fleet_state State() {
  fleet_state state;
  state.offset = 1ULL << 60;
  state.targets = Targets();
  state.targets_version = 7;
  state.targets_author = "ann";
  state.targets_offset = 41;
  state.members[kAnn] = {kAnn, entry_id("e1"), zone_id("z"), "127.0.0.1",
                         7000, 8000,           {kBob, kAnn}};
  state.view = 9;
  state.lease = {kBob, 3, 12};
  state.vms[vm_id("vm-1")] = {pool_id("a"),
                              vm_phase::kRebooting,
                              5,
                              operation_id("o"),
                              wave_id("w"),
                              true,
                              "slow",
                              "ann"};
  state.waves[wave_id("w")] = {
      {pool_id("a")}, kAt,     wave_state::kPaused, 2, {vm_id("vm-1")},
      "ann",          "budget"};
  job_requirements spec{job_id("j"),
                        team_id("t"),
                        pool_id("a"),
                        4,
                        512,
                        1,
                        std::chrono::seconds(9),
                        kAt,
                        true};
  state.jobs[job_id("j")] = {
      spec, job_status::kParked, 4,    vm_id("vm-1"), operation_id("o2"),
      3,    "fails everywhere",  "bob"};
  state.ledgers[class_name("c")].Add(kAt, {{1, 2, 3, 4, 5}});
  state.departed = {{kAnn, 4}};
  state.ended_waves = {{8, wave_id("v")}};
  state.ended_jobs = {{7, job_id("i")}};
  state.writers = {{kBob, {5, 9}}};
  state.recent_records = {{9, record_id("r9")}, {10, record_id("r10")}};
  state.recent_ids = {record_id("r9"), record_id("r10")};
  return state;
}

std::vector<record_body> AllBodies() {
  const job_requirements spec{job_id("j"),
                              team_id("t"),
                              pool_id("a"),
                              4,
                              512,
                              1,
                              std::chrono::seconds(9),
                              kAt,
                              true};
  return {
      publish_configuration{Targets(), 6},
      join_entry{kAnn, entry_id("e1"), zone_id("z"), "10.0.0.1", 7000, 8000},
      leave_entry{kAnn},
      accuse_entry{kAnn, kBob},
      withdraw_accusation{kBob, kAnn},
      take_planner_lease{kAnn, 3},
      renew_planner_lease{kAnn, 4},
      assign_vm{4, vm_id("vm"), 2, pool_id("a"), "spare"},
      set_vm_phase{4, vm_id("vm"), 2, vm_phase::kDrained, operation_id("o"),
                   wave_id("w"), "wave"},
      forget_vm{4, vm_id("vm"), 2},
      start_wave{wave_id("w"), {pool_id("a"), pool_id("b")}, kAt},
      set_wave_state{4, wave_id("w"), 2, wave_state::kCancelled, "operator"},
      submit_job{spec},
      set_job_state{4, job_id("j"), 2, job_status::kCheckpointing, vm_id("vm"),
                    operation_id("o"), "move"},
      set_quarantine{4, vm_id("vm"), 2, true, "fails all"},
      count_requests{kBob, kAt, {{class_name("c"), {{1, 2, 3, 4, 5}}}}},
      claim_request{claim_key("c/k"), kAnn, {kAnn, 77}, kAt},
      release_claim{claim_key("c/k"), kAnn, {kAnn, 77}},
      snapshot_taken{std::make_shared<const fleet_state>(State()),
                     0xF00DFACECAFEBEEFULL},
      unknown_record{"from-the-future"},
  };
}

TEST_CASE("Records of every type survive a round trip") {
  const std::vector<record_body> bodies = AllBodies();
  REQUIRE(bodies.size() == std::variant_size_v<record_body>);
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    REQUIRE(bodies[i].index() == i);
    const std::string text = EncodeRecord({record_id("r-1"), "ann", bodies[i]});
    DYNAMIC_SECTION(text.substr(0, 60)) {
      const record back = DecodeRecord(text);
      CHECK(back.id == record_id("r-1"));
      CHECK(back.author == "ann");
      CHECK(back.body.index() == i);
      // The record types have no operator==, so their texts are compared. No
      // body in `AllBodies` leaves a field at its default.
      CHECK(EncodeRecord(back) == text);
    }
  }
}

TEST_CASE("A snapshot restores the whole state") {
  const record_body body = snapshot_taken{
      std::make_shared<const fleet_state>(State()), 0xF00DFACECAFEBEEFULL};
  const record back = DecodeRecord(EncodeRecord({record_id("r"), "e", body}));
  CHECK(*std::get<snapshot_taken>(back.body).state == State());
  CHECK(std::get<snapshot_taken>(back.body).digest == 0xF00DFACECAFEBEEFULL);
  CHECK(DecodeState(EncodeState(State())) == State());
  fleet_state other_ids = State();
  other_ids.recent_ids = {record_id("r10"), record_id("r11")};
  CHECK(DecodeState(EncodeState(other_ids)) == other_ids);
  CHECK(DecodeConfiguration(EncodeConfiguration(Targets())) == Targets());
}

TEST_CASE("A record of an adjacent version") {
  SECTION("with an unknown field is read without it") {
    const record back = DecodeRecord(
        R"({"id":"r","type":"leave-entry","new":1,)"
        R"("body":{"who":"00000000000000ff","why":{"deep":[1]}}})");
    CHECK(std::get<leave_entry>(back.body).who == incarnation{255});
  }

  SECTION("with a missing field is read with its default") {
    const record back =
        DecodeRecord(R"({"id":"r","type":"publish-configuration",)"
                     R"("body":{"document":{"classes":[{"name":"urgent"}]}}})");
    const auto& document = std::get<publish_configuration>(back.body).document;
    REQUIRE(document.classes.size() == 1);
    CHECK(document.classes[0].served == work_class().served);
  }

  SECTION("of an unknown type keeps its type name") {
    const record back = DecodeRecord(R"({"id":"r","type":"new","body":[]})");
    CHECK(std::get<unknown_record>(back.body).type == "new");
  }
}

// A caller sends an Idempotency-Key that is not valid UTF-8. Its claim must be
// read back with exactly the same key: if invalid bytes were replaced, the key
// would never match its own request, or would match that of another caller.
TEST_CASE("A claim whose key is not UTF-8 comes back unchanged") {
  for (const std::string& key :
       {std::string("caf\xE9"), std::string("\0", 1), std::string("\0ff", 3),
        std::string("\xED\xA0\x80"), std::string("\xC0\xAF"),
        std::string("gr\xC3\xBC\xC3\x9F e"), std::string("\xF0\x9F\x92\xA7")}) {
    const record_body body = claim_request{claim_key(key), kAnn, {}, {}};
    const record back = DecodeRecord(EncodeRecord({record_id("r"), key, body}));
    CHECK(std::get<claim_request>(back.body).key.value() == key);
    CHECK(back.author == key);
  }
}

TEST_CASE("Decoding malformed text reports the location of the error") {
  const auto place_of = [](std::string_view text) -> std::string {
    try {
      DecodeRecord(text);
    } catch (const codec_error& error) {
      return error.place();
    }
    return "no error";
  };
  CHECK(place_of("{") == "");
  CHECK(place_of("[]") == "");
  CHECK(place_of(R"({"type":"leave-entry","body":{}})") == "/id");
  CHECK(place_of(R"({"id":"r","body":{}})") == "/type");
  CHECK(place_of(R"({"id":"r","type":"leave-entry"})") == "/body");
  CHECK(place_of(R"({"id":"r","type":"leave-entry","body":3})") == "/body");
  CHECK(place_of(R"({"id":"r","type":"leave-entry","body":{"who":5}})") ==
        "/body/who");
  CHECK(place_of(R"({"id":"r","type":"leave-entry","body":{"who":"xyz"}})") ==
        "/body/who");
  CHECK(place_of(R"({"id":"r","type":"join-entry",)"
                 R"("body":{"peer_port":65536}})") == "/body/peer_port");
  CHECK(place_of(R"({"id":"r","type":"set-vm-phase",)"
                 R"("body":{"phase":"flying"}})") == "/body/phase");
  CHECK(place_of(R"({"id":"r","type":"publish-configuration","body":)"
                 R"({"document":{"classes":[{},{"served":"x"}]}}})") ==
        "/body/document/classes/1/served");
  CHECK(place_of(R"({"id":"r","type":"snapshot-taken","body":{}})") ==
        "/body/state");
}

TEST_CASE("A number that is not finite cannot be encoded") {
  configuration targets = Targets();
  targets.priorities.moves = std::numeric_limits<double>::infinity();
  CHECK_THROWS_AS(EncodeConfiguration(targets), codec_error);
}

}  // namespace
}  // namespace plantainhead::platform
