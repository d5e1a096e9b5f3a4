#ifndef PLANTAINHEAD_SRC_JOBS_JOB_METERS_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_METERS_H_

#include <string>

#include "jobs/clocks.h"
#include "jobs/cpu_time_meter.h"
#include "plantainhead/core/jobs/job_result.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/metrics.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Records the latencies and job results of a process and exports them as
/// metrics. Queue names used as labels come from the configuration, so their
/// number is small.
/// Thread safety: one thread at a time.
class job_meters {
 public:
  job_meters();

  /// Records the duration of a call to the store.
  void NoteStoreCall(adapter::store_call call, core::duration time);
  /// Records the time from a submission's arrival until it was accepted.
  void NoteAccepted(core::duration time) { accept_.Record(time); }
  /// Records the time in which a pool's owner planned task placement.
  void NotePlan(core::duration time) { plan_.Record(time); }
  /// Records the time in which a VM answered an order to start a task.
  void NoteStart(core::duration time) { start_.Record(time); }
  /// Counts a record of a job's progress that was too large for the store.
  void NoteOversizedRecord() { oversized_records_.Add(); }
  /// Records by how much the event loop is behind.
  void NoteLoopLag(core::duration lag) { loop_lag_.Record(lag); }
  /// Records the time from the assignment of a partition until its new owner
  /// may give orders.
  void NoteTakeover(core::duration time) { takeover_.Record(time); }
  /// Records the result of a job whose end has been stored. Returns whether it
  /// ended in time, or why it did not.
  core::jobs::job_verdict NoteResult(const core::jobs::job_result& result,
                                     core::time_point ended_at);

  /// Returns the meter for the CPU time of the event loop thread.
  cpu_time_meter& work() { return work_; }

  /// Returns all metrics as Prometheus text.
  std::string ToText();

 private:
  observe::metrics registry_;
  cpu_time_meter work_{ThreadCpuTime};
  observe::latency_histogram& accept_;
  observe::latency_histogram& plan_;
  observe::latency_histogram& start_;
  observe::latency_histogram& takeover_;
  observe::latency_histogram& loop_lag_;
  observe::counter& oversized_records_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_METERS_H_
