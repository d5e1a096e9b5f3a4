#include "jobs/submissions.h"

#include <algorithm>
#include <string>
#include <utility>

#include "jobs/caller_request.h"
#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/job_partitions.h"
#include "jobs/owner_relay.h"
#include "jobs/record_codec.h"
#include "jobs/refusal.h"
#include "jobs/waiting_counts.h"
#include "net/http_status.h"
#include "peers/passed_request.h"
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
      : world_(*dependencies.world),
        settings_(settings),
        relay_(dependencies.relay, settings.owner_share),
        recorder_(dependencies.context,
                  dependencies.store,
                  dependencies.world,
                  dependencies.meters,
                  settings.recorder),
        pending_job_counter_(dependencies.world, settings.retry_after) {}

  void Handle(const net::server_request& request,
              const net::responder& respond) {
    if (world_.routes().configuration().version == 0) {
      respond(NotHere(request, "no configuration has been read yet"));
      return;
    }
    const std::string path = adapter::DecodePath(request.target);
    const std::string host = adapter::DecodeHost(request.host);
    const route_match match = world_.routes().Find(host, path);
    if (match.route == nullptr) {
      ++counts_.unknown_route;
      // The process that passed the request on knows the queue.
      respond(peers::HopCountOf(request) > 0
                  ? adapter::EncodeError(net::kMisdirected, "no such queue")
                  : adapter::EncodeError(net::kNotFound, "no such queue"));
      return;
    }
    const caller_request asked{
        *match.route, job_id(match.path_suffix), request,
        respond,      GiveUpAt(request),         WallTime(),
        false};
    const bool asks_for_number =
        asked.id.empty() && request.verb == net::method::kGet;
    if (asks_for_number) {
      ++counts_.queries;
      Count(asked);
    } else {
      HandleJob(asked);
    }
  }

  submission_counts counts() const {
    submission_counts counts = counts_;
    counts.records = recorder_.counts();
    counts.relayed = relay_.counts();
    return counts;
  }

 private:
  using step = void (impl::*)(const caller_request&);

  void HandleJob(const caller_request& asked) {
    if (!adapter::IsJobId(asked.id)) {
      ++counts_.malformed;
      asked.respond(adapter::EncodeError(net::kBadRequest,
                                         "the path doesn't end in a job's id"));
      return;
    }
    switch (asked.request.verb) {
      case net::method::kPost:
        Submit(asked);
        return;
      case net::method::kGet:
        ++counts_.queries;
        Query(asked);
        return;
      case net::method::kDelete:
        Cancel(asked);
        return;
      case net::method::kOther:
        asked.respond(adapter::EncodeError(net::kMethodNotAllowed,
                                           "use POST, GET or DELETE"));
        return;
    }
  }

  net::server_response Refusal(const std::string& why) const {
    return Refuse(why, settings_.retry_after);
  }

  // A process that passed a request on asks elsewhere; a caller comes back.
  net::server_response NotHere(const net::server_request& request,
                               const std::string& why) const {
    return peers::HopCountOf(request) > 0
               ? adapter::EncodeError(net::kMisdirected, why)
               : Refusal(why);
  }

  core::time_point GiveUpAt(const net::server_request& request) const {
    const milliseconds patience =
        adapter::DecodeTimeout(request).value_or(settings_.default_patience);
    const milliseconds usable =
        std::max(patience - settings_.answer_reserve, patience / 2);
    return BootTime() + usable;
  }

  // Whether this process owns the queue's pool, and knows which of its jobs are
  // in the store.
  bool KnowsJobsOf(const queue_route& route) const {
    return relay_.Owns(route.pool) && world_.KnowsQueue(route);
  }

  // Leaves a request that stores a record to the pool's owner. Where none
  // settles it this process goes on with `without_owner`.
  void TryOwner(const caller_request& asked, step without_owner) {
    if (peers::HopCountOf(asked.request) > 0) {
      asked.respond(NotHere(asked.request, "another process owns the pool"));
      return;
    }
    relay_.Ask(
        asked, asked.route.pool,
        [self = shared_from_this(), asked, without_owner](bool may_land) {
          caller_request left = asked;
          left.may_land = may_land;
          (self.get()->*without_owner)(left);
        });
  }

  // Reads what the store has of the partition that holds the job, and goes on
  // with `known` if the job is there.
  void ReadJob(const caller_request& asked, step known) {
    world_.RefreshJobs(
        JobPartitionOf(asked.route.queue, asked.id),
        [self = shared_from_this(), asked, known](bool is_read) {
          if (self->world_.directory().Find(asked.id) != nullptr) {
            (self.get()->*known)(asked);
          } else {
            asked.respond(self->UnknownJob(is_read));
          }
        });
  }

  net::server_response UnknownJob(bool is_read) const {
    return is_read ? adapter::EncodeError(net::kGone, "no such job")
                   : Refusal("the store can't be read");
  }

  // Jobs.

  void Submit(const caller_request& asked) {
    if (relay_.Owns(asked.route.pool)) {
      SubmitHere(asked);
    } else {
      TryOwner(asked, &impl::SubmitHere);
    }
  }

  void SubmitHere(const caller_request& asked) {
    if (world_.directory().Find(asked.id) != nullptr) {
      ++counts_.repeated;
      asked.respond({net::kOk, {}, "{}"});
      return;
    }
    adapter::decoded_job decoded = adapter::DecodeJob(asked.request.body);
    if (!decoded.spec) {
      ++counts_.malformed;
      asked.respond(adapter::EncodeError(net::kBadRequest,
                                         "malformed: " + decoded.fault));
      return;
    }
    if (asked.route.needs_advice) {
      ++counts_.refused;
      asked.respond(Refusal("queues with an advisor are not supported yet"));
      return;
    }
    decoded.spec->id = asked.id;
    decoded.spec->queue = asked.route.queue;
    decoded.spec->pool = asked.route.pool;
    decoded.spec->submitted_at = asked.came_at;
    Store(asked, Encode(submission_record{std::move(*decoded.spec)}),
          record_purpose::kJob);
  }

  void Store(const caller_request& asked,
             adapter::keyed_record record,
             record_purpose purpose) {
    record_request wanted;
    wanted.record = std::move(record);
    wanted.purpose = purpose;
    wanted.id = asked.id;
    wanted.partition = JobPartitionOf(asked.route.queue, asked.id);
    wanted.give_up_at = asked.give_up_at;
    wanted.may_land = asked.may_land;
    recorder_.Store(wanted, asked.respond);
  }

  // Cancellations.

  void Cancel(const caller_request& asked) {
    if (KnowsJobsOf(asked.route)) {
      CancelHere(asked);
    } else {
      // Whether there is such a job isn't known here. A cancellation holds for
      // an id, and does nothing where there is no job.
      TryOwner(asked, &impl::StoreCancel);
    }
  }

  void CancelHere(const caller_request& asked) {
    if (world_.directory().Find(asked.id) != nullptr) {
      CancelKnown(asked);
    } else {
      ReadJob(asked, &impl::CancelKnown);
    }
  }

  void CancelKnown(const caller_request& asked) {
    const directory_entry* entry = world_.directory().Find(asked.id);
    if (entry->is_cancelled || core::jobs::IsFinal(entry->progress.phase)) {
      asked.respond({net::kOk, {}, "{}"});
      return;
    }
    StoreCancel(asked);
  }

  void StoreCancel(const caller_request& asked) {
    Store(asked, Encode(cancel_record{asked.id}), record_purpose::kCancel);
  }

  // Questions.

  void Query(const caller_request& asked) {
    const directory_entry* entry = world_.directory().Find(asked.id);
    if (entry != nullptr && core::jobs::IsFinal(entry->Phase())) {
      asked.respond(adapter::EncodePhase(entry->Phase()));
      return;
    }
    if (entry != nullptr) {
      QueryKnown(asked);
    } else if (KnowsJobsOf(asked.route)) {
      ReadJob(asked, &impl::QueryKnown);
    } else {
      QueryOwner(asked, asked.route.pool);
    }
  }

  // A job stays with the pool that it was accepted for when its queue moves.
  void QueryKnown(const caller_request& asked) {
    const directory_entry* entry = world_.directory().Find(asked.id);
    if (relay_.Schedules(entry->pool)) {
      asked.respond(adapter::EncodePhase(entry->Phase()));
    } else {
      QueryOwner(asked, entry->pool);
    }
  }

  void QueryOwner(const caller_request& asked,
                  const core::jobs::pool_id& pool) {
    relay_.Ask(
        asked, pool, [self = shared_from_this(), asked](bool /*may_land*/) {
          asked.respond(self->NotHere(
              asked.request, "the owner of the job's pool can't be asked"));
        });
  }

  void Count(const caller_request& asked) {
    if (relay_.Owns(asked.route.pool)) {
      pending_job_counter_.Answer(asked.route, asked.respond);
      return;
    }
    relay_.Ask(asked, asked.route.pool,
               [self = shared_from_this(), asked](bool /*may_land*/) {
                 LogEvent(job_event::kCountRefused,
                          {{"queue", asked.route.queue},
                           {"reason", "the pool's owner can't be asked"}});
                 asked.respond(self->NotHere(
                     asked.request, "the owner of the pool can't be asked"));
               });
  }

  job_world& world_;
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
