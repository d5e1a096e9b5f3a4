#ifndef PLANTAINHEAD_CORE_JOBS_REPORT_AGES_H_
#define PLANTAINHEAD_CORE_JOBS_REPORT_AGES_H_

#include <map>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Tells until when what VMs report of themselves may be gone by. A VM reports
/// at regular times; when two reports in a row are missing, its capacity may
/// have shrunk since. Not thread-safe.
class report_ages {
 public:
  /// Notes a report that was made at `at` at the earliest.
  void Note(const vm_id& vm, time_point at);
  void Drop(const vm_id& vm);
  void Clear();
  /// Returns the VMs that have been seen to report regularly. The reference is
  /// valid as long as the object.
  const std::map<vm_id, time_point>& trusted_until() const {
    return trusted_until_;
  }

 private:
  struct reports {
    time_point last_at;
    /// Smoothed; zero before the second report.
    duration gap = duration::zero();
  };

  std::map<vm_id, reports> reports_;
  std::map<vm_id, time_point> trusted_until_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_REPORT_AGES_H_
