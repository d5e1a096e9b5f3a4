#ifndef PLANTAINHEAD_CORE_JOBS_JOB_MEMORY_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_MEMORY_H_

#include <cstddef>

#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::core::jobs {

/// Returns about how much memory an open job takes before any of its tasks has
/// started, in bytes.
/// Thread safety: safe from any thread.
std::size_t MemoryOf(const job_spec& spec);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_MEMORY_H_
