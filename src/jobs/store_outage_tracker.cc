#include "jobs/store_outage_tracker.h"

namespace plantainhead::jobs {

bool store_contact::NoteFailure(core::time_point now) {
  if (!outage_) {
    outage_ = outage{now, 1, std::nullopt};
    return true;
  }
  if (outage_->answered_since) {
    ++outage_->losses;
    outage_->answered_since.reset();
  }
  return false;
}

std::optional<contact_regained> store_contact::NoteAnswer(
    core::time_point now) {
  if (!outage_) {
    return std::nullopt;
  }
  if (!outage_->answered_since) {
    outage_->answered_since = now;
  }
  const core::duration held_for = now - *outage_->answered_since;
  if (held_for < kContactHeld) {
    return std::nullopt;
  }
  const contact_regained regained{
      outage_->losses, *outage_->answered_since - outage_->began, held_for};
  outage_.reset();
  return regained;
}

}  // namespace plantainhead::jobs
