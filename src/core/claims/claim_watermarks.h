#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_

#include <cstdint>

#include "core/claims/claim_writer.h"
#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// Whether the log takes and returns the records of a stream, by marks.
///
/// A mark is a claim without a key. It is written while the log is taken for
/// out, and shows by coming back in time that it no longer is. It is also
/// written every half window, so that later readers can tell how old the
/// records before it are: its request's sequence is the offset up to which its
/// writer had read the stream.
///
/// Thread safety: none.
class claim_watermarks {
 public:
  /// `options` must outlive this object.
  claim_watermarks(incarnation self, const claim_options* options)
      : self_(self), options_(options) {}

  /// Writes a mark if one is needed.
  void Write(log_offset read_to, time_point now, claim_writer& writer);

  /// Takes note of a mark that was read, of any writer.
  void OnWatermark(const claim_request& watermark, time_point now);

  void SetUnavailable() { is_unavailable_ = true; }
  bool is_unavailable() const { return is_unavailable_; }

 private:
  bool IsNeeded(time_point now) const;

  incarnation self_;
  const claim_options* options_;
  bool is_unavailable_ = false;
  /// The mark that was written last, by its record's number and its time.
  std::uint64_t record_ = 0;
  time_point written_;
  bool is_pending_ = false;
  /// Greatest time of a mark that was read.
  time_point newest_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WATERMARKS_H_
