#ifndef PLANTAINHEAD_OBSERVE_JOB_TRACE_H_
#define PLANTAINHEAD_OBSERVE_JOB_TRACE_H_

#include <string>
#include <vector>

/// What became of one job, from the logs of all processes.
namespace plantainhead::observe {

/// The log of one process, or of several whose lines carry their names: what
/// stands before a line's JSON is taken for its process.
struct process_log {
  /// For lines that name no process.
  std::string process;
  std::string text;
};

/// One event that bears on the job.
struct trace_event {
  /// UTC, by the clock of the process that wrote it.
  std::string time;
  std::string process;
  std::string message;
  /// The other fields, as "name=value name=value".
  std::string details;
};

struct job_trace {
  /// In the order of their times.
  std::vector<trace_event> events;
  /// What the last owner said of the job's end; empty if it said nothing.
  std::string verdict;
};

/// Gathers the lines that name the job, what happened to the VMs that its tasks
/// were on, and what the processes that dealt with it gained, lost or changed
/// meanwhile. Lines that are no JSON are passed over.
/// Thread safety: safe from any thread.
job_trace TraceJob(const std::string& job,
                   const std::vector<process_log>& logs);

/// Returns a line for each event, and the verdict.
std::string ToText(const job_trace& trace);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_JOB_TRACE_H_
