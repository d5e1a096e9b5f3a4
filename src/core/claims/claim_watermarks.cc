#include "core/claims/claim_watermarks.h"

#include <algorithm>

namespace plantainhead::core {

void claim_watermarks::Write(log_offset read_to,
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

bool claim_watermarks::IsNeeded(time_point now) const {
  if (is_pending_ && now < written_ + options_->claim_timeout) {
    return false;
  }
  return is_unavailable_ || now >= newest_ + options_->window / 2;
}

void claim_watermarks::OnWatermark(const claim_request& watermark,
                                   time_point now) {
  newest_ = std::max(newest_, std::min(watermark.at, now));
  const bool is_pending_one =
      is_pending_ && watermark.claimant == self_ && watermark.at == written_;
  if (!is_pending_one) {
    return;
  }
  is_pending_ = false;
  // A watermark that is read back late shows that the log is slow, not that it
  // is available.
  if (now < written_ + options_->claim_timeout) {
    is_unavailable_ = false;
  }
}

}  // namespace plantainhead::core
