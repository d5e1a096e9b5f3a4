#include "jobs/submissions.h"

#include <algorithm>
#include <string>
#include <utility>

#include "jobs/caller_request.h"
#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/job_partitions.h"
#include "jobs/owner_relay.h"
#include "jobs/pending_job_counter.h"
#include "jobs/record_codec.h"
#include "jobs/unavailable_response.h"
#include "net/http_status.h"
#include "peers/forwarded_request.h"
#include "plantainhead/core/jobs/job_memory.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {
namespace {

using core::jobs::directory_entry;
using core::jobs::job_id;
using core::jobs::queue_route;
using core::jobs::route_match;
using std::chrono::milliseconds;

}  // namespace

class submissions::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const dependencies& dependencies, const submission_settings& settings)
      : view_(*dependencies.view),
        settings_(settings),
        relay_(dependencies.relay, settings.owner_time_share),
        recorder_(dependencies.context,
                  dependencies.store,
                  dependencies.view,
                  dependencies.meters,
                  settings.recorder),
        pending_job_counter_(dependencies.view, settings.retry_after) {}

  void Handle(const net::server_request& request,
              const net::responder& respond) {
    if (view_.routes().configuration().version == 0) {
      respond(MisdirectedOrUnavailable(request,
                                       "no configuration has been read yet"));
      return;
    }
    const std::string path = adapter::DecodePath(request.target);
    const std::string host = adapter::DecodeHost(request.host);
    const route_match match = view_.routes().Find(host, path);
    if (match.route == nullptr) {
      ++counts_.unknown_route;
      // The process that forwarded the request knows the queue.
      respond(peers::HopCountOf(request) > 0
                  ? adapter::EncodeError(net::kMisdirected, "no such queue")
                  : adapter::EncodeError(net::kNotFound, "no such queue"));
      return;
    }
    const caller_request incoming{
        *match.route, job_id(match.path_suffix), request,
        respond,      ResponseDeadline(request), WallTime(),
        false};
    const bool is_count_query =
        incoming.id.empty() && request.verb == net::method::kGet;
    if (is_count_query) {
      ++counts_.queries;
      Count(incoming);
    } else {
      HandleJob(incoming);
    }
  }

  submission_counts counts() const {
    submission_counts counts = counts_;
    counts.records = recorder_.counts();
    counts.relayed = relay_.counts();
    return counts;
  }

 private:
  using handler = void (impl::*)(const caller_request&);

  void HandleJob(const caller_request& incoming) {
    if (!adapter::IsJobId(incoming.id)) {
      ++counts_.malformed;
      incoming.respond(adapter::EncodeError(
          net::kBadRequest, "the path does not end in a valid job id"));
      return;
    }
    switch (incoming.request.verb) {
      case net::method::kPost:
        Submit(incoming);
        return;
      case net::method::kGet:
        ++counts_.queries;
        Query(incoming);
        return;
      case net::method::kDelete:
        Cancel(incoming);
        return;
      case net::method::kOther:
        incoming.respond(adapter::EncodeError(net::kMethodNotAllowed,
                                              "use POST, GET or DELETE"));
        return;
    }
  }

  net::server_response Unavailable(const std::string& why) const {
    return MakeUnavailableResponse(why, settings_.retry_after);
  }

  // A process that forwarded a request tries elsewhere; a caller retries later.
  net::server_response MisdirectedOrUnavailable(
      const net::server_request& request,
      const std::string& why) const {
    return peers::HopCountOf(request) > 0
               ? adapter::EncodeError(net::kMisdirected, why)
               : Unavailable(why);
  }

  core::time_point ResponseDeadline(const net::server_request& request) const {
    const milliseconds timeout =
        adapter::DecodeTimeout(request).value_or(settings_.default_timeout);
    const milliseconds usable =
        std::max(timeout - settings_.response_margin, timeout / 2);
    return BootTime() + usable;
  }

  // Returns true if this process owns the queue's pool and knows which of its
  // jobs are in the store.
  bool HasAllJobsOf(const queue_route& route) const {
    return relay_.Owns(route.pool) && view_.IsQueueLoaded(route);
  }

  // Forwards a request that stores a record to the pool's owner. Continues with
  // `handle_locally` if the outcome is inconclusive.
  void ForwardOrElse(const caller_request& incoming, handler handle_locally) {
    if (peers::HopCountOf(incoming.request) > 0) {
      incoming.respond(MisdirectedOrUnavailable(
          incoming.request, "another process owns the pool"));
      return;
    }
    relay_.Forward(incoming, incoming.route.pool,
                   [self = shared_from_this(), incoming,
                    handle_locally](bool may_be_appended) {
                     caller_request unhandled = incoming;
                     unhandled.may_be_appended = may_be_appended;
                     (self.get()->*handle_locally)(unhandled);
                   });
  }

  // Refreshes the partition that holds the job, and continues with `on_found`
  // if the job exists.
  void ReadJob(const caller_request& incoming, handler on_found) {
    view_.RefreshJobs(
        JobPartitionOf(incoming.route.queue, incoming.id),
        [self = shared_from_this(), incoming, on_found](bool is_read) {
          if (self->view_.directory().Find(incoming.id) != nullptr) {
            (self.get()->*on_found)(incoming);
          } else {
            incoming.respond(self->UnknownJob(is_read));
          }
        });
  }

  net::server_response UnknownJob(bool is_read) const {
    return is_read ? adapter::EncodeError(net::kGone, "no such job")
                   : Unavailable("the store cannot be read");
  }

  // Jobs.

  void Submit(const caller_request& incoming) {
    if (relay_.Owns(incoming.route.pool)) {
      SubmitAsOwner(incoming);
    } else {
      ForwardOrElse(incoming, &impl::SubmitWithoutOwner);
    }
  }

  // A job of a queue that was moved may be, or may have ended, in the former
  // pool. A submission would replace its record and make it a job of the new
  // pool, so that the record must have been looked for.
  void SubmitAsOwner(const caller_request& incoming) {
    const bool is_known = view_.directory().Find(incoming.id) != nullptr;
    if (is_known || !view_.MayHaveOtherPool(incoming.route)) {
      SubmitHere(incoming);
      return;
    }
    if (!view_.IsQueueLoaded(incoming.route)) {
      RejectUnread(incoming);
      return;
    }
    view_.RefreshJobs(JobPartitionOf(incoming.route.queue, incoming.id),
                      [self = shared_from_this(), incoming](bool is_read) {
                        if (is_read) {
                          self->SubmitHere(incoming);
                        } else {
                          self->RejectUnread(incoming);
                        }
                      });
  }

  // This process does not read the jobs of the pool.
  void SubmitWithoutOwner(const caller_request& incoming) {
    const bool is_known = view_.directory().Find(incoming.id) != nullptr;
    if (is_known || !view_.MayHaveOtherPool(incoming.route)) {
      SubmitHere(incoming);
    } else {
      RejectUnread(incoming);
    }
  }

  void RejectUnread(const caller_request& incoming) {
    ++counts_.refused;
    LogEvent(job_event::kJobRefused,
             {{"job", incoming.id},
              {"reason", "the jobs of a queue that was moved are not read"}});
    incoming.respond(
        incoming.may_be_appended
            ? adapter::EncodeError(
                  net::kGatewayTimeout,
                  "the owner did not answer; repeat the request with the same "
                  "id")
            : Unavailable("the jobs of the queue cannot be read"));
  }

  void RejectForMemory(const caller_request& incoming) {
    ++counts_.refused;
    LogEvent(job_event::kJobRefused,
             {{"job", incoming.id},
              {"reason", "there is no memory for another job"}});
    incoming.respond(
        incoming.may_be_appended
            ? adapter::EncodeError(
                  net::kGatewayTimeout,
                  "the owner did not answer; repeat the request with the same "
                  "id")
            : MakeUnavailableResponse("too many accepted jobs are waiting",
                                      settings_.memory_retry_after));
  }

  void SubmitHere(const caller_request& incoming) {
    if (view_.directory().Find(incoming.id) != nullptr) {
      ++counts_.repeated;
      incoming.respond({net::kOk, {}, "{}"});
      return;
    }
    adapter::decoded_job decoded = adapter::DecodeJob(incoming.request.body);
    if (!decoded.spec) {
      ++counts_.malformed;
      incoming.respond(adapter::EncodeError(net::kBadRequest,
                                            "malformed: " + decoded.fault));
      return;
    }
    if (incoming.route.needs_advice) {
      ++counts_.refused;
      incoming.respond(
          Unavailable("queues with an advisor are not supported yet"));
      return;
    }
    if (relay_.Owns(incoming.route.pool) &&
        !view_.MakeMemoryForNewJob(core::jobs::MemoryOf(*decoded.spec))) {
      RejectForMemory(incoming);
      return;
    }
    decoded.spec->id = incoming.id;
    decoded.spec->queue = incoming.route.queue;
    decoded.spec->pool = incoming.route.pool;
    decoded.spec->submitted_at = incoming.received_at;
    adapter::keyed_record record =
        Encode(submission_record{std::move(*decoded.spec)});
    if (adapter::BytesOf(record) > adapter::kMaxRecordBytes) {
      ++counts_.malformed;
      incoming.respond(adapter::EncodeError(
          net::kBadRequest, "malformed: steps: too large for a record"));
      return;
    }
    Store(incoming, std::move(record), record_purpose::kJob);
  }

  void Store(const caller_request& incoming,
             adapter::keyed_record record,
             record_purpose purpose) {
    record_request record_to_store;
    record_to_store.record = std::move(record);
    record_to_store.purpose = purpose;
    record_to_store.id = incoming.id;
    record_to_store.partition =
        JobPartitionOf(incoming.route.queue, incoming.id);
    record_to_store.deadline = incoming.deadline;
    record_to_store.may_be_appended = incoming.may_be_appended;
    recorder_.Store(record_to_store, incoming.respond);
  }

  // Cancellations.

  void Cancel(const caller_request& incoming) {
    if (HasAllJobsOf(incoming.route)) {
      CancelHere(incoming);
    } else {
      // This process does not know whether the job exists. A cancellation
      // applies to an id, and has no effect if there is no job.
      ForwardOrElse(incoming, &impl::StoreCancel);
    }
  }

  void CancelHere(const caller_request& incoming) {
    if (view_.directory().Find(incoming.id) != nullptr) {
      CancelKnown(incoming);
    } else {
      CancelUnknown(incoming);
    }
  }

  // An append of the submission may still be carried out. The stored
  // cancellation applies to it then, whenever that is. What was appended before
  // the cancellation is read afterwards.
  void CancelUnknown(const caller_request& incoming) {
    caller_request stored = incoming;
    stored.respond = [self = shared_from_this(),
                      incoming](net::server_response response) {
      if (response.status == net::kOk) {
        self->RespondToStoredCancel(incoming);
      } else {
        incoming.respond(std::move(response));
      }
    };
    StoreCancel(stored);
  }

  void RespondToStoredCancel(const caller_request& incoming) {
    view_.RefreshJobs(
        JobPartitionOf(incoming.route.queue, incoming.id),
        [self = shared_from_this(), incoming](bool is_read) {
          const bool is_unknown =
              is_read && self->view_.directory().Find(incoming.id) == nullptr;
          incoming.respond(is_unknown
                               ? self->UnknownJob(true)
                               : net::server_response{net::kOk, {}, "{}"});
        });
  }

  void CancelKnown(const caller_request& incoming) {
    const directory_entry* entry = view_.directory().Find(incoming.id);
    if (entry->is_cancelled || core::jobs::IsFinal(entry->progress.phase)) {
      incoming.respond({net::kOk, {}, "{}"});
      return;
    }
    StoreCancel(incoming);
  }

  void StoreCancel(const caller_request& incoming) {
    Store(incoming, Encode(cancel_record{incoming.id}),
          record_purpose::kCancel);
  }

  // Queries.

  void Query(const caller_request& incoming) {
    const directory_entry* entry = view_.directory().Find(incoming.id);
    if (entry != nullptr && core::jobs::IsFinal(entry->Phase())) {
      incoming.respond(adapter::EncodePhase(entry->Phase()));
      return;
    }
    if (entry != nullptr) {
      QueryKnown(incoming);
    } else if (HasAllJobsOf(incoming.route)) {
      ReadJob(incoming, &impl::QueryKnown);
    } else {
      QueryOwner(incoming, incoming.route.pool);
    }
  }

  // A job stays in the pool that it was accepted for when its queue moves.
  void QueryKnown(const caller_request& incoming) {
    const directory_entry* entry = view_.directory().Find(incoming.id);
    if (relay_.Schedules(entry->pool)) {
      incoming.respond(adapter::EncodePhase(entry->Phase()));
    } else {
      QueryOwner(incoming, entry->pool);
    }
  }

  void QueryOwner(const caller_request& incoming,
                  const core::jobs::pool_id& pool) {
    relay_.Forward(
        incoming, pool,
        [self = shared_from_this(), incoming](bool /*may_be_appended*/) {
          incoming.respond(self->MisdirectedOrUnavailable(
              incoming.request,
              "the owner of the job's pool could not be queried"));
        });
  }

  void Count(const caller_request& incoming) {
    if (relay_.Owns(incoming.route.pool)) {
      pending_job_counter_.Answer(incoming.route, incoming.respond);
      return;
    }
    relay_.Forward(
        incoming, incoming.route.pool,
        [self = shared_from_this(), incoming](bool /*may_be_appended*/) {
          LogEvent(job_event::kCountRefused,
                   {{"queue", incoming.route.queue},
                    {"reason", "the pool's owner could not be queried"}});
          incoming.respond(self->MisdirectedOrUnavailable(
              incoming.request, "the owner of the pool could not be queried"));
        });
  }

  store_view& view_;
  submission_settings settings_;
  submission_counts counts_;
  owner_relay relay_;
  job_recorder recorder_;
  pending_job_counter pending_job_counter_;
};

submissions::submissions(const dependencies& dependencies,
                         const submission_settings& settings)
    : impl_(std::make_shared<impl>(dependencies, settings)) {}

submissions::~submissions() = default;

void submissions::Handle(const net::server_request& request,
                         const net::responder& respond) {
  impl_->Handle(request, respond);
}

submission_counts submissions::counts() const {
  return impl_->counts();
}

}  // namespace plantainhead::jobs
