#include "jobs/job_metrics.h"

#include "plantainhead/observe/metrics.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kRequestCounterName = "plantain_job_requests_total";
constexpr const char* kRequestCounterHelp = "Callers' requests by outcome.";

void AddFaultCounters(
    const core::jobs::record_fault_counter::counts_by_fault& faults,
    observe::metrics* registry) {
  for (const auto& [fault, times] : faults) {
    registry
        ->Counter("plantain_record_faults_total",
                  "Invalid records that were read from the store.",
                  {{"topic", fault.first},
                   {"fault", std::string(core::NameOf(fault.second))}})
        .Add(times);
  }
}

void AddRequestCounters(const submission_counts& counts,
                        observe::metrics* registry) {
  const auto count = [&](const char* outcome, std::uint64_t value) {
    registry
        ->Counter(kRequestCounterName, kRequestCounterHelp,
                  {{"outcome", outcome}})
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
  count("passed_on", counts.relayed.forwarded);
  count("owner_failed", counts.relayed.owner_failures);
}

void AddServerLimits(const job_metrics_snapshot& snapshot,
                     observe::metrics* registry) {
  for (const auto& [limit, times] : snapshot.server_limits) {
    registry
        ->Counter("plantain_http_limits_total",
                  "Requests refused and connections closed for a limit.",
                  {{"listener", limit.first},
                   {"limit", std::string(core::NameOf(limit.second))}})
        .Add(times);
  }
  registry
      ->Gauge("plantain_http_request_bytes",
              "Bytes held for requests that count in the budget.", {})
      .Set(static_cast<double>(snapshot.request_memory));
}

void AddPoolMetrics(const job_metrics_snapshot& snapshot,
                    observe::metrics* registry) {
  const auto set_gauge = [&](const char* name, const char* help, double value,
                             const observe::label_list& labels) {
    registry->Gauge(name, help, labels).Set(value);
  };
  for (const auto& [partition, counts] : snapshot.pools) {
    const observe::label_list labels = {
        {"partition", std::to_string(partition)}};
    set_gauge("plantain_open_jobs", "Jobs in owned pools that have not ended.",
              static_cast<double>(counts.open_jobs), labels);
    set_gauge("plantain_waiting_tasks", "Tasks that may not start yet.",
              static_cast<double>(counts.waiting_tasks), labels);
    set_gauge("plantain_full_jobs",
              "Jobs that start no further tasks since their progress would not "
              "fit into a record.",
              static_cast<double>(counts.full_jobs), labels);
    set_gauge("plantain_placed_tasks", "Tasks that have a run on a VM.",
              static_cast<double>(counts.placed_tasks), labels);
    registry
        ->Counter("plantain_task_starts_total",
                  "Orders to start a task that were given.", labels)
        .Add(counts.starts);
    registry
        ->Counter("plantain_task_failures_total", "Runs that failed.", labels)
        .Add(counts.failed_runs);
    registry
        ->Counter("plantain_task_lapses_total",
                  "Runs abandoned because their VM did not respond.", labels)
        .Add(counts.lease_expired_runs);
    registry
        ->Counter("plantain_task_losses_total",
                  "Runs that were on a VM when it was lost.", labels)
        .Add(counts.lost_runs);
    registry
        ->Counter("plantain_task_hangs_total",
                  "Runs stopped because they made no progress.", labels)
        .Add(counts.hung_runs);
  }
}

}  // namespace

std::string FormatMetrics(const job_metrics_snapshot& snapshot) {
  observe::metrics registry;
  AddRequestCounters(snapshot.submissions, &registry);
  const auto set_gauge = [&](const char* name, const char* help, double value,
                             const observe::label_list& labels = {}) {
    registry.Gauge(name, help, labels).Set(value);
  };
  set_gauge("plantain_ready", "1 if the process accepts requests, 0 otherwise.",
            snapshot.is_ready ? 1 : 0);
  set_gauge("plantain_jobs_known",
            "Number of jobs that have been read from the store.",
            static_cast<double>(snapshot.known_jobs));
  set_gauge("plantain_job_memory_bytes",
            "Estimated memory of the jobs that have not ended.",
            static_cast<double>(snapshot.job_memory));
  set_gauge("plantain_unopened_jobs",
            "Accepted jobs that wait until there is memory for them.",
            static_cast<double>(snapshot.unopened_jobs));
  if (snapshot.job_copy_age) {
    set_gauge("plantain_job_copy_age_seconds",
              "Time since all stored jobs of owned pools had been read.",
              std::chrono::duration<double>(*snapshot.job_copy_age).count());
  }
  set_gauge("plantain_configuration_version",
            "Version of the active configuration.",
            static_cast<double>(snapshot.configuration_version));
  set_gauge("plantain_faulty_keys",
            "Number of keys whose newest record is invalid.",
            static_cast<double>(snapshot.faulty_keys));
  AddFaultCounters(snapshot.faults, &registry);
  AddServerLimits(snapshot, &registry);
  AddPoolMetrics(snapshot, &registry);
  return registry.ToText();
}

}  // namespace plantainhead::jobs
