#ifndef PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
#define PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Reads pages of the newest records of partitions, a few at a time: no more
/// than the link carries within their timeout. A process that takes a pool over
/// wants all of many partitions at once. If it asked for them together, each
/// answer would come after its timeout and be asked for again, and the renewals
/// of its membership would wait behind them. Not thread-safe.
class partition_loader {
 public:
  using page_handler = std::function<void(adapter::newest_reply)>;

  /// Precondition: `store` outlives it.
  explicit partition_loader(adapter::store_client* store);
  partition_loader(const partition_loader&) = delete;
  partition_loader& operator=(const partition_loader&) = delete;
  /// Pages that are waited for are dropped; no handler is called any more.
  ~partition_loader();

  /// Reads the page after the key `after`, or the first one when that is empty,
  /// in the order of the calls. A page that `reader` no longer wants when its
  /// turn comes, since it is gone, isn't read, and `on_page` isn't called.
  /// `timeout` counts from the moment the read is sent. `on_page` is called
  /// later, never by this call.
  void Load(const std::weak_ptr<void>& reader,
            const adapter::store_partition& partition,
            const std::string& after,
            std::chrono::milliseconds timeout,
            page_handler on_page);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
