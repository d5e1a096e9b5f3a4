#include <catch2/catch.hpp>

#include "platform/configuration_codec.h"
#include "platform/ingress_codec.h"
#include "platform/store_codec.h"
#include "platform/vm_client.h"

namespace plantainhead::adapter {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A submitted job is decoded field by field") {
  const decoded_job job = DecodeJob(
      R"({"spec":"text","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimate_ms":900,
         "affinity":"r1-3","requirements":"a","anti_affinity":2},
        {"count":2,"cpu":100,"mem_mb":10,"depends_on":[0],"checkpointing":true,
         "gang":true,"same_rack":true,"speculative":true,"long_running":true,
         "image":"web","target_ms":120,"fills":true,"may_miss":1}],
        "repeat_count":3,"first_run_ms":1000,"interval_ms":500})");
  REQUIRE(job.spec);
  REQUIRE(job.spec->steps.size() == 2);
  const core::jobs::step_spec& first = job.spec->steps[0];
  CHECK(first.task_count == 4);
  CHECK(first.need == core::jobs::resources{500, 256, 1});
  CHECK(first.estimate == milliseconds(900));
  CHECK(first.preferred_rack == "r1-3");
  CHECK(first.required_label == "a");
  CHECK(first.max_per_vm == 2);
  const core::jobs::step_spec& second = job.spec->steps[1];
  CHECK(second.depends_on == std::vector<std::uint32_t>{0});
  CHECK(second.checkpoints);
  CHECK(second.gang);
  CHECK(second.same_rack);
  CHECK(second.speculative);
  CHECK(second.long_running);
  CHECK(second.image == "web");
  CHECK(second.latency_target == milliseconds(120));
  CHECK(second.best_effort);
  CHECK(second.max_unavailable == 1);
  REQUIRE(job.spec->schedule);
  CHECK(job.spec->schedule->count == 3);
  CHECK(job.spec->schedule->interval == milliseconds(500));
}

TEST_CASE("A malformed job is rejected with the path of the invalid field") {
  CHECK(DecodeJob("no json").fault == "the body is not a JSON object");
  CHECK(DecodeJob(R"({"spec":"x"})").fault == "steps");
  CHECK(DecodeJob(R"({"steps":[{"cpu":1}]})").fault == "steps[0].count");
  CHECK(DecodeJob(R"({"steps":[{"count":1,"cpu":-1}]})").fault ==
        "steps[0].cpu");
  CHECK(DecodeJob(R"({"steps":[{"count":1,"depends_on":[0]}]})").fault ==
        "steps[0].depends_on");
  CHECK(DecodeJob(R"({"steps":[{"count":1,"depends_on":["a"]}]})").fault ==
        "steps[0].depends_on");
  CHECK(DecodeJob(R"({"steps":[{"count":99999999}]})").fault ==
        "steps[0].count");
  CHECK(DecodeJob("{\"spec\":\"" + std::string(5000, 'x') +
                  R"(","steps":[{"count":1}]})")
            .fault == "spec");
}

// Guards against processes that end because a submission is nested so deeply
// that its value overflows the stack.
TEST_CASE("A deeply nested job is rejected without parsing it") {
  for (const std::size_t depth : {17, 120'000}) {
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    CHECK(DecodeJob(R"({"spec":"x","steps":[)" + nested + "]}").fault ==
          "the body is nested too deeply");
  }
}

// Guards against accepted jobs that are lost because no process can decode
// their records.
TEST_CASE("A job is rejected if its record could not be decoded") {
  const auto fault_of = [](const std::string& step) {
    return DecodeJob(R"({"steps":[{"count":1,)" + step + "}]}").fault;
  };
  CHECK(fault_of(R"("estimate_ms":4000000000000000)") ==
        "steps[0].estimate_ms");
  CHECK(fault_of(R"("target_ms":-1)") == "steps[0].target_ms");
  CHECK(fault_of(R"("anti_affinity":4294967296)") == "steps[0].anti_affinity");
  CHECK(fault_of(R"("may_miss":4294967296)") == "steps[0].may_miss");
  const std::string long_text(70000, 'x');
  CHECK(fault_of(R"("requirements":")" + long_text + "\"") ==
        "steps[0].requirements");
  CHECK(fault_of(R"("image":")" + long_text + "\"") == "steps[0].image");
  CHECK(DecodeJob(R"({"steps":[{"count":1}],"repeat_count":2,)"
                  R"("interval_ms":-5})")
            .fault == "interval_ms");
  CHECK(DecodeJob(R"({"steps":[{"count":1},)"
                  R"({"count":1,"depends_on":[4294967296]}]})")
            .fault == "steps[1].depends_on");

  SECTION("but a repeated dependency counts once") {
    std::string list = "0";
    for (int i = 0; i < 110'000; ++i) {
      list += ",0";
    }
    const decoded_job job = DecodeJob(
        R"({"steps":[{"count":1},{"count":1,"depends_on":[)" + list + "]}]}");
    REQUIRE(job.spec);
    CHECK(job.spec->steps[1].depends_on == std::vector<std::uint32_t>{0});
  }
}

// Guards against accepted jobs that can never run as they ask, since their
// record has no room for all tasks that run at the same time.
TEST_CASE("A job is rejected if too many of its tasks must run together") {
  CHECK(DecodeJob(R"({"steps":[{"count":3000,"gang":true}]})").spec);
  CHECK(DecodeJob(R"({"steps":[{"count":3001,"gang":true}]})").fault ==
        "steps[0].count");
  CHECK(DecodeJob(R"({"steps":[{"count":2000,"long_running":true},)"
                  R"({"count":2000,"long_running":true}]})")
            .fault == "steps[1].count");
  CHECK(DecodeJob(R"({"steps":[{"count":10000},{"count":10000}]})").spec);
}

TEST_CASE("Job ids, hosts and paths are decoded from requests") {
  CHECK(IsJobId("0123456789abcdef"));
  CHECK_FALSE(IsJobId("0123456789abcde"));
  CHECK_FALSE(IsJobId("0123456789abcdeg"));
  CHECK(DecodeHost("a.example:8080") == "a.example");
  CHECK(DecodePath("/a/b?c=d") == "/a/b");
}

TEST_CASE("A task name is decoded as it was encoded") {
  const core::jobs::task_name name{"0123456789abcdef", 1, 2, 17};
  CHECK(EncodeTaskName(name) == "0123456789abcdef.1.2.17");
  CHECK(DecodeTaskName("0123456789abcdef.1.2.17") == name);
  CHECK_FALSE(DecodeTaskName("0123456789abcdef.1.2"));
  CHECK_FALSE(DecodeTaskName("0123456789abcdef.1.2.x"));
  CHECK_FALSE(DecodeTaskName("0123456789abcdef.1.2.17.4"));
}

TEST_CASE("A VM's listing is decoded or rejected as a whole") {
  const auto listing = DecodeListing(
      R"({"clock_ms":5000,"running":[["j.0.0.1",2,"cp",41,7]],
          "finished":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.8",3,"lapsed","s"]]})");
  REQUIRE(listing);
  CHECK(listing->vm_clock == milliseconds(5000));
  REQUIRE(listing->running.size() == 1);
  CHECK(listing->running[0].run == 2);
  CHECK(listing->running[0].percent == 41);
  CHECK(listing->running[0].reading == 7);
  REQUIRE(listing->ended.size() == 2);
  CHECK(listing->ended[1].how == core::jobs::end_kind::kLeaseExpired);
  CHECK(listing->ended[1].checkpoint == "s");
  CHECK_FALSE(DecodeListing(R"({"running":[]})"));
  CHECK_FALSE(DecodeListing(R"({"clock_ms":1,"running":[["bad",1,"",0]]})"));
  CHECK_FALSE(
      DecodeListing(R"({"clock_ms":1,"finished":[[1,"j.0.0.1",1,"odd",""]]})"));
  CHECK_FALSE(DecodeListing("not json"));
}

// Guards against VMs being rejected as a whole because of an unusable
// incarnation time.
TEST_CASE("A VM's listing may contain the start time of its incarnation") {
  const auto born_in = [](const std::string& field) {
    const auto listing = DecodeListing(R"({"clock_ms":1)" + field + "}");
    REQUIRE(listing);
    return listing->incarnation;
  };
  CHECK(born_in(R"(,"born":1790000000123)") == 1'790'000'000'123);
  CHECK(born_in("") == std::nullopt);
  CHECK(born_in(R"(,"born":null)") == std::nullopt);
  CHECK(born_in(R"(,"born":"1790000000123")") == std::nullopt);
  CHECK(born_in(R"(,"born":0.5)") == std::nullopt);
  CHECK(born_in(R"(,"born":-1)") == std::nullopt);
  CHECK(born_in(R"(,"born":18446744073709551615)") == std::nullopt);
}

TEST_CASE("Records are encoded and decoded in the binary format of the store") {
  const std::string raw =
      EncodeRecord({"key", "value"}) + EncodeRecord({"gone", std::nullopt});
  const std::string body =
      std::string(7, '\0') + "\x0c" + std::string(7, '\0') + "\x02" + raw;
  const read_reply reply = DecodeRead(body, 10, true);
  REQUIRE(reply.outcome == read_outcome::kRead);
  CHECK(reply.end == 12);
  CHECK(reply.first == 2);
  REQUIRE(reply.records.size() == 2);
  CHECK(reply.records[0].key == "key");
  CHECK(reply.records[0].value == "value");
  CHECK(reply.records[0].offset == 10);
  CHECK(reply.records[1].key == "gone");
  CHECK_FALSE(reply.records[1].value);
  CHECK(reply.records[1].offset == 11);
  CHECK(DecodeRead("short", 0, true).outcome == read_outcome::kFailed);
  const read_reply part = DecodeRead(body.substr(0, body.size() - 1), 10, true);
  REQUIRE(part.records.size() == 1);
  CHECK(part.records[0].key == "key");
}

TEST_CASE(
    "A configuration, a wave and the registry entry of a VM are decoded") {
  const auto configuration = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/",
          "service":"s","priority":1,"max_attempts":4,"stretch":1.6,
          "target_latency_ms":600}],
          "services":[{"name":"s"},{"name":"t","spare":true}]})");
  REQUIRE(configuration);
  CHECK(configuration->version == 7);
  REQUIRE(configuration->routes.size() == 1);
  CHECK(configuration->routes[0].policy.max_attempts == 4);
  CHECK(configuration->routes[0].policy.latency_target == milliseconds(600));
  REQUIRE(configuration->pools.size() == 2);
  CHECK(configuration->pools[1].is_spare);
  CHECK_FALSE(DecodeConfiguration("[]"));

  const auto wave = DecodeWave(
      "wave/1",
      R"({"wave":1,"machines":["m1","m2"],"duration_s":2.5,"maximum":3})");
  REQUIRE(wave);
  CHECK(wave->hosts.size() == 2);
  CHECK(wave->time_limit == milliseconds(2500));
  CHECK(wave->max_concurrent == 3);

  const auto vm = DecodeVm(
      "i-1",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
          "slots":8,"state":"draining","cold_left_ms":0,"seq":1,
          "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],
          "remaining_ms":1500,"born":1790000000123})");
  REQUIRE(vm);
  CHECK(vm->incarnation == 1'790'000'000'123);
  CHECK(vm->pool == "s");
  CHECK(vm->capacity.cpu_millis == 16000);
  CHECK(vm->draining);
  CHECK(vm->remaining == milliseconds(1500));
}

}  // namespace
}  // namespace plantainhead::adapter
