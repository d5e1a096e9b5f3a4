#include "jobs/partition_loader.h"

#include <cstddef>
#include <deque>
#include <utility>

#include "core/jobs/send_window.h"
#include "jobs/clocks.h"

namespace plantainhead::jobs {
namespace {

// Some of the client's connections are left for calls that can't wait.
core::jobs::window_settings LoadWindow() {
  core::jobs::window_settings settings;
  settings.least = 1;
  settings.first = 4;
  settings.most = 12;
  return settings;
}

}  // namespace

class partition_loader::impl : public std::enable_shared_from_this<impl> {
 public:
  explicit impl(adapter::store_client* store)
      : store_(*store), window_(LoadWindow()) {}

  void Load(std::weak_ptr<void> reader,
            adapter::store_partition partition,
            std::string after,
            std::chrono::milliseconds timeout,
            page_handler on_page) {
    waiting_.push_back({std::move(reader), std::move(partition),
                        std::move(after), timeout, std::move(on_page)});
    SendNext();
  }

 private:
  struct wanted_page {
    std::weak_ptr<void> reader;
    adapter::store_partition partition;
    std::string after;
    std::chrono::milliseconds timeout;
    page_handler on_page;
  };

  void SendNext() {
    while (!waiting_.empty() && under_way_ < window_.size()) {
      const wanted_page page = std::move(waiting_.front());
      waiting_.pop_front();
      if (!page.reader.expired()) {
        Send(page);
      }
    }
  }

  void Send(const wanted_page& page) {
    ++under_way_;
    const core::time_point sent_at = BootTime();
    store_.ReadNewest(page.partition, page.after, page.timeout,
                      [self = weak_from_this(), on_page = page.on_page,
                       sent_at](adapter::newest_reply reply) {
                        if (const auto loader = self.lock()) {
                          loader->TakeReply(sent_at, std::move(reply), on_page);
                        }
                      });
  }

  // A refusal says nothing about the link.
  void TakeReply(core::time_point sent_at,
                 adapter::newest_reply reply,
                 const page_handler& on_page) {
    --under_way_;
    const core::time_point now = BootTime();
    const bool is_refused = !reply.is_read && reply.status != 0;
    if (!is_refused) {
      window_.NoteResult(now - sent_at, now);
    }
    on_page(std::move(reply));
    SendNext();
  }

  adapter::store_client& store_;
  core::jobs::send_window window_;
  std::deque<wanted_page> waiting_;
  std::size_t under_way_ = 0;
};

partition_loader::partition_loader(adapter::store_client* store)
    : impl_(std::make_shared<impl>(store)) {}

partition_loader::~partition_loader() = default;

void partition_loader::Load(const std::weak_ptr<void>& reader,
                            const adapter::store_partition& partition,
                            const std::string& after,
                            std::chrono::milliseconds timeout,
                            page_handler on_page) {
  impl_->Load(reader, partition, after, timeout, std::move(on_page));
}

}  // namespace plantainhead::jobs
