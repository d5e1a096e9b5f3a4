#include "narrow_link.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/record_codec.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

// All partitions take 4 s over the link, and each a quarter of a second.
constexpr std::int64_t kBytesPerSecond = 40'000;
constexpr std::size_t kPayloadBytes = 4'000;
constexpr std::uint32_t kJobsOfPartition = 2;

/// Stores jobs of a pool that has no owner in each partition of jobs.
void PutJobsOfAnotherPool(site* site) {
  constexpr std::uint32_t kFirstNumber = 10;
  for (std::uint32_t i = 0; i < kJobPartitions * kJobsOfPartition; ++i) {
    submission_record record;
    record.spec.id =
        std::string(kId).substr(2) + std::to_string(kFirstNumber + i);
    record.spec.pool = "another-pool";
    record.spec.queue = "another-queue";
    record.spec.payload = std::string(kPayloadBytes, 'x');
    record.spec.steps.resize(1);
    const adapter::keyed_record encoded = Encode(record);
    site->store.Put("keyed.plantain-jobs", encoded.key, encoded.value,
                    i % kJobPartitions);
  }
}

// Guards against takeovers that never end: all partitions were read at once,
// each answer came after its timeout and was read again, and the renewals of
// the membership waited behind them.
TEST_CASE("A pool is taken over through a link that carries little") {
  site site;
  PutJobsOfAnotherPool(&site);
  site.AddVm("vm-1", milliseconds(30));
  site.NarrowStoreLink(kBytesPerSecond);
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
}

}  // namespace
}  // namespace plantainhead::jobs
