#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "jobs/clocks.h"
#include "jobs/job_partitions.h"
#include "jobs/record_codec.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kJobTopicName = "keyed.plantain-jobs";

/// Stores a job that was submitted `age` ago, as another process would.
void PutJob(site* site, const std::string& id, seconds age) {
  submission_record record;
  record.spec.id = id;
  record.spec.queue = "q";
  record.spec.pool = "pool";
  record.spec.steps.resize(1);
  record.spec.steps[0].need = {1000, 10, 0};
  record.spec.steps[0].estimate = seconds(5);
  record.spec.submitted_at = WallTime() - age;
  const adapter::keyed_record encoded = Encode(record);
  site->store.Put(kJobTopicName, encoded.key, encoded.value,
                  JobPartitionOf(record.spec.queue, id));
}

// Guards against owners that cannot determine the age of a job.
TEST_CASE("The record of a submission contains the time of submission") {
  site site;
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  const core::time_point began = WallTime() - milliseconds(1);
  REQUIRE(site.Submit("p1", kId).status == 200);
  const auto value = site.store.Newest(kJobTopicName, kId);
  REQUIRE(value);
  const auto decoded = DecodeJobRecord({kId, *value});
  REQUIRE(decoded);
  const auto& spec = std::get<submission_record>(*decoded).spec;
  REQUIRE(spec.submitted_at);
  CHECK(*spec.submitted_at >= began);
  CHECK(*spec.submitted_at <= WallTime());
}

// Guards against deadlines that restart when a pool is taken over, or when its
// owner reads a job late: both jobs are past their deadlines.
TEST_CASE("An owner includes the time before it learned of a job") {
  constexpr const char* kLater = "0123456789abcde0";
  site site;
  site.AddVm("vm-1", milliseconds(30));
  PutJob(&site, kId, seconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitState("p1", "completed"));
  PutJob(&site, kLater, seconds(20));
  REQUIRE(site.AwaitState("p1", "completed", kLater));
  const std::string metrics = site.MetricsOf("p1");
  CAPTURE(metrics);
  CHECK(metrics.find("verdict=\"late, owner changed\"") != std::string::npos);
  CHECK(metrics.find("verdict=\"late, waited for its owner\"") !=
        std::string::npos);
  CHECK(metrics.find("verdict=\"in time\"") == std::string::npos);
}

}  // namespace
}  // namespace plantainhead::jobs
