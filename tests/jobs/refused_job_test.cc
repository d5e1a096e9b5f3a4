#include <catch2/catch.hpp>
#include <string>

#include "jobs/small_site.h"
#include "net/http_status.h"

namespace plantainhead::jobs {
namespace {

// Guards against jobs that are refused again and again as if they could be
// accepted later, although their records are larger than the store takes.
TEST_CASE("A job that fits into no record is refused for good") {
  site site;
  site.AddVm("vm-1", milliseconds(50));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  std::string steps = R"({"count":1})";
  for (int i = 1; i < 20000; ++i) {
    steps += R"(,{"count":1})";
  }
  const auto reply =
      site.Call(site.addresses.at("p1"), net::method::kPost,
                "/q/" + std::string(kId), R"({"steps":[)" + steps + "]}");
  CHECK(reply.status == net::kBadRequest);
  CHECK(reply.body.find("steps") != std::string::npos);
  CHECK(site.store.oversized_appends == 0);
  CHECK(site.store.CountRecords("keyed.plantain-jobs", kId) == 0);
}

// Guards against callers whose submissions are refused because others that
// arrive with them make the append larger than the store takes.
TEST_CASE("Large submissions that arrive together are all accepted") {
  site site;
  site.AddVm("vm-1", milliseconds(50));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  site.RunFor(seconds(1));
  // The submissions wait while an earlier append does not answer.
  site.store.faults.loses_answers = true;
  std::string steps = R"({"count":1,"cpu":100,"mem_mb":10,"estimate_ms":10})";
  for (int i = 1; i < 4000; ++i) {
    steps += R"(,{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":10})";
  }
  constexpr int kSubmissions = 40;
  net::http_client_options options;
  options.max_connections = kSubmissions;
  net::http_client client(&site.context, site.addresses.at("p1"), options);
  int accepted = 0;
  int answered = 0;
  int number = 1000;
  for (int i = 0; i < kSubmissions; ++i) {
    std::string id;
    do {
      id = std::string(12, 'a') + std::to_string(number++);
    } while (JobPartitionOf("q", id) != JobPartitionOf("q", kId));
    net::client_request request;
    request.verb = net::method::kPost;
    request.target = "/q/" + id;
    request.headers.emplace_back("Host", "a.example");
    request.headers.emplace_back("X-Plantainhead-Timeout-Ms", "20000");
    request.body = R"({"spec":"x","steps":[)" + steps + "]}";
    client.Send(request, seconds(30), [&](const net::client_reply& reply) {
      ++answered;
      accepted += reply.status == net::kOk ? 1 : 0;
    });
  }
  site.RunFor(milliseconds(300));
  site.store.faults.loses_answers = false;
  REQUIRE(RunUntil(&site.context, [&] { return answered == kSubmissions; }));
  CHECK(accepted == kSubmissions);
  CHECK(site.store.oversized_appends == 0);
}

}  // namespace
}  // namespace plantainhead::jobs
