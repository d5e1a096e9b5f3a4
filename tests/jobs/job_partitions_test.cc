#include "jobs/job_partitions.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

core::jobs::job_id IdOf(std::uint32_t number) {
  constexpr std::uint64_t kOddFactor = 0x9e3779b97f4a7c15U;
  std::string id(16, '0');
  std::snprintf(id.data(), id.size() + 1, "%016llx",
                static_cast<unsigned long long>((number + 1) * kOddFactor));
  return id;
}

/// Simulates jobs that are submitted at a constant rate, each with its own
/// append, to a store that executes the appends to a partition one after the
/// other. Returns the time until each job is stored, in the order of
/// submission.
std::vector<milliseconds> SimulateWaits(const core::jobs::queue_id& queue,
                                        std::uint32_t jobs,
                                        milliseconds interval,
                                        milliseconds append_time) {
  std::map<std::uint32_t, milliseconds> free_at;
  std::vector<milliseconds> waits;
  for (std::uint32_t i = 0; i < jobs; ++i) {
    const milliseconds now = interval * i;
    milliseconds& free = free_at[JobPartitionOf(queue, IdOf(i))];
    free = std::max(free, now) + append_time;
    waits.push_back(free - now);
  }
  return waits;
}

// The store is 60 times slower than usual during a burst of jobs of one queue.
// Each caller uses another process, so that hardly any two jobs share an
// append. If the queue's partitions together take fewer appends than there are
// jobs, each second of the burst adds to the wait of all later callers, whose
// timeout is 3 s.
TEST_CASE("A slow store keeps up with the jobs of a queue's burst") {
  // 45 jobs/s for 4.5 s; 120 ms for an append instead of 2 ms.
  constexpr std::uint32_t kJobs = 200;
  constexpr milliseconds kInterval(22);
  constexpr milliseconds kAppend(120);
  const std::string queue = GENERATE("a", "payments", "r-7f3k", "zz/9");
  CAPTURE(queue);
  const auto waits = SimulateWaits(queue, kJobs, kInterval, kAppend);
  auto first_half =
      std::vector<milliseconds>(waits.begin(), waits.begin() + kJobs / 2);
  auto second_half =
      std::vector<milliseconds>(waits.begin() + kJobs / 2, waits.end());
  std::sort(first_half.begin(), first_half.end());
  std::sort(second_half.begin(), second_half.end());

  SECTION("so that late callers wait hardly longer than early ones do") {
    CHECK(second_half[kJobs / 4] <= first_half[kJobs / 4] + 2 * kAppend);
  }

  SECTION("and no caller times out") {
    CHECK(second_half.back() < milliseconds(1500));
  }
}

// A submission may be repeated at any process, also if the first one got no
// response. In another partition it would become a second job.
TEST_CASE("A job's partition is one of its queue's and never changes") {
  const auto partitions = JobPartitionsOf("queue");
  const std::set<std::uint32_t> known(partitions.begin(), partitions.end());
  CHECK(known.size() == kPartitionsPerQueue);
  CHECK(*known.rbegin() < kJobPartitions);
  std::set<std::uint32_t> used;
  for (std::uint32_t i = 0; i < 200; ++i) {
    const std::uint32_t partition = JobPartitionOf("queue", IdOf(i));
    CHECK(partition == JobPartitionOf("queue", IdOf(i)));
    used.insert(partition);
  }
  CHECK(used == known);
}

}  // namespace
}  // namespace plantainhead::jobs
