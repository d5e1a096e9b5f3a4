#ifndef PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
#define PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "platform/store_client.h"

namespace plantainhead::jobs {

enum class load_priority {
  /// Read before all pages of the other rank that wait.
  kHigh,
  kLow,
};

struct page_request {
  /// The page isn't read once this is gone.
  std::weak_ptr<void> reader;
  adapter::store_partition partition;
  /// The last key of the page before; empty for the first one.
  std::string after;
  /// Counts from the moment the read is sent.
  std::chrono::milliseconds timeout{0};
  load_priority priority = load_priority::kHigh;
};

/// Reads pages of the newest records of partitions, a few at a time: no more
/// than the link carries within their timeout. A process that takes a pool over
/// wants all of many partitions at once. If it asked for them together, each
/// answer would come after its timeout and be asked for again, and the renewals
/// of its membership would wait behind them. Not thread-safe.
class partition_loader {
 public:
  using page_handler = std::function<void(const adapter::newest_reply&)>;

  /// Precondition: `store` outlives it.
  explicit partition_loader(adapter::store_client* store);
  partition_loader(const partition_loader&) = delete;
  partition_loader& operator=(const partition_loader&) = delete;
  /// Pages that are waited for are dropped; no handler is called any more.
  ~partition_loader();

  /// Reads a page; those of the same rank in the order of the calls. A page
  /// whose reader is gone when its turn comes isn't read. `on_page` is called
  /// later, never by this call.
  void Load(const page_request& page, page_handler on_page);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
