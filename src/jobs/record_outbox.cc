#include "jobs/record_outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>

#include "jobs/event_log.h"

namespace plantainhead::jobs {

class record_outbox::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       adapter::store_partition partition,
       const outbox_settings& settings)
      : store_(*store),
        partition_(std::move(partition)),
        settings_(settings),
        timer_(*context) {}

  void Put(adapter::keyed_record record) {
    const std::string key = record.key;
    waiting_[key] = std::move(record);
    if (!is_busy_) {
      is_busy_ = true;
      FlushAfter(settings_.batch_delay);
    }
  }

  void Close() { timer_.cancel(); }

 private:
  void FlushAfter(std::chrono::milliseconds pause) {
    if (pause.count() == 0) {
      Flush();
      return;
    }
    timer_.expires_after(pause);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto outbox = self.lock();
          if (outbox && !error) {
            outbox->Flush();
          }
        });
  }

  void Flush() {
    adapter::append_call call;
    call.partition = partition_;
    for (auto& [key, record] : waiting_) {
      call.records.push_back(std::move(record));
    }
    waiting_.clear();
    store_.Append(
        call, settings_.timeout,
        [self = weak_from_this(), call](const adapter::append_reply& reply) {
          if (const auto outbox = self.lock()) {
            outbox->HandleReply(call, reply);
          }
        });
  }

  void HandleReply(const adapter::append_call& call,
                   const adapter::append_reply& reply) {
    if (reply.outcome == adapter::append_outcome::kInvalid) {
      LogEvent(job_event::kRecordInvalid,
               {{"topic", partition_.topic},
                {"records", std::to_string(call.records.size())},
                {"status", std::to_string(reply.status)}});
    } else if (reply.outcome != adapter::append_outcome::kStored) {
      // Records that were put in the meantime are newer.
      for (const adapter::keyed_record& record : call.records) {
        waiting_.try_emplace(record.key, record);
      }
      FlushAfter(settings_.retry_pause);
      return;
    }
    if (waiting_.empty()) {
      is_busy_ = false;
    } else {
      FlushAfter(settings_.batch_delay);
    }
  }

  adapter::store_client& store_;
  adapter::store_partition partition_;
  outbox_settings settings_;
  boost::asio::steady_timer timer_;
  std::map<std::string, adapter::keyed_record> waiting_;
  bool is_busy_ = false;
};

record_outbox::record_outbox(boost::asio::io_context* context,
                             adapter::store_client* store,
                             adapter::store_partition partition,
                             const outbox_settings& settings)
    : impl_(std::make_shared<impl>(context,
                                   store,
                                   std::move(partition),
                                   settings)) {}

record_outbox::~record_outbox() {
  impl_->Close();
}

void record_outbox::Put(adapter::keyed_record record) {
  impl_->Put(std::move(record));
}

}  // namespace plantainhead::jobs
