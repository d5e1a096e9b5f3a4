#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WRITER_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/log/append_ids.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// Writes records to one stream in batches: one append is in flight at a time,
/// and records that are added meanwhile go into the next. Records whose append
/// failed or has an unknown outcome are appended again under the same ids,
/// before any later ones, so that the first copies in the stream are in the
/// order of `Add`. Thread safety: none.
class claim_writer {
 public:
  /// `options` and `ids` must outlive this object.
  claim_writer(stream_name stream,
               incarnation self,
               const claim_options* options,
               append_ids* ids);

  /// Queues a record and returns its number.
  std::uint64_t Add(record_body body);

  /// Withdraws a record. Returns true if it is not in the stream and never will
  /// be, false if it is or may still be appended.
  bool Withdraw(std::uint64_t number);

  /// Appends the queued records if no append is in flight and the append
  /// interval has passed.
  void Flush(time_point now, effects& out, claim_stats& stats);

  /// Returns whether the append belongs to this writer.
  bool OnAppendFinished(const append_finished& result, time_point now);

  bool idle() const { return queue_.empty() && in_flight_.empty(); }

 private:
  struct queued_record {
    std::uint64_t number = 0;
    /// True if an append that contained it had an unknown outcome.
    bool may_be_appended = false;
    bool withdrawn = false;
    record content;
  };

  void Requeue(bool may_be_appended);

  const stream_name stream_;
  const std::string author_;
  const claim_options* const options_;
  append_ids* const ids_;
  std::uint64_t last_number_ = 0;
  /// Both are ordered by record number.
  std::deque<queued_record> queue_;
  std::vector<queued_record> in_flight_;
  append_id append_ = append_id::kNone;
  time_point not_before_;
  duration backoff_{};
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_WRITER_H_
