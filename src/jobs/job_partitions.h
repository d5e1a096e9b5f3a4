#ifndef PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_

#include <array>
#include <cstdint>

#include "plantainhead/core/jobs/job_types.h"

/// Assigns jobs, queues and pools to partitions of the store's topics.
namespace plantainhead::jobs {

/// Number of partitions of the job topic that are used. Each is read by the
/// owners of the pools whose queues it holds.
inline constexpr std::uint32_t kJobPartitions = 16;
/// Number of partitions over which the jobs of one queue are spread. The store
/// executes the appends to a partition one after the other: 2 ms each, or 120
/// ms when it is 60 times slower. A queue's burst then brings 45 jobs/s, and
/// one partition takes eight. With four partitions the waiting time grew with
/// each second of a burst until the store refused appends. Eight in place of
/// four raised the earned share of callers' requests from 0.863 to 0.888 with a
/// store 95 times slower for 4.5 s, and from 0.827 to 0.858 with 350 VMs. The
/// cost is four more long-poll reads for each owner.
inline constexpr std::uint32_t kPartitionsPerQueue = 8;
/// Number of partitions over which the pools are spread; each has its own
/// owner. The store creates 32 partitions for each topic. The last one belongs
/// to the fleet.
inline constexpr std::uint32_t kPoolPartitions = 31;
inline constexpr std::uint32_t kFleetPartition = 31;

/// Returns the partitions over which the jobs of the queue are spread. Thread
/// safety: safe from any thread.
std::array<std::uint32_t, kPartitionsPerQueue> JobPartitionsOf(
    const core::jobs::queue_id& queue);

/// Returns the partition that stores the job's submission. It depends only on
/// the queue and the id, so that a repeated submission finds the first one even
/// after the queue has moved to another pool. Thread safety: safe from any
/// thread.
std::uint32_t JobPartitionOf(const core::jobs::queue_id& queue,
                             const core::jobs::job_id& job);

/// Returns the partition that stores the pool's progress; the owner of this
/// partition schedules the pool. Thread safety: safe from any thread.
std::uint32_t PoolPartitionOf(const core::jobs::pool_id& pool);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_PARTITIONS_H_
