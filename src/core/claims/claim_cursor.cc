#include "core/claims/claim_cursor.h"

#include <algorithm>
#include <limits>

namespace plantainhead::core {
namespace {

// Represents all records of a log that was reset: no watermark covers them,
// since the offsets restart.
constexpr log_offset kAllRecords = std::numeric_limits<log_offset>::max();

}  // namespace

read_continuity claim_cursor::Begin(const log_read& read, time_point now) {
  if (read.end + 1 < next_) {
    Block(kAllRecords, now);
    return read_continuity::kTruncated;
  }
  if (read.begin > next_) {
    // Only a reader that starts at the oldest record continues after a
    // truncation.
    const bool has_stopped = next_ > 1 && read.entries.empty();
    Block(read.begin, now);
    next_ = read.begin;
    if (has_stopped) {
      return read_continuity::kGap;
    }
  }
  if (!read.entries.empty() && read.entries.front().offset > next_) {
    return read_continuity::kGap;
  }
  return read_continuity::kContiguous;
}

bool claim_cursor::AdvanceTo(log_offset offset) {
  if (offset < next_) {
    return false;
  }
  next_ = offset + 1;
  return true;
}

bool claim_cursor::ReachEnd(log_offset end) {
  if (caught_up_ || next_ <= end) {
    return false;
  }
  caught_up_ = true;
  return true;
}

// Every record up to the offset of a watermark was in the stream at the time of
// the watermark. So if the watermark is older than the retention period, the
// records that it covers are too, although they cannot be read. This also holds
// for late duplicates of a watermark.
void claim_cursor::OnWatermark(const claim_request& watermark, time_point now) {
  if (unread_range_ && watermark.request.sequence + 1 >= unread_range_->begin &&
      watermark.at + retention_ <= now) {
    unread_range_.reset();
  }
}

bool claim_cursor::IsBlocked(time_point now) const {
  return unread_range_ && now < unread_range_->until;
}

bool claim_cursor::TakeReport() {
  if (!unread_range_ || unread_range_->is_reported) {
    return false;
  }
  unread_range_->is_reported = true;
  return true;
}

log_offset claim_cursor::WatermarkOffset(time_point now) const {
  const bool is_reset = IsBlocked(now) && unread_range_->begin == kAllRecords;
  return is_reset ? 0 : last_read();
}

void claim_cursor::Block(log_offset begin, time_point now) {
  const bool was_blocked = IsBlocked(now);
  const bool is_reported = was_blocked && unread_range_->is_reported;
  const log_offset before = was_blocked ? unread_range_->begin : 0;
  unread_range_ = {std::max(begin, before), now + retention_, is_reported};
}

}  // namespace plantainhead::core
