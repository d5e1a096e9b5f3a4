#include "jobs/partition_loader.h"

#include <cstddef>
#include <deque>
#include <utility>

#include "core/jobs/send_window.h"
#include "jobs/clocks.h"

namespace plantainhead::jobs {
namespace {

// Starts with few concurrent reads, because the capacity of the link is
// unknown, and leaves some of the client's connections to urgent calls.
core::jobs::send_window_settings LoadWindow() {
  core::jobs::send_window_settings settings;
  settings.min_size = 1;
  settings.initial_size = 4;
  settings.max_size = 12;
  return settings;
}

}  // namespace

class partition_loader::impl : public std::enable_shared_from_this<impl> {
 public:
  explicit impl(adapter::store_client* store)
      : store_(*store), window_(LoadWindow()) {}

  void Load(const page_request& page, page_handler on_page) {
    auto& waiting =
        page.priority == load_priority::kHigh ? high_priority_ : low_priority_;
    waiting.push_back({page, std::move(on_page)});
    SendQueued();
  }

 private:
  struct queued_page {
    page_request page;
    page_handler on_page;
  };

  void SendQueued() {
    while (in_flight_ < window_.size()) {
      auto& waiting = high_priority_.empty() ? low_priority_ : high_priority_;
      if (waiting.empty()) {
        return;
      }
      const queued_page next = std::move(waiting.front());
      waiting.pop_front();
      if (!next.page.reader.expired()) {
        Send(next);
      }
    }
  }

  void Send(const queued_page& next) {
    ++in_flight_;
    const core::time_point sent_at = BootTime();
    store_.ReadNewest(next.page.partition, next.page.after, next.page.timeout,
                      [self = weak_from_this(), sent_at,
                       next](const adapter::newest_reply& reply) {
                        if (const auto loader = self.lock()) {
                          loader->HandleReply(next, sent_at, reply);
                        }
                      });
  }

  void HandleReply(const queued_page& sent,
                   core::time_point sent_at,
                   const adapter::newest_reply& reply) {
    --in_flight_;
    const core::time_point now = BootTime();
    // A read that fails before its timeout was refused, and says nothing about
    // the link.
    if (reply.is_read || now - sent_at >= sent.page.timeout) {
      window_.NoteResult(now - sent_at, now);
    }
    sent.on_page(reply);
    SendQueued();
  }

  adapter::store_client& store_;
  core::jobs::send_window window_;
  std::deque<queued_page> high_priority_;
  std::deque<queued_page> low_priority_;
  std::size_t in_flight_ = 0;
};

partition_loader::partition_loader(adapter::store_client* store)
    : impl_(std::make_shared<impl>(store)) {}

partition_loader::~partition_loader() = default;

void partition_loader::Load(const page_request& page, page_handler on_page) {
  impl_->Load(page, std::move(on_page));
}

}  // namespace plantainhead::jobs
