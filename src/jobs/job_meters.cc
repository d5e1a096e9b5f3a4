#include "jobs/job_meters.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace plantainhead::jobs {

job_meters::job_meters()
    : accept_(registry_.Latency("plantain_job_accept_seconds",
                                "Time from a submission's arrival until its "
                                "record is stored.")),
      plan_(registry_.Latency("plantain_plan_seconds",
                              "Time to compute one plan of a pool's owner.")),
      start_(registry_.Latency("plantain_task_start_seconds",
                               "Time from an order to start a task until the "
                               "VM's answer.")),
      takeover_(
          registry_.Latency("plantain_takeover_seconds",
                            "Time from the assignment of a partition until "
                            "its owner gives orders.")),
      loop_lag_(registry_.Latency("plantain_loop_lag_seconds",
                                  "Delay of timers on the event loop thread.")),
      oversized_records_(registry_.Counter(
          "plantain_oversized_records_total",
          "Records of jobs' progress that were too large for the store.")) {}

void job_meters::NoteStoreCall(adapter::store_call call, core::duration time) {
  registry_
      .Latency("plantain_store_call_seconds",
               "Duration of store calls, without long-poll reads.",
               {{"call", std::string(core::NameOf(call))}})
      .Record(time);
}

std::string job_meters::ToText() {
  const cpu_times times = work_.Totals();
  for (const auto& [kind, name] : kLoopWorkNames) {
    const auto used = std::chrono::duration_cast<std::chrono::microseconds>(
        times[static_cast<std::size_t>(kind)]);
    observe::counter& exported =
        registry_.Counter("plantain_loop_busy_microseconds_total",
                          "CPU time of the event loop thread, by kind of work.",
                          {{"work", std::string(name)}});
    exported.Add(static_cast<std::uint64_t>(used.count()) - exported.value());
  }
  return registry_.ToText();
}

core::jobs::job_verdict job_meters::NoteResult(
    const core::jobs::job_result& result,
    core::time_point ended_at) {
  const core::jobs::job_verdict verdict =
      core::jobs::VerdictOf(result, ended_at);
  registry_
      .Counter("plantain_job_results_total",
               "Jobs that have ended, by verdict: in time, or why not.",
               {{"queue", result.queue},
                {"verdict", std::string(core::NameOf(verdict))}})
      .Add();
  registry_
      .Latency("plantain_job_seconds",
               "Time from a job's submission until its end is stored.",
               {{"queue", result.queue}})
      .Record(ended_at - result.arrived_at);
  if (result.started_at) {
    registry_
        .Latency("plantain_job_first_start_seconds",
                 "Time from a job's submission until its last owner first "
                 "ordered the start of one of its tasks.",
                 {{"queue", result.queue}})
        .Record(*result.started_at - result.arrived_at);
  }
  return verdict;
}

}  // namespace plantainhead::jobs
