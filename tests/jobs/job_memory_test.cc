#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "jobs/record_codec.h"
#include "jobs/small_site.h"
#include "net/http_status.h"

namespace plantainhead::jobs {
namespace {

constexpr std::uint64_t kJobMemory = std::uint64_t{4} << 20U;
// A job of this many steps takes about a quarter of the memory.
constexpr int kSteps = 4500;

std::string IdOf(int number) {
  return std::string(12, 'b') + std::to_string(1000 + number);
}

core::jobs::job_spec LargeJob(int number) {
  core::jobs::job_spec spec;
  spec.id = IdOf(number);
  spec.queue = "q";
  spec.pool = "pool";
  spec.payload = "x";
  spec.submitted_at = core::time_point(seconds(1000 + number));
  core::jobs::step_spec step;
  step.need = {1000, 10, 0};
  step.estimate = milliseconds(20);
  spec.steps.assign(kSteps, step);
  // Only the first step can run; the others wait for a VM with the label.
  for (int i = 1; i < kSteps; ++i) {
    spec.steps[i].required_label = "none";
  }
  return spec;
}

std::string BodyOf(const core::jobs::job_spec& spec) {
  std::string steps;
  for (const core::jobs::step_spec& step : spec.steps) {
    steps += steps.empty() ? "" : ",";
    steps += R"({"count":1,"cpu":1000,"mem_mb":10,"requirements":")" +
             step.required_label + "\"}";
  }
  return R"({"spec":"x","steps":[)" + steps + "]}";
}

/// A site whose processes have memory for few large jobs.
struct narrow_site : site {
  narrow_site() {
    job_memory = kJobMemory;
    AddVm("vm-1", milliseconds(50));
  }

  void Store(const core::jobs::job_spec& spec) {
    const adapter::keyed_record record = Encode(submission_record{spec});
    store.Put("keyed.plantain-jobs", record.key, record.value,
              JobPartitionOf(spec.queue, spec.id));
  }

  double Metric(const std::string& process, const std::string& name) {
    const std::string text = MetricsOf(process);
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stod(text.substr(at + name.size() + 2));
  }

  bool HasStarted(int number) const {
    return StartsOf(IdOf(number) + ".0.0.0") > 0;
  }
};

// Guards against owners that exceed their memory for jobs that each are small
// enough to be accepted.
TEST_CASE("A job for which there is no memory is refused and never runs") {
  narrow_site site;
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  site.RunFor(seconds(1));
  std::vector<unsigned> statuses;
  net::client_reply refused;
  for (int i = 0; i < 5; ++i) {
    const auto reply = site.Call(site.addresses.at("p1"), net::method::kPost,
                                 "/q/" + IdOf(i), BodyOf(LargeJob(i)));
    statuses.push_back(reply.status);
    refused = reply;
  }
  CHECK(statuses.front() == net::kOk);
  CHECK(statuses.back() == net::kUnavailable);
  CHECK(refused.body.find("too many accepted jobs") != std::string::npos);
  CHECK(site.store.CountRecords("keyed.plantain-jobs", IdOf(4)) == 0);
  CHECK(site.Metric("p1", "plantain_job_memory_bytes") < kJobMemory);

  SECTION("while small jobs are still accepted and run") {
    CHECK(site.Submit("p1", kId).status == net::kOk);
    CHECK(site.AwaitState("p1", "completed"));
    CHECK_FALSE(site.HasStarted(4));
  }

  SECTION("until others have ended") {
    for (int i = 0; i < 4; ++i) {
      site.Call(site.addresses.at("p1"), net::method::kDelete, "/q/" + IdOf(i));
    }
    site.RunFor(seconds(1));
    CHECK(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/q/" + IdOf(4), BodyOf(LargeJob(4)))
              .status == net::kOk);
  }
}

// Guards against a successor that exceeds its memory for jobs that others have
// accepted, or that loses them.
TEST_CASE("Accepted jobs for which there is no memory run later in order") {
  narrow_site site;
  constexpr int kJobs = 10;
  for (int i = kJobs - 1; i >= 0; --i) {
    site.Store(LargeJob(i));
  }
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(RunUntil(&site.context, [&] { return site.HasStarted(0); }));
  site.RunFor(seconds(1));
  CHECK(site.Metric("p1", "plantain_job_memory_bytes") <= kJobMemory);
  CHECK(site.Metric("p1", "plantain_unopened_jobs") >= kJobs - 4);
  CHECK(site.StateOf("p1", IdOf(kJobs - 1)) == R"({"state":"queued"})");

  // Each job is cancelled once its first task has run, so that others open.
  std::vector<int> opened;
  std::string owner = "p1";
  for (int round = 0; round < 60 && opened.size() < kJobs; ++round) {
    for (int i = 0; i < kJobs; ++i) {
      const bool is_counted =
          std::find(opened.begin(), opened.end(), i) != opened.end();
      if (!is_counted && site.HasStarted(i)) {
        opened.push_back(i);
        site.Call(site.addresses.at(owner), net::method::kDelete,
                  "/q/" + IdOf(i));
      }
    }
    site.RunFor(milliseconds(400));
    const bool crashes = owner == "p1" && opened.size() >= 5;
    if (crashes) {
      site.Crash("p1");
      site.Expire("p1");
      site.AddProcess("p2");
      owner = "p2";
      REQUIRE(site.AwaitReady("p2"));
    }
  }
  CHECK(opened.size() == kJobs);
  CHECK(opened == std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  for (int i = 0; i < kJobs; ++i) {
    CHECK(site.StartsOf(IdOf(i) + ".0.0.0") == 1);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
