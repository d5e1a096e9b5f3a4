#include "core/claims/claim_cursor.h"

#include <algorithm>
#include <limits>

namespace plantainhead::core {
namespace {

// Stands for all records of a log that was reset: no mark speaks for them,
// since offsets start anew.
constexpr log_offset kAllRecords = std::numeric_limits<log_offset>::max();

}  // namespace

read_continuity claim_cursor::Begin(const log_read& read, time_point now) {
  if (read.end + 1 < next_) {
    Bar(kAllRecords, now);
    return read_continuity::kShorter;
  }
  if (read.begin > next_) {
    // Only a reader that starts at the oldest record goes on behind a cut.
    const bool has_stopped = next_ > 1 && read.entries.empty();
    Bar(read.begin, now);
    next_ = read.begin;
    if (has_stopped) {
      return read_continuity::kLeftOut;
    }
  }
  if (!read.entries.empty() && read.entries.front().offset > next_) {
    return read_continuity::kLeftOut;
  }
  return read_continuity::kFollows;
}

bool claim_cursor::Take(log_offset offset) {
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

// Every record up to the offset in a mark was in the stream at the mark's time.
// So if a mark is older than claims are kept, the records that it covers are
// too, though they can't be read. This holds for late copies of a mark as well.
void claim_cursor::OnMark(const claim_request& mark, time_point now) {
  if (unread_ && mark.request.sequence + 1 >= unread_->begin &&
      mark.at + kept_ <= now) {
    unread_.reset();
  }
}

bool claim_cursor::IsBarred(time_point now) const {
  return unread_ && now < unread_->until;
}

bool claim_cursor::Report() {
  if (!unread_ || unread_->is_reported) {
    return false;
  }
  unread_->is_reported = true;
  return true;
}

log_offset claim_cursor::MarkOffset(time_point now) const {
  const bool is_reset = IsBarred(now) && unread_->begin == kAllRecords;
  return is_reset ? 0 : last_read();
}

void claim_cursor::Bar(log_offset begin, time_point now) {
  const bool was_barred = IsBarred(now);
  const bool is_reported = was_barred && unread_->is_reported;
  const log_offset before = was_barred ? unread_->begin : 0;
  unread_ = {std::max(begin, before), now + kept_, is_reported};
}

}  // namespace plantainhead::core
