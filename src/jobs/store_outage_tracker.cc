#include "jobs/store_outage_tracker.h"

namespace plantainhead::jobs {

bool store_outage_tracker::NoteFailure(core::time_point now) {
  if (!outage_) {
    outage_ = outage{now, 1, std::nullopt};
    return true;
  }
  if (outage_->answered_since) {
    ++outage_->interruptions;
    outage_->answered_since.reset();
  }
  return false;
}

std::optional<store_recovery> store_outage_tracker::NoteAnswer(
    core::time_point now) {
  if (!outage_) {
    return std::nullopt;
  }
  if (!outage_->answered_since) {
    outage_->answered_since = now;
  }
  const core::duration answered_for = now - *outage_->answered_since;
  if (answered_for < kRecoveryTime) {
    return std::nullopt;
  }
  const store_recovery recovery{outage_->interruptions,
                                *outage_->answered_since - outage_->started_at,
                                answered_for};
  outage_.reset();
  return recovery;
}

}  // namespace plantainhead::jobs
