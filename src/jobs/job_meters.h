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

/// Latencies and results that a process measures as it goes, for its metrics.
/// Names of queues come from the configuration, so that they are few.
/// Thread safety: one thread at a time.
class job_meters {
 public:
  job_meters();

  /// A call to the store ended after this time.
  void NoteStoreCall(adapter::store_call call, core::duration time);
  /// A submission was answered as accepted.
  void NoteAccepted(core::duration time) { accept_.Record(time); }
  /// An owner decided what starts where.
  void NotePlan(core::duration time) { plan_.Record(time); }
  /// A VM answered an order to start a task.
  void NoteStart(core::duration time) { start_.Record(time); }
  /// The thread of all work was behind by this time.
  void NoteLoopLag(core::duration lag) { loop_lag_.Record(lag); }
  /// From being dealt a partition to the first order.
  void NoteTakeover(core::duration time) { takeover_.Record(time); }
  /// A job has ended, and its end is stored. Returns what spent its time.
  core::jobs::job_verdict NoteResult(const core::jobs::job_result& result,
                                     core::time_point ended_at);

  /// Meters what the thread of all work is busy with.
  cpu_time_meter& work() { return work_; }

  /// Returns all as Prometheus text.
  std::string ToText();

 private:
  observe::metrics registry_;
  cpu_time_meter work_{ThreadCpuTime};
  observe::latency_histogram& accept_;
  observe::latency_histogram& plan_;
  observe::latency_histogram& start_;
  observe::latency_histogram& takeover_;
  observe::latency_histogram& loop_lag_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_METERS_H_
