#include "jobs/progress_writer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "jobs/append_limits.h"
#include "jobs/clocks.h"
#include "jobs/record_codec.h"

namespace plantainhead::jobs {

using adapter::append_outcome;

class progress_writer::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       adapter::store_partition partition,
       const writer_settings& settings)
      : store_(*store), settings_(settings), timer_(*context) {
    call_.partition = std::move(partition);
  }

  void Claim(std::uint64_t epoch,
             const std::string& member,
             std::uint64_t expected_end,
             done_handler on_done) {
    call_.identity = adapter::append_identity{"owner", epoch, 1};
    call_.expected_end = expected_end;
    call_.records = {Encode(owner_record{epoch, member, {}})};
    on_done_ = std::move(on_done);
    Send();
  }

  void Write(std::vector<adapter::keyed_record> records, done_handler on_done) {
    call_.expected_end.reset();
    unsent_ = std::move(records);
    on_done_ = std::move(on_done);
    SendNext();
  }

  bool is_writing() const { return on_done_ != nullptr; }
  bool is_busy() const {
    return on_done_ != nullptr || BootTime() < next_write_at_;
  }

  void Close() {
    timer_.cancel();
    on_done_ = nullptr;
  }

 private:
  // Records that do not fit into one append go into several, in their order.
  void SendNext() {
    ++call_.identity->sequence;
    call_.records.clear();
    if (!unsent_.empty()) {
      call_.records = TakeForAppend(
          &unsent_, [](const adapter::keyed_record& record) -> const auto& {
            return record;
          });
    }
    Send();
  }

  void Send() {
    store_.Append(
        call_, settings_.timeout,
        [self = weak_from_this()](const adapter::append_reply& reply) {
          const auto writer = self.lock();
          if (writer && writer->on_done_) {
            writer->HandleReply(reply);
          }
        });
  }

  void HandleReply(const adapter::append_reply& reply) {
    const bool is_claim = call_.expected_end.has_value();
    switch (reply.outcome) {
      case append_outcome::kStored:
        if (unsent_.empty()) {
          Finish(result::kStored);
        } else {
          SendNext();
        }
        return;
      case append_outcome::kFenced:
        Finish(result::kFenced);
        return;
      case append_outcome::kEndMoved:
        // A claim whose first response was lost may itself have moved the end;
        // reading the partition again shows it.
        Finish(result::kStale);
        return;
      case append_outcome::kOutOfSequence:
      case append_outcome::kInvalid:
        // Another claimant has used this epoch, or the store has dropped its
        // state of this writer. In both cases a new claim is needed.
        Finish(is_claim ? result::kStale : result::kFenced);
        return;
      case append_outcome::kUnknown:
        if (is_claim) {
          Finish(result::kStale);
          return;
        }
        break;
      case append_outcome::kRefused:
        break;
    }
    timer_.expires_after(settings_.retry_pause);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto writer = self.lock();
          if (writer && !error && writer->on_done_) {
            writer->Send();
          }
        });
  }

  void Finish(result outcome) {
    next_write_at_ = BootTime() + settings_.min_interval;
    const done_handler on_done = std::move(on_done_);
    on_done_ = nullptr;
    on_done(outcome);
  }

  adapter::store_client& store_;
  writer_settings settings_;
  boost::asio::steady_timer timer_;
  adapter::append_call call_;
  /// The records of the batch that later appends contain.
  std::vector<adapter::keyed_record> unsent_;
  done_handler on_done_;
  core::time_point next_write_at_;
};

progress_writer::progress_writer(boost::asio::io_context* context,
                                 adapter::store_client* store,
                                 adapter::store_partition partition,
                                 const writer_settings& settings)
    : impl_(std::make_shared<impl>(context,
                                   store,
                                   std::move(partition),
                                   settings)) {}

progress_writer::~progress_writer() {
  impl_->Close();
}

void progress_writer::Claim(std::uint64_t epoch,
                            const std::string& member,
                            std::uint64_t expected_end,
                            done_handler on_done) {
  impl_->Claim(epoch, member, expected_end, std::move(on_done));
}

void progress_writer::Write(std::vector<adapter::keyed_record> records,
                            done_handler on_done) {
  impl_->Write(std::move(records), std::move(on_done));
}

bool progress_writer::IsWriting() const {
  return impl_->is_writing();
}

bool progress_writer::IsBusy() const {
  return impl_->is_busy();
}

}  // namespace plantainhead::jobs
