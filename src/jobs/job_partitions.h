#ifndef PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_

#include <array>
#include <cstdint>

#include "plantainhead/core/jobs/job_types.h"

/// Which partitions of the store's topics hold what.
namespace plantainhead::jobs {

/// Partitions of the topic of accepted jobs that are used. Each is read by the
/// owners of the pools whose queues it holds.
inline constexpr std::uint32_t kJobPartitions = 16;
/// Partitions over which the jobs of one queue are spread. The store takes the
/// appends to a partition one after the other, each 2 ms, or 120 ms when it is
/// 60 times as slow: then a queue in its turn brings 45 jobs a second, and one
/// partition takes eight. Over four partitions callers waited longer with each
/// second of the turn, until the store refused them. With eight in place of
/// four, 0.888 in place of 0.863 of what callers asked was earned on a day with
/// a store 95 times as slow for 4.5 s (six seeds), and 0.858 in place of 0.827
/// on one of 350 VMs (one play). It costs an owner four more waiting reads.
inline constexpr std::uint32_t kPartitionsPerQueue = 8;
/// Partitions over which the pools are spread; each has an owner of its own.
/// The store makes 32 of each topic. The last one is the fleet's.
inline constexpr std::uint32_t kPoolPartitions = 31;
inline constexpr std::uint32_t kFleetPartition = 31;

/// Returns the partitions over which the jobs of the queue are spread.
/// Thread safety: safe from any thread.
std::array<std::uint32_t, kPartitionsPerQueue> JobPartitionsOf(
    const core::jobs::queue_id& queue);

/// Returns where the submission is stored. It depends on the queue and the id
/// alone, so that a repeated submission meets the first one also after the
/// queue has moved to another pool. Thread safety: safe from any thread.
std::uint32_t JobPartitionOf(const core::jobs::queue_id& queue,
                             const core::jobs::job_id& job);

/// Returns where the pool's progress is stored, and whose owner schedules it.
/// Thread safety: safe from any thread.
std::uint32_t PoolPartitionOf(const core::jobs::pool_id& pool);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_
