#include "jobs/job_partitions.h"

#include <xxhash.h>

#include <string>

namespace plantainhead::jobs {
namespace {

std::uint64_t Hash(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::array<std::uint32_t, kPartitionsPerQueue> JobPartitionsOf(
    const core::jobs::queue_id& queue) {
  std::array<std::uint32_t, kPartitionsPerQueue> partitions{};
  for (std::uint32_t i = 0; i < kPartitionsPerQueue; ++i) {
    partitions.at(i) =
        static_cast<std::uint32_t>((Hash(queue) + i) % kJobPartitions);
  }
  return partitions;
}

std::uint32_t JobPartitionOf(const core::jobs::queue_id& queue,
                             const core::jobs::job_id& job) {
  return JobPartitionsOf(queue).at(Hash(job) % kPartitionsPerQueue);
}

std::uint32_t PoolPartitionOf(const core::jobs::pool_id& pool) {
  return static_cast<std::uint32_t>(Hash(pool) % kPoolPartitions);
}

}  // namespace plantainhead::jobs
