#ifndef PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
#define PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_

#include <chrono>

#include "plantainhead/core/names.h"
#include "plantainhead/observe/logging.h"

namespace plantainhead::jobs {

/// What a process of the job scheduler logs.
enum class job_event {
  kProcessStarted,
  kProcessStopping,
  kProcessStopped,
  kSettingsRead,
  kStoreLost,
  kStoreRegained,
  kConfigurationApplied,
  kConfigurationInvalid,
  kRecordInvalid,
  kReadRepeated,
  kReadUnanswered,
  kReadinessChanged,
  kJobAccepted,
  kJobRead,
  kJobRefused,
  kJobUnanswered,
  kJobCancelled,
  kCancellationRead,
  kCountTold,
  kCountRefused,
  kJobEnded,
  kTaskStarted,
  kTaskNotStarted,
  kTaskStopped,
  kTaskEnded,
  kVmLost,
  kVmHeard,
  kVmVacated,
  kOwnershipGained,
  kOwnershipLost,
  kTakeoverFailed,
  kHostServiced,
  kHostNotServiced,
  kHostMoved,
  kPoolSized,
  kWaveCompleted,
  kLinesLeftOut,
};

inline constexpr core::name_table<job_event, 37> kJobEventNames = {{
    {job_event::kProcessStarted, "process started"},
    {job_event::kProcessStopping, "process stopping"},
    {job_event::kProcessStopped, "process stopped"},
    {job_event::kSettingsRead, "settings read"},
    {job_event::kStoreLost, "store lost"},
    {job_event::kStoreRegained, "store regained"},
    {job_event::kConfigurationApplied, "configuration applied"},
    {job_event::kConfigurationInvalid, "configuration invalid"},
    {job_event::kRecordInvalid, "record invalid"},
    {job_event::kReadRepeated, "read repeated"},
    {job_event::kReadUnanswered, "read unanswered"},
    {job_event::kReadinessChanged, "readiness changed"},
    {job_event::kJobAccepted, "job accepted"},
    {job_event::kJobRead, "job read"},
    {job_event::kJobRefused, "job refused"},
    {job_event::kJobUnanswered, "job unanswered"},
    {job_event::kJobCancelled, "job cancelled"},
    {job_event::kCancellationRead, "cancellation read"},
    {job_event::kCountTold, "count told"},
    {job_event::kCountRefused, "count refused"},
    {job_event::kJobEnded, "job ended"},
    {job_event::kTaskStarted, "task started"},
    {job_event::kTaskNotStarted, "task not started"},
    {job_event::kTaskStopped, "task stopped"},
    {job_event::kTaskEnded, "task ended"},
    {job_event::kVmLost, "vm lost"},
    {job_event::kVmHeard, "vm heard"},
    {job_event::kVmVacated, "vm vacated"},
    {job_event::kOwnershipGained, "ownership gained"},
    {job_event::kOwnershipLost, "ownership lost"},
    {job_event::kTakeoverFailed, "takeover failed"},
    {job_event::kHostServiced, "host serviced"},
    {job_event::kHostNotServiced, "host not serviced"},
    {job_event::kHostMoved, "host moved"},
    {job_event::kPoolSized, "pool sized"},
    {job_event::kWaveCompleted, "wave completed"},
    {job_event::kLinesLeftOut, "lines left out"},
}};
inline constexpr const auto& NamesOf(job_event) {
  return kJobEventNames;
}

/// Lines of one kind of event that are written at most in each window of time.
/// The rest is counted, and the count is written in the next window.
inline constexpr unsigned kMostLinesInWindow = 60;
/// 60 lines of 200 bytes of each kind stay near the 10 KB/s that a node may
/// write when quiet, and bound a storm to a few hundred lines a second.
inline constexpr std::chrono::seconds kLineWindow{1};
/// The same for the kinds that come most around an outage: events of tasks, of
/// which one line stands for up to 40, and reads without an answer, which
/// differ only in their partition. A collector that keeps the last 55 KB of a
/// log lost, at 60 such lines a second, those on ownership and readiness within
/// 5 s; now one kind takes 18 s for that. A burst of 60 lines is still written
/// whole.
inline constexpr std::chrono::seconds kDetailWindow{4};

/// Returns the window in which `kMostLinesInWindow` lines of `event` are
/// written. Thread safety: safe from any thread.
std::chrono::seconds BudgetWindow(job_event event);

/// Writes one line. Never waits for the reader of the log.
/// Thread safety: one thread at a time.
void LogEvent(job_event event, const observe::log_fields& fields);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
