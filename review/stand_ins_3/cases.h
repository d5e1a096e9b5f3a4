#ifndef PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_

#include "site.h"

/// The cases of the review that are scripts. Each returns one of the exit codes
/// below.
namespace plantainhead::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// A runner goes down and up by turns, twice for some seconds. It and another
/// one run the tasks of a job that lasts.
int RunServingJob(const site_options& options, bool is_troubled);
/// One job of twenty takes 12 times as long as estimated.
int RunLongTasks(const site_options& options, bool is_troubled);
/// A caller submits a job of very many tasks. Then ordinary ones are submitted.
int RunWideJob(const site_options& options, bool is_troubled);
/// A caller submits jobs whose `steps` are nested deeply.
int RunNestedBody(const site_options& options, bool is_troubled);

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_3_CASES_H_
