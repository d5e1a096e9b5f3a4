#ifndef PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
#define PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_

#include <chrono>
#include <cstdint>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/logging.h"

namespace plantainhead::jobs {

/// Kinds of events that a process of the job scheduler logs.
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
  kRecordTooLarge,
  kReadRepeated,
  kJobsReread,
  kReadUnanswered,
  kRecordsSlow,
  kReadinessChanged,
  kServerLimitReached,
  kJobAccepted,
  kJobRead,
  kJobRefused,
  kJobUnopened,
  kJobUnanswered,
  kJobCancelled,
  kCancellationRead,
  kStartsPaused,
  kStartsResumed,
  kCountTold,
  kCountRefused,
  kJobRecordFull,
  kJobEnded,
  kTaskStarted,
  kTaskNotStarted,
  kTaskStopped,
  kTaskEnded,
  kTaskLost,
  kVmLost,
  kVmGained,
  kVmHeard,
  kVmRestarted,
  kVmAnswerIgnored,
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
  kHostOrderDropped,
  kHostPhaseChanged,
  kFleetSized,
  kPoolSized,
  kWaveCompleted,
  kLinesLeftOut,
};

inline constexpr core::name_table<job_event, 61> kJobEventNames = {{
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
    {job_event::kRecordTooLarge, "record too large"},
    {job_event::kReadRepeated, "read repeated"},
    {job_event::kJobsReread, "jobs reread"},
    {job_event::kReadUnanswered, "read unanswered"},
    {job_event::kRecordsSlow, "records slow"},
    {job_event::kReadinessChanged, "readiness changed"},
    {job_event::kServerLimitReached, "server limit reached"},
    {job_event::kJobAccepted, "job accepted"},
    {job_event::kJobRead, "job read"},
    {job_event::kJobRefused, "job refused"},
    {job_event::kJobUnopened, "job unopened"},
    {job_event::kJobUnanswered, "job unanswered"},
    {job_event::kJobCancelled, "job cancelled"},
    {job_event::kCancellationRead, "cancellation read"},
    {job_event::kStartsPaused, "starts paused"},
    {job_event::kStartsResumed, "starts resumed"},
    {job_event::kCountTold, "count told"},
    {job_event::kCountRefused, "count refused"},
    {job_event::kJobRecordFull, "job record full"},
    {job_event::kJobEnded, "job ended"},
    {job_event::kTaskStarted, "task started"},
    {job_event::kTaskNotStarted, "task not started"},
    {job_event::kTaskStopped, "task stopped"},
    {job_event::kTaskEnded, "task ended"},
    {job_event::kTaskLost, "task lost"},
    {job_event::kVmLost, "vm lost"},
    {job_event::kVmGained, "vm gained"},
    {job_event::kVmHeard, "vm heard"},
    {job_event::kVmRestarted, "vm restarted"},
    {job_event::kVmAnswerIgnored, "vm answer ignored"},
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
    {job_event::kHostOrderDropped, "host order dropped"},
    {job_event::kHostPhaseChanged, "host phase changed"},
    {job_event::kFleetSized, "fleet sized"},
    {job_event::kPoolSized, "pool sized"},
    {job_event::kWaveCompleted, "wave completed"},
    {job_event::kLinesLeftOut, "lines left out"},
}};
inline constexpr const auto& NamesOf(job_event) {
  return kJobEventNames;
}

/// Maximum number of log lines for one kind of event per time window. Lines
/// beyond the limit are suppressed and counted, and the count is logged in the
/// next window.
struct log_rate_limit {
  unsigned lines;
  std::chrono::seconds window;

  friend bool operator==(const log_rate_limit&,
                         const log_rate_limit&) = default;
};
/// 60 lines of 200 bytes per kind stay close to the 10 KB/s that an idle node
/// may log, and limit a burst of events of all kinds to a few hundred lines per
/// second.
inline constexpr log_rate_limit kDefaultRateLimit{60, std::chrono::seconds(1)};
/// Limit for task events, of which one line reports up to 40. At 60 such lines
/// per second, a log collector that keeps the last 55 KB of a log drops the
/// lines about ownership and readiness within 5 s. At half that rate it takes
/// 9 s, so the retained part always has a line with the process state. A burst
/// of 120 lines is logged completely.
inline constexpr log_rate_limit kTaskRateLimit{120, std::chrono::seconds(4)};
/// Limit for unanswered reads: a process reads about 20 partitions, and while
/// the store is unavailable their lines differ only in the partition.
inline constexpr log_rate_limit kReadRateLimit{20, std::chrono::seconds(4)};

/// Returns the rate limit for events of this kind.
/// Thread safety: safe from any thread.
log_rate_limit RateLimitOf(job_event event);

/// Writes one log line, unless the rate limit of its kind is exhausted. Never
/// blocks on the reader of the log.
/// Thread safety: one thread at a time.
void LogEvent(job_event event, const observe::log_fields& fields);

/// Appends a field with the age of `time`, a time by `BootTime`, in
/// milliseconds. Appends nothing if `time` is the clock's epoch, which means
/// "never".
/// Thread safety: safe from any thread for different lists.
void AppendAge(const char* name,
               core::time_point time,
               observe::log_fields* fields);

/// Returns the number of event lines that the process has logged.
/// Thread safety: as `LogEvent`.
std::uint64_t LinesWritten();

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_EVENT_LOG_H_
