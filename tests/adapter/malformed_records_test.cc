#include <catch2/catch.hpp>

#include <set>

#include "platform/configuration_codec.h"
#include "platform/fleet_client.h"
#include "platform/record_reader.h"
#include "platform/vm_client.h"
#include "record_mutations.h"

// Records from other writers may appear where records of the platform are
// expected. Decoding yields a valid record or a fault with the path of the
// field, and never throws: an exception would stop the decoding of all later
// records.
namespace plantainhead::adapter {
namespace {

using core::jobs::fault_kind;
using core::jobs::record_fault;
using testing::mutation;
using json = nlohmann::json;

constexpr const char* kConfiguration =
    R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/",
        "service":"s","priority":1,"max_attempts":4,"stretch":1.6,
        "target_latency_ms":600,"advice":{"decide_ms":5}}],
        "services":[{"name":"s","spare":false}]})";
constexpr const char* kWave =
    R"({"wave":1,"machines":["m1","m2"],"duration_s":20,"maximum":3})";
constexpr const char* kVm =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
        "slots":8,"state":"draining","cold_left_ms":0,"seq":4,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],
        "remaining_ms":1500})";
constexpr const char* kListing =
    R"({"clock_ms":5000,"running":[["j.0.0.1",2,"cp",41,7]],
        "finished":[[58,"j.0.0.9",1,"done",""]]})";
constexpr const char* kFleetPage =
    R"({"machines":[
        {"machine":"m1","pool":"p","state":"up","labels":["a"],"id":"i-1"},
        {"machine":"m2","pool":"p","state":"upkeep","labels":[],"id":null}],
        "next_token":"t"})";

// Mutations that leave the record valid, as "path: change".
using accepted_changes = std::set<std::string>;

template <typename Decode>
void CheckMutations(const char* valid,
                    const accepted_changes& accepted,
                    Decode decode) {
  REQUIRE(decode(valid));
  for (const mutation& change : testing::Mutations(json::parse(valid))) {
    const std::string what = change.place + ": " + change.change;
    CAPTURE(what);
    const auto record = decode(change.record.dump());
    if (accepted.count(what) != 0) {
      CHECK(record);
      continue;
    }
    REQUIRE_FALSE(record);
    // Only the prefix is compared: if a scalar replaces an object, the fault
    // is reported for a field of that object.
    CHECK(record.fault().field.rfind(change.place, 0) == 0);
    CHECK((change.change != "missing" ||
           record.fault().kind == fault_kind::kMissing));
  }
  for (const std::string& text : testing::MalformedTexts(valid)) {
    CHECK_FALSE(decode(text));
  }
}

TEST_CASE("A configuration from another writer is valid or yields a fault") {
  CheckMutations(
      kConfiguration,
      {"routes[0].priority: negative",
       "routes[0].priority: missing",
       "routes[0].max_attempts: missing",
       "routes[0].stretch: missing",
       "routes[0].stretch: float",
       "routes[0].target_latency_ms: missing",
       "routes[0].advice: missing",
       "routes[0].advice: null",
       "routes[0].advice.decide_ms: null",
       "routes[0].advice.decide_ms: text",
       "routes[0].advice.decide_ms: flag",
       "routes[0].advice.decide_ms: list",
       "routes[0].advice.decide_ms: object",
       "routes[0].advice.decide_ms: negative",
       "routes[0].advice.decide_ms: huge",
       "routes[0].advice.decide_ms: hugely negative",
       "routes[0].advice.decide_ms: float",
       "routes[0].advice.decide_ms: huge float",
       "routes[0].advice.decide_ms: missing",
       "services[0].spare: missing"},
      [](const std::string& text) { return DecodeConfiguration(text); });
}

TEST_CASE("A wave from another writer is valid or yields a fault") {
  CheckMutations(kWave, {"duration_s: float"}, [](const std::string& text) {
    return DecodeWave("wave/1", text);
  });
  CHECK_FALSE(DecodeWave("wave/2", kWave));
  CHECK_FALSE(DecodeWave("wave/01", kWave));
}

TEST_CASE("A VM's entry from another writer is valid or yields a fault") {
  CheckMutations(kVm, {"cold_left_ms: float", "remaining_ms: missing"},
                 [](const std::string& text) { return DecodeVm("i-1", text); });

  SECTION("an unknown state is invalid") {
    json vm = json::parse(kVm);
    vm["state"] = "retired";
    const auto decoded = DecodeVm("i-1", vm.dump());
    REQUIRE_FALSE(decoded);
    CHECK(decoded.fault() == record_fault{fault_kind::kUnknownName, "state"});
  }

  SECTION("an address that cannot be connected to is invalid") {
    for (const char* address : {"", "host:80", "10.0.0.1", "10.0.0.1:0",
                                "10.0.0.1:99999", "10.0.0.1:80x"}) {
      json vm = json::parse(kVm);
      vm["address"] = address;
      CHECK_FALSE(DecodeVm("i-1", vm.dump()));
    }
  }

  // The id becomes part of request headers and of record keys.
  SECTION("an id that cannot be part of a header or a key is invalid") {
    CHECK_FALSE(DecodeVm("", kVm));
    CHECK_FALSE(DecodeVm("i-1\r\nX-Other: 1", kVm));
    CHECK_FALSE(DecodeVm("i \xff", kVm));
    CHECK_FALSE(DecodeVm(std::string(250, 'i'), kVm));
  }
}

TEST_CASE("A record with a duplicate field is invalid") {
  const auto vm = DecodeVm("i-1", R"({"state":"ready","state":"draining"})");
  REQUIRE_FALSE(vm);
  CHECK(vm.fault().kind == fault_kind::kDuplicate);
}

TEST_CASE("A deeply nested record does not overflow the stack") {
  constexpr std::size_t kDeep = 1'000'000;
  std::string objects;
  for (std::size_t i = 0; i < kDeep; ++i) {
    objects += "{\"a\":";
  }
  for (const std::string& text :
       {std::string(kDeep, '['),
        std::string(kDeep, '[') + "1" + std::string(kDeep, ']'), objects}) {
    json parsed;
    const auto fault = ParseRecord(text, &parsed);
    REQUIRE(fault);
    CHECK(fault->kind == fault_kind::kTooDeep);
  }
}

TEST_CASE("A VM's listing with one invalid row is rejected as a whole") {
  CheckMutations(
      kListing,
      {"running: missing", "finished: missing", "running[0][2]: null",
       "running[0][3]: null", "running[0][3]: negative", "running[0][3]: float",
       "running[0][4]: null", "running[0][4]: negative", "running[0][4]: float",
       "finished[0][4]: null"},
      [](const std::string& text) { return DecodeListing(text); });
}

TEST_CASE("An invalid row of the host list does not affect other rows") {
  const fleet_page valid = DecodeFleetPage(kFleetPage);
  REQUIRE(valid.is_read);
  REQUIRE(valid.hosts.size() == 2);
  CHECK(valid.hosts[1].state == core::jobs::host_state::kInService);
  CHECK(valid.next_page_token == "t");
  for (const mutation& change : testing::Mutations(json::parse(kFleetPage))) {
    CAPTURE(change.place, change.change);
    const fleet_page page = DecodeFleetPage(change.record.dump());
    const bool is_of_first = change.place.rfind("machines[0]", 0) == 0;
    if (!page.is_read || !is_of_first) {
      continue;
    }
    CHECK(page.hosts.back().host == "m2");
    CHECK(page.hosts.size() + page.unreadable_hosts.size() == 2);
    const bool is_optional =
        change.place == "machines[0].id" &&
        (change.change == "missing" || change.change == "null");
    CHECK(page.unreadable_hosts.empty() == is_optional);
  }

  SECTION("an unknown state is a fault of its row") {
    json list = json::parse(kFleetPage);
    list["machines"][0]["state"] = "melting";
    const fleet_page page = DecodeFleetPage(list.dump());
    REQUIRE(page.is_read);
    REQUIRE(page.unreadable_hosts.size() == 1);
    CHECK(page.unreadable_hosts[0].host == "m1");
    CHECK(page.unreadable_hosts[0].fault ==
          record_fault{fault_kind::kUnknownName, "state"});
    CHECK(page.hosts.size() == 1);
  }

  SECTION("a row that cannot be parsed is a fault of its own") {
    for (const std::string& row :
         {std::string("1e999"), std::string(R"({"machine":"m1","x":1e999})"),
          std::string(R"({"machine":18446744073709551616})"),
          std::string(1000, '[') + std::string(1000, ']'),
          R"({"machine":"m1","labels":)" + std::string(100'000, '[') +
              std::string(100'000, ']') + "}"}) {
      CAPTURE(row.substr(0, 40));
      const fleet_page page = DecodeFleetPage(
          R"({"machines":[)" + row +
          R"(,{"machine":"m2","pool":"p","state":"up","labels":[],"id":"i"}],)"
          R"("next_token":"t"})");
      REQUIRE(page.is_read);
      CHECK(page.unreadable_hosts.size() == 1);
      REQUIRE(page.hosts.size() == 1);
      CHECK(page.hosts[0].host == "m2");
      CHECK(page.next_page_token == "t");
    }
  }

  SECTION("a page whose rows cannot be parsed is unreadable") {
    for (const std::string& text : testing::MalformedTexts(kFleetPage)) {
      CHECK_FALSE(DecodeFleetPage(text).is_read);
    }
  }
}

}  // namespace
}  // namespace plantainhead::adapter
