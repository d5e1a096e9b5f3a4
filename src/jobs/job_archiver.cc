#include "jobs/job_archiver.h"

#include <cstdint>
#include <map>

#include "jobs/record_codec.h"
#include "jobs/store_view.h"

namespace plantainhead::jobs {

class job_archiver::impl {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       const outbox_settings& settings)
      : context_(context), store_(store), settings_(settings) {}

  void Add(const core::jobs::queue_id& queue,
           const core::jobs::job_id& job,
           core::jobs::job_phase phase) {
    const std::uint32_t partition = JobPartitionOf(queue, job);
    std::unique_ptr<record_outbox>& outbox = outboxes_[partition];
    if (!outbox) {
      outbox = std::make_unique<record_outbox>(
          context_, store_, adapter::store_partition{kJobTopic, partition},
          settings_);
    }
    outbox->Put(Encode(ended_record{job, phase}));
  }

 private:
  boost::asio::io_context* context_;
  adapter::store_client* store_;
  outbox_settings settings_;
  std::map<std::uint32_t, std::unique_ptr<record_outbox>> outboxes_;
};

job_archiver::job_archiver(boost::asio::io_context* context,
                           adapter::store_client* store,
                           const outbox_settings& settings)
    : impl_(std::make_unique<impl>(context, store, settings)) {}

job_archiver::~job_archiver() = default;

void job_archiver::Add(const core::jobs::queue_id& queue,
                       const core::jobs::job_id& job,
                       core::jobs::job_phase phase) {
  impl_->Add(queue, job, phase);
}

}  // namespace plantainhead::jobs
