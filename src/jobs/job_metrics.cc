#include "jobs/job_metrics.h"

#include "plantainhead/observe/metrics.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kRequestsName = "plantain_job_requests_total";
constexpr const char* kRequestsHelp = "Callers' requests by outcome.";

void CountFaults(
    const core::jobs::record_fault_counter::counts_by_fault& faults,
    observe::metrics* registry) {
  for (const auto& [fault, times] : faults) {
    registry
        ->Counter("plantain_record_faults_total",
                  "Records that were read and can't be used.",
                  {{"topic", fault.first},
                   {"fault", std::string(core::NameOf(fault.second))}})
        .Add(times);
  }
}

void CountRequests(const submission_counts& counts,
                   observe::metrics* registry) {
  const auto count = [&](const char* outcome, std::uint64_t value) {
    registry->Counter(kRequestsName, kRequestsHelp, {{"outcome", outcome}})
        .Add(value);
  };
  const recorder_counts& records = counts.records;
  count("accepted", records.accepted);
  count("repeated", counts.repeated);
  count("refused", records.refused + counts.refused);
  count("unanswered", records.unanswered);
  count("cancelled", records.cancelled);
  count("queried", counts.queries);
  count("unknown_route", counts.unknown_route);
  count("malformed", counts.malformed);
  count("passed_on", counts.relayed.passed_on);
  count("owner_failed", counts.relayed.owner_failures);
}

}  // namespace

std::string FormatMetrics(const job_figures& figures) {
  observe::metrics registry;
  CountRequests(figures.submissions, &registry);
  const auto level = [&](const char* name, const char* help, double value,
                         const observe::label_list& labels = {}) {
    registry.Gauge(name, help, labels).Set(value);
  };
  level("plantain_ready", "1 when the process takes requests.",
        figures.is_ready ? 1 : 0);
  level("plantain_jobs_known", "Jobs that have been read from the store.",
        static_cast<double>(figures.known_jobs));
  if (figures.job_copy_age) {
    level("plantain_job_copy_age_seconds",
          "Since the jobs of owned pools had been read to their ends.",
          std::chrono::duration<double>(*figures.job_copy_age).count());
  }
  level("plantain_configuration_version", "The version in force.",
        static_cast<double>(figures.configuration_version));
  level("plantain_faulty_keys", "Keys whose newest record can't be used.",
        static_cast<double>(figures.faulty_keys));
  CountFaults(figures.faults, &registry);
  for (const auto& [partition, counts] : figures.pools) {
    const observe::label_list labels = {
        {"partition", std::to_string(partition)}};
    level("plantain_open_jobs", "Jobs that haven't ended, in owned pools.",
          static_cast<double>(counts.open_jobs), labels);
    level("plantain_waiting_tasks", "Tasks that may not start yet.",
          static_cast<double>(counts.waiting_tasks), labels);
    level("plantain_placed_tasks", "Tasks with a run on a VM.",
          static_cast<double>(counts.placed_tasks), labels);
    registry
        .Counter("plantain_task_starts_total", "Orders to start a task.",
                 labels)
        .Add(counts.starts);
    registry
        .Counter("plantain_task_failures_total", "Runs that failed.", labels)
        .Add(counts.failed_runs);
    registry
        .Counter("plantain_task_lapses_total",
                 "Runs given up because their VM was silent.", labels)
        .Add(counts.lease_expired_runs);
    registry
        .Counter("plantain_task_losses_total",
                 "Runs that were on a VM when it was lost.", labels)
        .Add(counts.lost_runs);
    registry
        .Counter("plantain_task_hangs_total",
                 "Runs stopped because they made no progress.", labels)
        .Add(counts.hung_runs);
  }
  return registry.ToText();
}

}  // namespace plantainhead::jobs
