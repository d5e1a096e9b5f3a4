#include "jobs/job_recorder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/append_limits.h"
#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/unavailable_response.h"
#include "net/http_status.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {

using adapter::append_outcome;

class job_recorder::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       store_view* view,
       job_meters* meters,
       const recorder_settings& settings)
      : context_(*context),
        store_(*store),
        view_(*view),
        meters_(*meters),
        settings_(settings) {}

  void Store(const record_request& request, const net::responder& respond) {
    record_ptr& existing = pending_[request.record.key];
    if (existing) {
      existing->request.may_be_appended =
          existing->request.may_be_appended || request.may_be_appended;
      existing->waiting.push_back(respond);
      return;
    }
    const auto pending = std::make_shared<pending_record>(context_);
    existing = pending;
    pending->request = request;
    pending->began_at = BootTime();
    pending->waiting.push_back(respond);
    ScheduleCheck(pending);
    partition_queues_[request.partition].waiting.push_back(pending);
    Flush(request.partition);
  }

  const recorder_counts& counts() const { return counts_; }

 private:
  /// A record that one or more callers wait for.
  struct pending_record {
    explicit pending_record(boost::asio::io_context& context)
        : check_timer(context) {}
    record_request request;
    core::time_point began_at;
    std::vector<net::responder> waiting;
    bool is_answered = false;
    boost::asio::steady_timer check_timer;
  };
  using record_ptr = std::shared_ptr<pending_record>;

  /// The queued records of one partition, and the number of its appends in
  /// flight.
  struct partition_queue {
    std::vector<record_ptr> waiting;
    std::size_t in_flight = 0;
  };

  // A slow store executes appends one by one, so records that arrive while
  // appends are in flight are combined into one append.
  void Flush(std::uint32_t partition) {
    partition_queue& next = partition_queues_[partition];
    if (next.waiting.empty() || next.in_flight >= settings_.max_in_flight) {
      return;
    }
    ++next.in_flight;
    const auto batch = std::make_shared<std::vector<record_ptr>>(TakeForAppend(
        &next.waiting, [](const record_ptr& pending) -> const auto& {
          return pending->request.record;
        }));
    adapter::append_call call;
    call.partition = {kJobTopic, partition};
    for (const record_ptr& pending : *batch) {
      call.records.push_back(pending->request.record);
    }
    store_.Append(call, settings_.append_timeout,
                  [self = weak_from_this(), batch,
                   partition](const adapter::append_reply& reply) {
                    const auto service = self.lock();
                    if (!service) {
                      return;
                    }
                    --service->partition_queues_[partition].in_flight;
                    for (const record_ptr& pending : *batch) {
                      service->HandleReply(pending, reply);
                    }
                    service->Flush(partition);
                  });
  }

  void ScheduleCheck(const record_ptr& pending) {
    pending->check_timer.expires_after(settings_.check_interval);
    pending->check_timer.async_wait(
        [self = weak_from_this(),
         pending](const boost::system::error_code& error) {
          const auto service = self.lock();
          if (service && !error && !pending->is_answered) {
            service->CheckStored(pending);
          }
        });
  }

  void CheckStored(const record_ptr& pending) {
    if (BootTime() >= pending->request.deadline) {
      Fail(pending, {append_outcome::kUnknown, 0, 0, 0});
      return;
    }
    view_.RefreshJobs(pending->request.partition,
                      [self = weak_from_this(), pending](bool /*is_read*/) {
                        const auto service = self.lock();
                        if (!service || pending->is_answered) {
                          return;
                        }
                        if (service->IsStored(*pending)) {
                          service->Succeed(pending, "found in the store");
                        } else {
                          service->ScheduleCheck(pending);
                        }
                      });
  }

  bool IsStored(const pending_record& pending) const {
    const core::jobs::job_directory& directory = view_.directory();
    return pending.request.purpose == record_purpose::kJob
               ? directory.Find(pending.request.id) != nullptr
               : directory.IsCancelled(pending.request.id);
  }

  void Succeed(const record_ptr& pending, const std::string& how) {
    const bool is_job = pending->request.purpose == record_purpose::kJob;
    ++(is_job ? counts_.accepted : counts_.cancelled);
    if (is_job) {
      meters_.NoteAccepted(BootTime() - pending->began_at);
    }
    LogEvent(is_job ? job_event::kJobAccepted : job_event::kJobCancelled,
             {{"job", pending->request.id},
              {"part", std::to_string(pending->request.partition)},
              {"how", how},
              {"ms", Elapsed(*pending)}});
    view_.NoteJobRecord(pending->request.partition, pending->request.record);
    Answer(pending, {net::kOk, {}, "{}"});
  }

  void HandleReply(const record_ptr& pending,
                   const adapter::append_reply& reply) {
    if (pending->is_answered) {
      return;
    }
    if (reply.outcome == append_outcome::kStored) {
      Succeed(pending,
              "at offset " + std::to_string(reply.offset) + " or next");
      return;
    }
    if (reply.outcome == append_outcome::kUnknown) {
      pending->request.may_be_appended = true;
    }
    const core::time_point now = BootTime();
    const bool is_out_of_time =
        !pending->request.may_be_appended &&
        now - pending->began_at > settings_.max_rejection_time;
    const bool is_invalid = reply.outcome == append_outcome::kInvalid &&
                            !pending->request.may_be_appended;
    if (is_invalid || is_out_of_time ||
        now + settings_.retry_pause >= pending->request.deadline) {
      Fail(pending, reply);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(settings_.retry_pause);
    timer->async_wait([self = weak_from_this(), pending,
                       timer](const boost::system::error_code& error) {
      const auto service = self.lock();
      if (service && !error && !pending->is_answered) {
        service->partition_queues_[pending->request.partition]
            .waiting.push_back(pending);
        service->Flush(pending->request.partition);
      }
    });
  }

  // A 503 response promises that the job never runs. It is not sent after an
  // append without a response, or while one is in flight.
  void Fail(const record_ptr& pending, const adapter::append_reply& reply) {
    const bool may_be_appended = pending->request.may_be_appended ||
                                 reply.outcome == append_outcome::kUnknown;
    observe::log_fields fields = {
        {"job", pending->request.id},
        {"what", std::string(core::NameOf(pending->request.purpose))},
        {"store", std::string(core::NameOf(reply.outcome))},
        {"status", std::to_string(reply.status)},
        {"ms", Elapsed(*pending)}};
    if (may_be_appended) {
      ++counts_.unanswered;
      LogEvent(job_event::kJobUnanswered, fields);
      Answer(
          pending,
          adapter::EncodeError(
              net::kGatewayTimeout,
              "the store did not answer; repeat the request with the same id"));
      return;
    }
    ++counts_.refused;
    LogEvent(job_event::kJobRefused, fields);
    Answer(pending, MakeUnavailableResponse("the store refused the record",
                                            settings_.retry_after));
  }

  static std::string Elapsed(const pending_record& pending) {
    return MillisOf(BootTime() - pending.began_at);
  }

  void Answer(const record_ptr& pending, const net::server_response& response) {
    pending->is_answered = true;
    pending->check_timer.cancel();
    pending_.erase(pending->request.record.key);
    for (const net::responder& respond : pending->waiting) {
      respond(response);
    }
  }

  boost::asio::io_context& context_;
  adapter::store_client& store_;
  store_view& view_;
  job_meters& meters_;
  recorder_settings settings_;
  recorder_counts counts_;
  std::map<std::string, record_ptr> pending_;
  std::map<std::uint32_t, partition_queue> partition_queues_;
};

job_recorder::job_recorder(boost::asio::io_context* context,
                           adapter::store_client* store,
                           store_view* view,
                           job_meters* meters,
                           const recorder_settings& settings)
    : impl_(std::make_shared<impl>(context, store, view, meters, settings)) {}

job_recorder::~job_recorder() = default;

void job_recorder::Store(const record_request& request,
                         const net::responder& respond) {
  impl_->Store(request, respond);
}

const recorder_counts& job_recorder::counts() const {
  return impl_->counts();
}

}  // namespace plantainhead::jobs
