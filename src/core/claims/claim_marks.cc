#include "core/claims/claim_marks.h"

#include <algorithm>

namespace plantainhead::core {

void claim_marks::Write(log_offset read_to,
                        time_point now,
                        claim_writer& writer) {
  if (!IsNeeded(now)) {
    return;
  }
  if (is_pending_) {
    writer.Withdraw(record_);
  }
  written_ = now;
  is_pending_ = true;
  record_ =
      writer.Add(claim_request{claim_key(), self_, {self_, read_to}, now});
}

bool claim_marks::IsNeeded(time_point now) const {
  if (is_pending_ && now < written_ + options_->patience) {
    return false;
  }
  return is_out_ || now >= newest_ + options_->window / 2;
}

void claim_marks::OnMark(const claim_request& mark, time_point now) {
  newest_ = std::max(newest_, std::min(mark.at, now));
  const bool is_pending_one =
      is_pending_ && mark.claimant == self_ && mark.at == written_;
  if (!is_pending_one) {
    return;
  }
  is_pending_ = false;
  // One that comes late shows that the log is slow, not that it is well.
  if (now < written_ + options_->patience) {
    is_out_ = false;
  }
}

}  // namespace plantainhead::core
