#ifndef PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_
#define PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_

#include <chrono>
#include <memory>

#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Timeout and pacing of a record outbox.
struct outbox_settings {
  /// Timeout of an append. The store usually answers within 6 ms, or 0.4 s when
  /// it is slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1000);
  /// Time for which the first record of a batch waits for others.
  std::chrono::milliseconds batch_delay = std::chrono::milliseconds(0);
  /// Pause after an append that was not stored, or may not have been.
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(200);
};

/// Appends records to one partition, without fencing, and retries until they
/// are stored.
///
/// One append is in flight at a time; records that are put in the meantime go
/// into the next one, which holds only the newest record of each key. A slow
/// store takes 0.2 s for each append to a partition, one after the other: with
/// one append for each record they would queue up until the store refuses them.
/// A record may be stored twice, and when a response is lost an older record of
/// a key may be stored after a newer one; readers must tolerate both. Not
/// thread-safe.
class record_outbox {
 public:
  record_outbox(boost::asio::io_context* context,
                adapter::store_client* store,
                adapter::store_partition partition,
                const outbox_settings& settings);
  record_outbox(const record_outbox&) = delete;
  record_outbox& operator=(const record_outbox&) = delete;
  /// Drops records that are not stored yet.
  ~record_outbox();

  void Put(adapter::keyed_record record);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_
