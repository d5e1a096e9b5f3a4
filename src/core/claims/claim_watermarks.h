#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_

#include <cstdint>

#include "core/claims/claim_writer.h"
#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// Writes and observes watermarks to tell whether the log is available and how
/// old the records of a stream are.
///
/// A watermark is a claim record without a key. It is written while the log is
/// considered unavailable, and shows by being read back in time that the log is
/// available again. It is also written every half window, so that later readers
/// can tell how old the records before it are: the sequence in its request id
/// is the offset up to which its writer had read the stream.
///
/// Thread safety: none.
class claim_watermarks {
 public:
  /// `options` must outlive this object.
  claim_watermarks(incarnation self, const claim_options* options)
      : self_(self), options_(options) {}

  /// Writes a watermark if one is needed.
  void Write(log_offset read_to, time_point now, claim_writer& writer);

  /// Records a watermark that was read, from any writer.
  void OnWatermark(const claim_request& watermark, time_point now);

  void SetUnavailable() { is_unavailable_ = true; }
  bool is_unavailable() const { return is_unavailable_; }

 private:
  bool IsNeeded(time_point now) const;

  incarnation self_;
  const claim_options* options_;
  bool is_unavailable_ = false;
  /// Record number and time of the watermark that was written last.
  std::uint64_t record_ = 0;
  time_point written_;
  bool is_pending_ = false;
  /// Greatest time of a watermark that was read.
  time_point newest_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_
