#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_CURSOR_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_CURSOR_H_

#include <optional>

#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// How a read goes on from what was read of a stream before.
enum class read_continuity {
  kContiguous,
  /// Reading must be started again after `last_read()`.
  kGap,
  /// The stream has less than was read from it.
  kTruncated,
};

/// How far a claim stream was read, and whether all was read that matters.
///
/// Records that were not read, since they were cut or the log was reset, may
/// hold claims that stand. A grant beside one of them would run its key twice,
/// so grants are barred. After a full window all of those claims are old and
/// retries of their keys no longer allowed: grants are safe again. A mark can
/// show sooner that they are old.
///
/// Thread safety: none.
class claim_cursor {
 public:
  /// Claims stand for `retention`.
  explicit claim_cursor(duration retention) : retention_(retention) {}

  /// Checks where `read` starts; to be called before its entries are taken.
  read_continuity Begin(const log_read& read, time_point now);

  /// Moves to `offset`. Returns false when it was read before.
  bool AdvanceTo(log_offset offset);

  /// Returns true once: when the stream was first read to its end.
  bool ReachEnd(log_offset end);

  /// Ends a bar if `watermark` shows that what was not read is old.
  void OnWatermark(const claim_request& watermark, time_point now);

  bool IsBlocked(time_point now) const;
  /// Precondition: `IsBlocked(now)`.
  duration BlockedFor(time_point now) const {
    return unread_range_->until - now;
  }
  /// Returns true once for each bar.
  bool TakeReport();

  /// Offset up to which a mark written now may speak for the stream.
  log_offset WatermarkOffset(time_point now) const;

  bool caught_up() const { return caught_up_; }
  log_offset last_read() const { return next_ - 1; }

 private:
  /// Records before `begin` can't be read.
  struct unread_range {
    log_offset begin = 0;
    time_point until;
    bool is_reported = false;
  };

  void Block(log_offset begin, time_point now);

  duration retention_;
  bool caught_up_ = false;
  log_offset next_ = 1;
  std::optional<unread_range> unread_range_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_CURSOR_H_
