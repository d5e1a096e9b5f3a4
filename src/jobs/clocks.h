#ifndef PLANTAINHEAD_SRC_JOBS_CLOCKS_H_
#define PLANTAINHEAD_SRC_JOBS_CLOCKS_H_

#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Returns the time since the VM was booted, including the time for which it
/// was suspended. Leases are measured with this clock: the steady clock stops
/// during a suspension, so an owner that resumes would still consider itself
/// the holder of a lease that expired long ago.
/// Thread safety: safe from any thread.
core::time_point BootTime();

/// Returns the time of day, which may jump. Used only for due times and the
/// ages of jobs.
/// Thread safety: safe from any thread.
core::time_point WallTime();

/// Returns the CPU time that the calling thread has used.
/// Thread safety: safe from any thread.
core::duration ThreadCpuTime();

/// Formats a duration in whole milliseconds for log fields.
/// Thread safety: safe from any thread.
std::string MillisOf(core::duration time);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CLOCKS_H_
