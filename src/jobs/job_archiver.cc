#include "jobs/job_archiver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "jobs/job_world.h"
#include "jobs/record_codec.h"

namespace plantainhead::jobs {

class job_archiver::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       const archiver_settings& settings)
      : store_(*store), settings_(settings), timer_(*context) {}

  void Add(const core::jobs::queue_id& queue,
           const core::jobs::job_id& job,
           core::jobs::job_phase phase) {
    due_[JobPartitionOf(queue, job)].push_back(
        Encode(ended_record{job, phase}));
    Schedule();
  }

  void Close() { timer_.cancel(); }

 private:
  void Schedule() {
    if (is_scheduled_) {
      return;
    }
    is_scheduled_ = true;
    timer_.expires_after(settings_.gap);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto archiver = self.lock();
          if (archiver && !error) {
            archiver->is_scheduled_ = false;
            archiver->Write();
          }
        });
  }

  void Write() {
    for (auto& [partition, records] : due_) {
      adapter::append_call call;
      call.partition = {kJobTopic, partition};
      call.records = std::move(records);
      store_.Append(
          call, settings_.timeout,
          [self = weak_from_this(), call](const adapter::append_reply& reply) {
            const auto archiver = self.lock();
            if (archiver && reply.outcome != adapter::append_outcome::kStored) {
              archiver->WriteAgain(call);
            }
          });
    }
    due_.clear();
  }

  void WriteAgain(const adapter::append_call& call) {
    std::vector<adapter::keyed_record>& due = due_[call.partition.number];
    due.insert(due.end(), call.records.begin(), call.records.end());
    Schedule();
  }

  adapter::store_client& store_;
  archiver_settings settings_;
  boost::asio::steady_timer timer_;
  std::map<std::uint32_t, std::vector<adapter::keyed_record>> due_;
  bool is_scheduled_ = false;
};

job_archiver::job_archiver(boost::asio::io_context* context,
                           adapter::store_client* store,
                           const archiver_settings& settings)
    : impl_(std::make_shared<impl>(context, store, settings)) {}

job_archiver::~job_archiver() {
  impl_->Close();
}

void job_archiver::Add(const core::jobs::queue_id& queue,
                       const core::jobs::job_id& job,
                       core::jobs::job_phase phase) {
  impl_->Add(queue, job, phase);
}

}  // namespace plantainhead::jobs
