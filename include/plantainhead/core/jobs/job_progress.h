#ifndef PLANTAINHEAD_CORE_JOBS_JOB_PROGRESS_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_PROGRESS_H_

#include <cstddef>
#include <cstdint>

#include "plantainhead/core/jobs/job_types.h"

/// Sizes of the records that contain the progress of jobs.
namespace plantainhead::core::jobs {

/// The maximum size of a record of the platform's store, including its key.
inline constexpr std::size_t kMaxRecordBytes = 262144;
/// Tasks that are done are recorded one by one up to this size of a record,
/// since older versions read no other form.
inline constexpr std::size_t kMaxPlainBytes = 250000;
/// The maximum size of a recorded task that is done.
inline constexpr std::size_t kDoneTaskBytes = 27;
/// The maximum size of a recorded task that is not done, without what depends
/// on its runs.
inline constexpr std::size_t kLiveTaskBytes = 52;
/// A job starts no further tasks while its record may exceed this size.
inline constexpr std::size_t kMaxTrackedBytes = 220000;
/// A job starts none of its tasks again while its record exceeds this size.
inline constexpr std::size_t kMaxRetryBytes = 250000;
/// The maximum number of tasks that may have to run at the same time.
inline constexpr std::uint64_t kMaxConcurrentTasks = 3000;

/// Return an upper bound of the bytes that a part of a job's progress takes in
/// its record.
/// Thread safety: safe from any thread.
std::size_t RecordBytes(const task_record& task);
std::size_t RecordBytes(const done_ranges& done);

/// Drops checkpoints, the longest first, until the progress fits into a record.
/// The tasks start from the beginning if their owner changes. Returns whether
/// it fits.
/// Thread safety: safe from any thread for different objects.
bool FitIntoRecord(job_progress* progress);

/// Replaces the tasks that are done by ranges.
/// Thread safety: safe from any thread for different objects.
void Compact(job_progress* progress);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_PROGRESS_H_
