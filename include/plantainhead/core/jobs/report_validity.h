#ifndef PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_
#define PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_

#include <map>
#include <optional>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Computes until when the capacity reports of VMs can be trusted. All VMs
/// report at the same regular interval; when two consecutive reports of a VM
/// are missing, its capacity may have shrunk since the last one. Not
/// thread-safe.
class report_validity {
 public:
  /// Notes a report that was made at `at` at the earliest.
  void Note(const vm_id& vm, time_point at);
  /// Returns until when the VM's last report is trusted; see `trusted_until`.
  std::optional<time_point> TrustedUntil(const vm_id& vm) const;
  /// Forgets a VM that has left.
  void Drop(const vm_id& vm);
  /// Forgets all VMs, but keeps the report interval.
  void Clear();
  /// Returns until when the last report of each VM is trusted. VMs whose last
  /// report was noted before any VM had reported twice are missing. The
  /// reference is valid for the lifetime of the object.
  const std::map<vm_id, time_point>& trusted_until() const {
    return trusted_until_;
  }

 private:
  void NoteInterval(duration interval);

  std::map<vm_id, time_point> last_at_;
  std::map<vm_id, time_point> trusted_until_;
  /// Average interval between two reports of a VM, smoothed over all VMs; zero
  /// until a VM has reported twice.
  duration mean_interval_ = duration::zero();
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_REPORT_VALIDITY_H_
