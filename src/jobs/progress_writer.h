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

struct writer_settings {
  /// For the store's answer: 6 ms as a rule, 0.4 s when it is slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1000);
  /// Least time between two appends. All that changes meanwhile goes into the
  /// next one; it adds half of this to the time until a job is seen to end.
  std::chrono::milliseconds min_interval = std::chrono::milliseconds(35);
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(100);
};

/// Appends an owner's records to its partition, one batch after the other.
///
/// The first append claims the partition: it carries a new epoch and succeeds
/// only if nothing was appended since the claimant read the partition. From
/// then on the store refuses every earlier owner. A batch whose answer was lost
/// is sent again under its sequence number, which the store executes once.
/// Not thread-safe.
class progress_writer {
 public:
  enum class result {
    kStored,
    /// Another owner has claimed the partition.
    kFenced,
    /// Of a claim only: read the partition again first.
    kStale,
  };
  using done_handler = std::function<void(result)>;

  progress_writer(boost::asio::io_context* context,
                  adapter::store_client* store,
                  adapter::store_partition partition,
                  const writer_settings& settings);
  progress_writer(const progress_writer&) = delete;
  progress_writer& operator=(const progress_writer&) = delete;
  /// A call that is under way ends without its handler being called.
  ~progress_writer();

  /// Precondition: the first call. `expected_end` is how far the partition has
  /// been read.
  void Claim(std::uint64_t epoch,
             const std::string& member,
             std::uint64_t expected_end,
             done_handler on_done);
  /// Preconditions: the claim was stored, and no call is under way.
  void Write(std::vector<adapter::keyed_record> records, done_handler on_done);
  /// True while a call is under way.
  bool IsWriting() const;
  /// True while a call is under way, or the gap after the last one lasts.
  bool IsBusy() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PROGRESS_WRITER_H_
