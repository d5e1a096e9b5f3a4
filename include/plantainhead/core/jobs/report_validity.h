#ifndef PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_
#define PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_

#include <map>
#include <optional>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Tells until when what VMs report of themselves may be gone by. VMs report at
/// regular times, all as often; when two reports of one in a row are missing,
/// its capacity may have shrunk since. Not thread-safe.
class report_validity {
 public:
  /// Notes a report that was made at `at` at the earliest.
  void Note(const vm_id& vm, time_point at);
  /// Returns until when the VM's last report is gone by; see `trusted_until`.
  std::optional<time_point> TrustedUntil(const vm_id& vm) const;
  /// Forgets a VM that has left.
  void Drop(const vm_id& vm);
  /// Forgets all VMs, but not how often they report.
  void Clear();
  /// Returns nothing of VMs that were noted before any had reported twice. The
  /// reference is valid as long as the object.
  const std::map<vm_id, time_point>& trusted_until() const {
    return trusted_until_;
  }

 private:
  void NoteInterval(duration interval);

  std::map<vm_id, time_point> last_at_;
  std::map<vm_id, time_point> trusted_until_;
  /// Between two reports of a VM, smoothed over all; zero before the first.
  duration mean_interval_ = duration::zero();
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_
