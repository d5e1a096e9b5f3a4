#ifndef PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
#define PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Order in which queued pages are read.
enum class load_priority {
  /// Read before all queued pages of low priority.
  kHigh,
  kLow,
};

/// A page of the newest records of a partition to read.
struct page_request {
  /// The page is not read if this has expired.
  std::weak_ptr<void> reader;
  adapter::store_partition partition;
  /// The last key of the previous page; empty for the first page.
  std::string after;
  /// Counted from the time when the read is sent.
  std::chrono::milliseconds timeout{0};
  load_priority priority = load_priority::kHigh;
};

/// Reads pages of the newest records of partitions, with a limit on concurrent
/// reads: no more than the link can carry within their timeouts. A process that
/// takes over a pool loads many partitions at once. If it read them all
/// concurrently, every response would arrive after its timeout and be requested
/// again, and the renewals of its group membership would be delayed behind
/// them. Not thread-safe.
class partition_loader {
 public:
  using page_handler = std::function<void(const adapter::newest_reply&)>;

  /// Precondition: `store` outlives the object.
  explicit partition_loader(adapter::store_client* store);
  partition_loader(const partition_loader&) = delete;
  partition_loader& operator=(const partition_loader&) = delete;
  /// Drops queued and pending pages; their handlers are not called.
  ~partition_loader();

  /// Queues a page for reading; pages of the same priority are read in the
  /// order of the calls. A page whose reader has expired when its turn comes is
  /// skipped. `on_page` is called later, never during this call.
  void Load(const page_request& page, page_handler on_page);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PARTITION_LOADER_H_
