#include "jobs/submissions.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/record_codec.h"
#include "jobs/refusal.h"
#include "jobs/waiting_counts.h"
#include "net/http_status.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {
namespace {

using adapter::append_outcome;
using core::jobs::directory_entry;
using core::jobs::job_id;
using core::jobs::route_match;
using std::chrono::milliseconds;

constexpr const char* kJob = "job";
constexpr const char* kCancel = "cancel";

}  // namespace

class submissions::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       job_world* world,
       job_meters* meters,
       const submission_settings& settings)
      : context_(*context),
        store_(*store),
        world_(*world),
        meters_(*meters),
        settings_(settings),
        waiting_counts_(world, settings.retry_after) {}

  void Handle(const net::server_request& request,
              const net::responder& respond) {
    if (world_.routes().configuration().version == 0) {
      respond(Refusal("no configuration has been read yet"));
      return;
    }
    const std::string path = adapter::DecodePath(request.target);
    const std::string host = adapter::DecodeHost(request.host);
    const route_match match = world_.routes().Find(host, path);
    if (match.route == nullptr) {
      ++counts_.unknown_route;
      respond(adapter::EncodeFault(net::kNotFound, "no such queue"));
      return;
    }
    const std::string id(match.rest);
    if (id.empty() && request.verb == net::method::kGet) {
      ++counts_.queries;
      waiting_counts_.Answer(*match.route, respond);
      return;
    }
    if (!adapter::IsJobId(id)) {
      ++counts_.malformed;
      respond(adapter::EncodeFault(net::kBadRequest,
                                   "the path doesn't end in a job's id"));
      return;
    }
    switch (request.verb) {
      case net::method::kPost:
        Submit(*match.route, id, request, respond);
        return;
      case net::method::kGet:
        Query(*match.route, id, respond);
        return;
      case net::method::kDelete:
        Cancel(*match.route, id, request, respond);
        return;
      case net::method::kOther:
        respond(adapter::EncodeFault(net::kMethodNotAllowed,
                                     "use POST, GET or DELETE"));
        return;
    }
  }

  const submission_counts& counts() const { return counts_; }

 private:
  /// One record that callers wait for.
  struct pending_record {
    adapter::keyed_record record;
    std::uint32_t partition = 0;
    std::string what;
    job_id id;
    core::time_point began_at;
    core::time_point give_up_at;
    /// Some append had no answer, so that it may land at any time.
    bool may_land = false;
    std::vector<net::responder> waiting;
    bool is_answered = false;
    std::shared_ptr<boost::asio::steady_timer> look_timer;
  };
  using record_ptr = std::shared_ptr<pending_record>;

  /// The records for one partition.
  struct lane {
    std::vector<record_ptr> waiting;
    std::size_t in_flight = 0;
  };

  net::server_response Refusal(const std::string& why) const {
    return Refuse(why, settings_.retry_after);
  }

  core::time_point GiveUpAt(const net::server_request& request) const {
    const milliseconds patience =
        adapter::DecodePatience(request).value_or(settings_.default_patience);
    const milliseconds usable =
        std::max(patience - settings_.answer_reserve, patience / 2);
    return BootTime() + usable;
  }

  void Submit(const core::jobs::queue_route& route,
              const job_id& id,
              const net::server_request& request,
              const net::responder& respond) {
    if (world_.directory().Find(id) != nullptr) {
      ++counts_.repeated;
      respond({net::kOk, {}, "{}"});
      return;
    }
    adapter::decoded_job decoded = adapter::DecodeJob(request.body);
    if (!decoded.spec) {
      ++counts_.malformed;
      respond(adapter::EncodeFault(net::kBadRequest,
                                   "malformed: " + decoded.fault));
      return;
    }
    if (route.needs_advice) {
      ++counts_.refused;
      respond(Refusal("queues with an advisor are not supported yet"));
      return;
    }
    decoded.spec->id = id;
    decoded.spec->queue = route.queue;
    decoded.spec->pool = route.pool;
    Append(Encode(submission_record{std::move(*decoded.spec)}), route, id, kJob,
           request, respond);
  }

  void Cancel(const core::jobs::queue_route& route,
              const job_id& id,
              const net::server_request& request,
              const net::responder& respond) {
    const directory_entry* entry = world_.directory().Find(id);
    if (entry != nullptr) {
      CancelKnown(route, id, request, respond);
      return;
    }
    world_.RefreshJobs(
        JobPartitionOf(route.queue, id),
        [self = weak_from_this(), queue = route.queue, id, request,
         respond](bool is_read) {
          const auto service = self.lock();
          if (!service) {
            return;
          }
          if (service->world_.directory().Find(id) != nullptr) {
            const core::jobs::queue_route* found =
                service->world_.routes().FindQueue(queue);
            if (found != nullptr) {
              service->CancelKnown(*found, id, request, respond);
              return;
            }
          }
          respond(is_read ? adapter::EncodeFault(net::kGone, "no such job")
                          : service->Refusal("the store can't be read"));
        });
  }

  void CancelKnown(const core::jobs::queue_route& route,
                   const job_id& id,
                   const net::server_request& request,
                   const net::responder& respond) {
    const directory_entry* entry = world_.directory().Find(id);
    if (entry->is_cancelled || core::jobs::IsFinal(entry->progress.phase)) {
      respond({net::kOk, {}, "{}"});
      return;
    }
    Append(Encode(cancel_record{id}), route, id, kCancel, request, respond);
  }

  void Query(const core::jobs::queue_route& route,
             const job_id& id,
             const net::responder& respond) {
    ++counts_.queries;
    const directory_entry* entry = world_.directory().Find(id);
    if (entry != nullptr) {
      QueryKnown(id, respond);
      return;
    }
    world_.RefreshJobs(
        JobPartitionOf(route.queue, id),
        [self = weak_from_this(), id, respond](bool is_read) {
          const auto service = self.lock();
          if (!service) {
            return;
          }
          if (service->world_.directory().Find(id) != nullptr) {
            service->QueryKnown(id, respond);
            return;
          }
          respond(is_read ? adapter::EncodeFault(net::kGone, "no such job")
                          : service->Refusal("the store can't be read"));
        });
  }

  // A job that hasn't ended may have since it was last read about.
  void QueryKnown(const job_id& id, const net::responder& respond) {
    const directory_entry* entry = world_.directory().Find(id);
    if (core::jobs::IsFinal(entry->Phase())) {
      respond(adapter::EncodePhase(entry->Phase()));
      return;
    }
    world_.RefreshProgress(
        PoolPartitionOf(entry->pool),
        [self = weak_from_this(), id, respond](bool /*is_read*/) {
          const auto service = self.lock();
          if (!service) {
            return;
          }
          const directory_entry* known = service->world_.directory().Find(id);
          respond(adapter::EncodePhase(known->Phase()));
        });
  }

  // Stores the record, once for all callers that want it at the same time.
  void Append(adapter::keyed_record record,
              const core::jobs::queue_route& route,
              const job_id& id,
              const std::string& what,
              const net::server_request& request,
              const net::responder& respond) {
    record_ptr& known = pending_[record.key];
    if (known) {
      known->waiting.push_back(respond);
      return;
    }
    const auto pending = std::make_shared<pending_record>();
    known = pending;
    pending->what = what;
    pending->id = id;
    pending->began_at = BootTime();
    pending->give_up_at = GiveUpAt(request);
    pending->waiting.push_back(respond);
    pending->partition = JobPartitionOf(route.queue, id);
    pending->record = std::move(record);
    pending->look_timer = std::make_shared<boost::asio::steady_timer>(context_);
    LookLater(pending);
    lanes_[pending->partition].waiting.push_back(pending);
    Flush(pending->partition);
  }

  // A slow store takes appends one by one, so that what arrives while some are
  // under way goes into one append.
  void Flush(std::uint32_t partition) {
    lane& next = lanes_[partition];
    if (next.waiting.empty() || next.in_flight >= settings_.most_in_flight) {
      return;
    }
    ++next.in_flight;
    const auto batch =
        std::make_shared<std::vector<record_ptr>>(std::move(next.waiting));
    next.waiting.clear();
    adapter::append_call call;
    call.partition = {kJobTopic, partition};
    for (const record_ptr& pending : *batch) {
      call.records.push_back(pending->record);
    }
    store_.Append(call, settings_.append_timeout,
                  [self = weak_from_this(), batch,
                   partition](const adapter::append_reply& reply) {
                    const auto service = self.lock();
                    if (!service) {
                      return;
                    }
                    --service->lanes_[partition].in_flight;
                    for (const record_ptr& pending : *batch) {
                      service->TakeReply(pending, reply);
                    }
                    service->Flush(partition);
                  });
  }

  void LookLater(const record_ptr& pending) {
    pending->look_timer->expires_after(settings_.look_interval);
    pending->look_timer->async_wait(
        [self = weak_from_this(),
         pending](const boost::system::error_code& error) {
          const auto service = self.lock();
          if (service && !error && !pending->is_answered) {
            service->Look(pending);
          }
        });
  }

  void Look(const record_ptr& pending) {
    if (BootTime() >= pending->give_up_at) {
      GiveUp(pending, {append_outcome::kUnknown, 0, 0, 0});
      return;
    }
    world_.RefreshJobs(pending->partition,
                       [self = weak_from_this(), pending](bool /*is_read*/) {
                         const auto service = self.lock();
                         if (!service || pending->is_answered) {
                           return;
                         }
                         if (service->IsStored(*pending)) {
                           service->Succeed(pending, "found in the store");
                         } else {
                           service->LookLater(pending);
                         }
                       });
  }

  bool IsStored(const pending_record& pending) const {
    const directory_entry* entry = world_.directory().Find(pending.id);
    return entry != nullptr && (pending.what == kJob || entry->is_cancelled);
  }

  void Succeed(const record_ptr& pending, const std::string& how) {
    const bool is_job = pending->what == kJob;
    ++(is_job ? counts_.accepted : counts_.cancelled);
    if (is_job) {
      meters_.NoteAccepted(BootTime() - pending->began_at);
    }
    LogEvent(is_job ? job_event::kJobAccepted : job_event::kJobCancelled,
             {{"job", pending->id},
              {"part", std::to_string(pending->partition)},
              {"how", how},
              {"ms", Elapsed(*pending)}});
    Answer(pending, {net::kOk, {}, "{}"});
  }

  void TakeReply(const record_ptr& pending,
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
      pending->may_land = true;
    }
    const core::time_point now = BootTime();
    const bool is_hopeless =
        !pending->may_land && now - pending->began_at > settings_.refusal_limit;
    const bool is_invalid =
        reply.outcome == append_outcome::kInvalid && !pending->may_land;
    if (is_invalid || is_hopeless ||
        now + settings_.retry_pause >= pending->give_up_at) {
      GiveUp(pending, reply);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(settings_.retry_pause);
    timer->async_wait([self = weak_from_this(), pending,
                       timer](const boost::system::error_code& error) {
      const auto service = self.lock();
      if (service && !error && !pending->is_answered) {
        service->lanes_[pending->partition].waiting.push_back(pending);
        service->Flush(pending->partition);
      }
    });
  }

  // A caller that is told "refused" may believe that its job never runs, so
  // after an append without an answer, or with one under way, there is no such
  // word.
  void GiveUp(const record_ptr& pending, const adapter::append_reply& reply) {
    const bool may_land =
        pending->may_land || reply.outcome == append_outcome::kUnknown;
    observe::log_fields fields = {
        {"job", pending->id},
        {"what", pending->what},
        {"store", std::string(core::NameOf(reply.outcome))},
        {"status", std::to_string(reply.status)},
        {"ms", Elapsed(*pending)}};
    if (may_land) {
      ++counts_.unanswered;
      LogEvent(job_event::kJobUnanswered, fields);
      Answer(pending, adapter::EncodeFault(
                          net::kGatewayTimeout,
                          "the store didn't answer; repeat the same id"));
      return;
    }
    ++counts_.refused;
    LogEvent(job_event::kJobRefused, fields);
    Answer(pending, Refusal("the store refused the record"));
  }

  static std::string Elapsed(const pending_record& pending) {
    return MillisOf(BootTime() - pending.began_at);
  }

  void Answer(const record_ptr& pending, const net::server_response& response) {
    pending->is_answered = true;
    pending->look_timer->cancel();
    pending_.erase(pending->record.key);
    for (const net::responder& respond : pending->waiting) {
      respond(response);
    }
  }

  boost::asio::io_context& context_;
  adapter::store_client& store_;
  job_world& world_;
  job_meters& meters_;
  submission_settings settings_;
  submission_counts counts_;
  waiting_counts waiting_counts_;
  std::map<std::string, record_ptr> pending_;
  std::map<std::uint32_t, lane> lanes_;
};

submissions::submissions(boost::asio::io_context* context,
                         adapter::store_client* store,
                         job_world* world,
                         job_meters* meters,
                         const submission_settings& settings)
    : impl_(std::make_shared<impl>(context, store, world, meters, settings)) {}

submissions::~submissions() = default;

void submissions::Handle(const net::server_request& request,
                         const net::responder& respond) {
  impl_->Handle(request, respond);
}

const submission_counts& submissions::counts() const {
  return impl_->counts();
}

}  // namespace plantainhead::jobs
