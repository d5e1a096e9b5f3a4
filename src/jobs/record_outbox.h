#ifndef PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_
#define PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_

#include <chrono>
#include <memory>

#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

struct outbox_settings {
  /// For the store's answer: 6 ms as a rule, 0.4 s when it is slow.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1000);
  /// How long the first record waits for others that go with it.
  std::chrono::milliseconds batch_delay = std::chrono::milliseconds(0);
  /// Pause after an append that wasn't stored, or may not be.
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(200);
};

/// Appends records to one partition, without a fence, until they are stored.
///
/// One append is under way at a time; what is put meanwhile goes into the next,
/// and of records with one key only the newest goes. A slow store takes 0.2 s
/// for each append to a partition, one after the other: with an append for each
/// record they would queue up behind one another until the store refuses them.
/// A record may be stored twice, and an earlier one of its key after it when an
/// answer is lost; readers must bear that.
/// Not thread-safe.
class record_outbox {
 public:
  record_outbox(boost::asio::io_context* context,
                adapter::store_client* store,
                adapter::store_partition partition,
                const outbox_settings& settings);
  record_outbox(const record_outbox&) = delete;
  record_outbox& operator=(const record_outbox&) = delete;
  /// Records that aren't stored yet are given up.
  ~record_outbox();

  void Put(adapter::keyed_record record);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_RECORD_OUTBOX_H_
