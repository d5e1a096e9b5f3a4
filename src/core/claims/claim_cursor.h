#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_CURSOR_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_CURSOR_H_

#include <optional>

#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Whether a read continues directly after the previously read records.
enum class read_continuity {
  kContiguous,
  /// Records are missing; reading must be restarted after `last_read()`.
  kGap,
  /// The stream ends before the last record that was read.
  kTruncated,
};

/// Tracks how far a claim stream was read, and whether records of the claim
/// window are missing.
///
/// Records that could not be read, because the stream was truncated or the log
/// was reset, may contain active claims. A grant alongside one of them would
/// run its key twice, so grants are blocked. After a full retention period all
/// of those claims are expired and retries of their keys are no longer allowed,
/// so grants are safe again. A watermark can show earlier that they are
/// expired.
///
/// Thread safety: none.
class claim_cursor {
 public:
  /// `retention` is how long claims stay active.
  explicit claim_cursor(duration retention) : retention_(retention) {}

  /// Checks where `read` starts. Call it before `AdvanceTo` is called for the
  /// entries of `read`.
  read_continuity Begin(const log_read& read, time_point now);

  /// Advances to `offset`. Returns false if it was read before.
  bool AdvanceTo(log_offset offset);

  /// Returns true once, when the end of the stream is first reached.
  bool ReachEnd(log_offset end);

  /// Unblocks grants if `watermark` shows that the unread records are expired.
  void OnWatermark(const claim_request& watermark, time_point now);

  bool IsBlocked(time_point now) const;
  /// Precondition: `IsBlocked(now)`.
  duration BlockedFor(time_point now) const {
    return unread_range_->until - now;
  }
  /// Returns true once for each period in which grants are blocked.
  bool TakeReport();

  /// Returns the offset up to which a watermark that is written now may cover
  /// the stream.
  log_offset WatermarkOffset(time_point now) const;

  bool caught_up() const { return caught_up_; }
  log_offset last_read() const { return next_ - 1; }

 private:
  /// Records before `begin` cannot be read.
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
