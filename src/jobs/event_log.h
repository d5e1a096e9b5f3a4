#ifndef PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
#define PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_

#include <chrono>
#include <cstdint>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/logging.h"

namespace plantainhead::jobs {

/// What a process of the job scheduler logs.
enum class job_event {
  kProcessStarted,
  kProcessState,
  kLoopLate,
  kProcessStopping,
  kProcessStopped,
  kSettingsRead,
  kStoreLost,
  kStoreRegained,
  kConfigurationApplied,
  kConfigurationInvalid,
  kRecordInvalid,
  kReadRepeated,
  kJobsReread,
  kReadUnanswered,
  kRecordsSlow,
  kReadinessChanged,
  kJobAccepted,
  kJobRead,
  kJobRefused,
  kJobUnanswered,
  kJobCancelled,
  kCancellationRead,
  kStartsPaused,
  kStartsResumed,
  kCountTold,
  kCountRefused,
  kJobEnded,
  kTaskStarted,
  kTaskNotStarted,
  kTaskStopped,
  kTaskEnded,
  kTaskLost,
  kVmLost,
  kVmGained,
  kVmHeard,
  kVmVacated,
  kOwnershipGained,
  kOwnershipLost,
  kOwnerUnsure,
  kOwnerSure,
  kRenewalUnanswered,
  kMembersUnknown,
  kMembershipLapsed,
  kTakeoverFailed,
  kTakeoverSettled,
  kHostServiced,
  kHostNotServiced,
  kHostMoved,
  kHostOrdersLate,
  kFleetSized,
  kPoolSized,
  kWaveCompleted,
  kLinesLeftOut,
};

inline constexpr core::name_table<job_event, 53> kJobEventNames = {{
    {job_event::kProcessStarted, "process started"},
    {job_event::kProcessState, "process state"},
    {job_event::kLoopLate, "loop late"},
    {job_event::kProcessStopping, "process stopping"},
    {job_event::kProcessStopped, "process stopped"},
    {job_event::kSettingsRead, "settings read"},
    {job_event::kStoreLost, "store lost"},
    {job_event::kStoreRegained, "store regained"},
    {job_event::kConfigurationApplied, "configuration applied"},
    {job_event::kConfigurationInvalid, "configuration invalid"},
    {job_event::kRecordInvalid, "record invalid"},
    {job_event::kReadRepeated, "read repeated"},
    {job_event::kJobsReread, "jobs reread"},
    {job_event::kReadUnanswered, "read unanswered"},
    {job_event::kRecordsSlow, "records slow"},
    {job_event::kReadinessChanged, "readiness changed"},
    {job_event::kJobAccepted, "job accepted"},
    {job_event::kJobRead, "job read"},
    {job_event::kJobRefused, "job refused"},
    {job_event::kJobUnanswered, "job unanswered"},
    {job_event::kJobCancelled, "job cancelled"},
    {job_event::kCancellationRead, "cancellation read"},
    {job_event::kStartsPaused, "starts paused"},
    {job_event::kStartsResumed, "starts resumed"},
    {job_event::kCountTold, "count told"},
    {job_event::kCountRefused, "count refused"},
    {job_event::kJobEnded, "job ended"},
    {job_event::kTaskStarted, "task started"},
    {job_event::kTaskNotStarted, "task not started"},
    {job_event::kTaskStopped, "task stopped"},
    {job_event::kTaskEnded, "task ended"},
    {job_event::kTaskLost, "task lost"},
    {job_event::kVmLost, "vm lost"},
    {job_event::kVmGained, "vm gained"},
    {job_event::kVmHeard, "vm heard"},
    {job_event::kVmVacated, "vm vacated"},
    {job_event::kOwnershipGained, "ownership gained"},
    {job_event::kOwnershipLost, "ownership lost"},
    {job_event::kOwnerUnsure, "owner unsure"},
    {job_event::kOwnerSure, "owner sure"},
    {job_event::kRenewalUnanswered, "renewal unanswered"},
    {job_event::kMembersUnknown, "members unknown"},
    {job_event::kMembershipLapsed, "membership lapsed"},
    {job_event::kTakeoverFailed, "takeover failed"},
    {job_event::kTakeoverSettled, "takeover settled"},
    {job_event::kHostServiced, "host serviced"},
    {job_event::kHostNotServiced, "host not serviced"},
    {job_event::kHostMoved, "host moved"},
    {job_event::kHostOrdersLate, "host orders late"},
    {job_event::kFleetSized, "fleet sized"},
    {job_event::kPoolSized, "pool sized"},
    {job_event::kWaveCompleted, "wave completed"},
    {job_event::kLinesLeftOut, "lines left out"},
}};
inline constexpr const auto& NamesOf(job_event) {
  return kJobEventNames;
}

/// How many lines of one kind of event are written at most in a window of time.
/// The rest is counted, and the count is written in the next window.
struct log_rate_limit {
  unsigned lines;
  std::chrono::seconds window;

  friend bool operator==(const log_rate_limit&,
                         const log_rate_limit&) = default;
};
/// 60 lines of 200 bytes of each kind stay near the 10 KB/s that a node may
/// write when quiet, and bound a storm to a few hundred lines a second.
inline constexpr log_rate_limit kDefaultRateLimit{60, std::chrono::seconds(1)};
/// For events of tasks, of which one line stands for up to 40. A collector that
/// keeps the last 55 KB of a log lost, at 60 such lines a second, those on
/// ownership and readiness within 5 s. Half as many take 9 s, so that there is
/// a line on the state of the process among them. A burst of 120 lines is
/// written whole.
inline constexpr log_rate_limit kTaskRateLimit{120, std::chrono::seconds(4)};
/// For reads without an answer: a process reads some 20 partitions, and while
/// the store is away lines on them differ only in the partition.
inline constexpr log_rate_limit kReadRateLimit{20, std::chrono::seconds(4)};

/// Thread safety: safe from any thread.
log_rate_limit RateLimitOf(job_event event);

/// Writes one line. Never waits for the reader of the log.
/// Thread safety: one thread at a time.
void LogEvent(job_event event, const observe::log_fields& fields);

/// Appends how many milliseconds ago the time was; nothing for the epoch, which
/// stands for never.
/// Thread safety: safe from any thread for different lists.
void AppendAge(const char* name,
               core::time_point time,
               observe::log_fields* fields);

/// Returns how many lines the process has written.
/// Thread safety: as `LogEvent`.
std::uint64_t LinesWritten();

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
