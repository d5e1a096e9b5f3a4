#ifndef PLANTAINHEAD_SRC_JOBS_PROGRESS_WRITER_H_
#define PLANTAINHEAD_SRC_JOBS_PROGRESS_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Timeout and pacing of a progress writer.
struct writer_settings {
  /// Timeout of an append. The store usually answers within 6 ms, or 0.4 s when
  /// it is slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1000);
  /// Minimum time between two appends. All changes in between go into the next
  /// append; on average this adds half of the interval to the time until the
  /// end of a job becomes visible.
  std::chrono::milliseconds min_interval = std::chrono::milliseconds(35);
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(100);
};

/// Appends an owner's records to its partition with fencing, one batch at a
/// time. A batch that is too large for one append is stored in parts, in its
/// order; a new owner may find only the first parts.
///
/// The first append claims the partition: it carries a new epoch, and succeeds
/// only if nothing was appended since the claimant read the partition. From
/// then on the store refuses the appends of every earlier owner. A batch whose
/// response was lost is sent again with the same sequence number, which the
/// store executes only once. Not thread-safe.
class progress_writer {
 public:
  enum class result {
    kStored,
    /// Another owner has claimed the partition.
    kFenced,
    /// Only for a claim: read the partition again before the next attempt.
    kStale,
  };
  using done_handler = std::function<void(result)>;

  progress_writer(boost::asio::io_context* context,
                  adapter::store_client* store,
                  adapter::store_partition partition,
                  const writer_settings& settings);
  progress_writer(const progress_writer&) = delete;
  progress_writer& operator=(const progress_writer&) = delete;
  /// The handler of a call in progress is not called.
  ~progress_writer();

  /// Claims the partition. Precondition: no call came before. `expected_end` is
  /// the offset up to which the partition has been read.
  void Claim(std::uint64_t epoch,
             const std::string& member,
             std::uint64_t expected_end,
             done_handler on_done);
  /// Appends the records. Preconditions: the claim was stored, and no call is
  /// in progress.
  void Write(std::vector<adapter::keyed_record> records, done_handler on_done);
  /// Returns true while a call is in progress.
  bool IsWriting() const;
  /// Returns true while a call is in progress, or less than the minimum
  /// interval has passed since the last one.
  bool IsBusy() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PROGRESS_WRITER_H_
