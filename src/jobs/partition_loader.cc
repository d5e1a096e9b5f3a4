#include "jobs/partition_loader.h"

#include <cstddef>
#include <deque>
#include <utility>

#include "core/jobs/send_window.h"
#include "jobs/clocks.h"

namespace plantainhead::jobs {
namespace {

// Begins with few, since nothing is known of the link, and leaves some of the
// client's connections to calls that can't wait.
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

  void Load(const wanted_page& page, page_handler on_page) {
    auto& waiting =
        page.rank == load_rank::kFirst ? waiting_first_ : waiting_last_;
    waiting.push_back({page, std::move(on_page)});
    SendNext();
  }

 private:
  struct waiting_page {
    wanted_page page;
    page_handler on_page;
  };

  void SendNext() {
    while (under_way_ < window_.size()) {
      auto& waiting = waiting_first_.empty() ? waiting_last_ : waiting_first_;
      if (waiting.empty()) {
        return;
      }
      const waiting_page next = std::move(waiting.front());
      waiting.pop_front();
      if (!next.page.reader.expired()) {
        Send(next);
      }
    }
  }

  void Send(const waiting_page& next) {
    ++under_way_;
    const core::time_point sent_at = BootTime();
    store_.ReadNewest(next.page.partition, next.page.after, next.page.timeout,
                      [self = weak_from_this(), sent_at,
                       next](const adapter::newest_reply& reply) {
                        if (const auto loader = self.lock()) {
                          loader->TakeReply(next, sent_at, reply);
                        }
                      });
  }

  void TakeReply(const waiting_page& sent,
                 core::time_point sent_at,
                 const adapter::newest_reply& reply) {
    --under_way_;
    const core::time_point now = BootTime();
    // One that fails sooner was refused, and says nothing about the link.
    if (reply.is_read || now - sent_at >= sent.page.timeout) {
      window_.NoteResult(now - sent_at, now);
    }
    sent.on_page(reply);
    SendNext();
  }

  adapter::store_client& store_;
  core::jobs::send_window window_;
  std::deque<waiting_page> waiting_first_;
  std::deque<waiting_page> waiting_last_;
  std::size_t under_way_ = 0;
};

partition_loader::partition_loader(adapter::store_client* store)
    : impl_(std::make_shared<impl>(store)) {}

partition_loader::~partition_loader() = default;

void partition_loader::Load(const wanted_page& page, page_handler on_page) {
  impl_->Load(page, std::move(on_page));
}

}  // namespace plantainhead::jobs
