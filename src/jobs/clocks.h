#ifndef PLANTAINHEAD_SRC_JOBS_CLOCKS_H_
#define PLANTAINHEAD_SRC_JOBS_CLOCKS_H_

#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Returns the time since the VM's start, with the time that it was suspended.
/// Leases are measured on it: the steady clock stands still during a
/// suspension, so that an owner that wakes up would take a lease that has long
/// passed on for its own.
/// Thread safety: safe from any thread.
core::time_point BootTime();

/// Returns the time of day, which may jump. Only due times and the ages of jobs
/// use it.
/// Thread safety: safe from any thread.
core::time_point WallTime();

/// Returns the processor time that the calling thread has used.
/// Thread safety: safe from any thread.
core::duration ThreadCpuTime();

/// Returns the time in whole milliseconds, as lines of the log have it.
/// Thread safety: safe from any thread.
std::string MillisOf(core::duration time);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CLOCKS_H_
