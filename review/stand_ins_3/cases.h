#ifndef PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_

#include "site.h"

/// The cases of the review that are scripts. Each returns one of the exit codes
/// below.
namespace plantainhead::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// A scheduled job has many occurrences. After that, an ordinary job of the
/// same pool is submitted.
int RunLongSeries(const site_options& options, bool is_troubled);
/// The processes start with the store as it is after hours of traffic.
int RunAgedStore(const site_options& options, bool is_troubled);
/// A runner goes down and up by turns, twice for some seconds. It and another
/// one run the tasks of a job that lasts.
int RunServingJob(const site_options& options, bool is_troubled);
/// One job of twenty takes 20 times as long as estimated.
int RunLongTasks(const site_options& options, bool is_troubled);
/// After a quiet time the demand rises. No service is spare.
int RunBurstAfterQuiet(const site_options& options, bool is_troubled);
/// Callers of two queues choose the same id for their jobs.
int RunSameId(const site_options& options, bool is_troubled);

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_
