#include "jobs/submissions.h"

#include <algorithm>
#include <string>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
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
using peers::pass_outcome;
using peers::pass_reply;
using std::chrono::milliseconds;

}  // namespace

class submissions::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const dependencies& dependencies, const submission_settings& settings)
      : deps_(dependencies),
        world_(*dependencies.world),
        settings_(settings),
        recorder_(dependencies.context,
                  dependencies.store,
                  dependencies.world,
                  dependencies.meters,
                  settings.recorder),
        waiting_counts_(dependencies.world, settings.retry_after) {}

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
      respond(peers::HopsOf(request) > 0
                  ? adapter::EncodeFault(net::kMisdirected, "no such queue")
                  : adapter::EncodeFault(net::kNotFound, "no such queue"));
      return;
    }
    const caller_request asked{*match.route, job_id(match.rest), request,
                               respond,      GiveUpAt(request),  false};
    const bool asks_for_number =
        asked.id.empty() && request.verb == net::method::kGet;
    if (asks_for_number) {
      ++counts_.queries;
      Count(asked);
      return;
    }
    if (!adapter::IsJobId(asked.id)) {
      ++counts_.malformed;
      respond(adapter::EncodeFault(net::kBadRequest,
                                   "the path doesn't end in a job's id"));
      return;
    }
    switch (request.verb) {
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
        respond(adapter::EncodeFault(net::kMethodNotAllowed,
                                     "use POST, GET or DELETE"));
        return;
    }
  }

  submission_counts counts() const {
    submission_counts counts = counts_;
    counts.records = recorder_.counts();
    return counts;
  }

 private:
  /// A request, also one that was passed on, and what it asks for.
  struct caller_request {
    queue_route route;
    /// Empty when the request is about the queue.
    job_id id;
    net::server_request request;
    net::responder respond;
    core::time_point give_up_at;
    /// An owner that left it unanswered may have stored what it asks for.
    bool may_land = false;
  };

  net::server_response Refusal(const std::string& why) const {
    return Refuse(why, settings_.retry_after);
  }

  // A process that passed a request on asks elsewhere; a caller comes back.
  net::server_response NotHere(const net::server_request& request,
                               const std::string& why) const {
    return peers::HopsOf(request) > 0
               ? adapter::EncodeFault(net::kMisdirected, why)
               : Refusal(why);
  }

  core::time_point GiveUpAt(const net::server_request& request) const {
    const milliseconds patience =
        adapter::DecodePatience(request).value_or(settings_.default_patience);
    const milliseconds usable =
        std::max(patience - settings_.answer_reserve, patience / 2);
    return BootTime() + usable;
  }

  bool Schedules(std::uint32_t partition) const {
    return deps_.epoch_of(partition) != 0;
  }

  // An owner that isn't sure any more would only ask itself, until it knows of
  // the one that follows.
  bool HasOwnerElsewhere(std::uint32_t partition) const {
    return deps_.owners->book().Newest(partition).epoch >
           deps_.epoch_of(partition);
  }

  bool IsOwnedHere(const queue_route& route) const {
    return Schedules(PoolPartitionOf(route.pool)) && deps_.is_sure();
  }

  static bool MayPassOn(const caller_request& asked) {
    return peers::HopsOf(asked.request) < peers::kMostHops;
  }

  // Calls `on_reply` once; it gets no answer when there is nobody to ask.
  void PassOn(const caller_request& asked,
              const core::jobs::pool_id& pool,
              const peers::owner_links::reply_handler& on_reply) {
    const std::uint32_t partition = PoolPartitionOf(pool);
    if (!MayPassOn(asked) || !HasOwnerElsewhere(partition)) {
      on_reply({});
      return;
    }
    ++counts_.passed_on;
    const auto left = std::chrono::duration_cast<milliseconds>(
        (asked.give_up_at - BootTime()) * settings_.owner_share);
    deps_.owners->Pass(
        partition, asked.request, left,
        [self = weak_from_this(), on_reply](const pass_reply& reply) {
          const auto service = self.lock();
          if (!service) {
            return;
          }
          service->counts_.owner_failures +=
              reply.outcome == pass_outcome::kAnswered ? 0 : 1;
          on_reply(reply);
        });
  }

  // The same, for a request that ends with the owner's answer if that settles
  // it. `otherwise` is called once if it doesn't.
  void AskOwner(const caller_request& asked,
                const core::jobs::pool_id& pool,
                const peers::owner_links::reply_handler& otherwise) {
    PassOn(asked, pool, [asked, otherwise](const pass_reply& reply) {
      if (IsSettled(reply)) {
        Relay(asked, reply);
      } else {
        otherwise(reply);
      }
    });
  }

  static void Relay(const caller_request& asked, const pass_reply& reply) {
    net::server_response response;
    response.status = reply.status;
    response.body = reply.body;
    asked.respond(std::move(response));
  }

  // Jobs.

  void Submit(const caller_request& asked) {
    if (IsOwnedHere(asked.route)) {
      SubmitHere(asked);
      return;
    }
    if (peers::HopsOf(asked.request) > 0) {
      asked.respond(NotHere(asked.request, "another process owns the pool"));
      return;
    }
    AskOwner(asked, asked.route.pool,
             [self = shared_from_this(), asked](const pass_reply& reply) {
               caller_request left = asked;
               left.may_land = MayLand(reply);
               self->SubmitHere(left);
             });
  }

  // An owner that refused may be the one that the store refuses, so that this
  // process tries itself before it tells the caller so.
  static bool IsSettled(const pass_reply& reply) {
    return reply.outcome == pass_outcome::kAnswered &&
           reply.status != net::kUnavailable &&
           reply.status != net::kGatewayTimeout;
  }

  static bool MayLand(const pass_reply& reply) {
    return reply.outcome == pass_outcome::kUnknown ||
           reply.status == net::kGatewayTimeout;
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
      asked.respond(adapter::EncodeFault(net::kBadRequest,
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
    if (IsOwnedHere(asked.route) && world_.KnowsQueue(asked.route)) {
      CancelHere(asked);
      return;
    }
    if (peers::HopsOf(asked.request) > 0) {
      asked.respond(NotHere(asked.request, "another process owns the pool"));
      return;
    }
    AskOwner(asked, asked.route.pool,
             [self = shared_from_this(), asked](const pass_reply& reply) {
               // Whether there is such a job isn't known here. A cancellation
               // holds for an id, and does nothing where there is no job.
               caller_request left = asked;
               left.may_land = MayLand(reply);
               self->StoreCancel(left);
             });
  }

  void CancelHere(const caller_request& asked) {
    if (world_.directory().Find(asked.id) != nullptr) {
      CancelKnown(asked);
      return;
    }
    ReadJob(asked, [self = shared_from_this(), asked](bool is_read) {
      if (self->world_.directory().Find(asked.id) != nullptr) {
        self->CancelKnown(asked);
      } else {
        asked.respond(self->UnknownJob(is_read));
      }
    });
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
      QueryKnown(asked, entry->pool);
      return;
    }
    if (IsOwnedHere(asked.route) && world_.KnowsQueue(asked.route)) {
      ReadJob(asked, [self = shared_from_this(), asked](bool is_read) {
        const directory_entry* found = self->world_.directory().Find(asked.id);
        if (found != nullptr) {
          self->QueryKnown(asked, found->pool);
        } else {
          asked.respond(self->UnknownJob(is_read));
        }
      });
      return;
    }
    QueryOwner(asked, asked.route.pool);
  }

  // A job stays with the pool that it was accepted for when its queue moves.
  void QueryKnown(const caller_request& asked,
                  const core::jobs::pool_id& pool) {
    if (Schedules(PoolPartitionOf(pool))) {
      asked.respond(
          adapter::EncodePhase(world_.directory().Find(asked.id)->Phase()));
      return;
    }
    QueryOwner(asked, pool);
  }

  void QueryOwner(const caller_request& asked,
                  const core::jobs::pool_id& pool) {
    AskOwner(
        asked, pool,
        [self = shared_from_this(), asked](const pass_reply& /*reply*/) {
          asked.respond(self->NotHere(
              asked.request, "the owner of the job's pool can't be asked"));
        });
  }

  // Reads what the store has of the partition that holds the job.
  void ReadJob(const caller_request& asked, std::function<void(bool)> on_done) {
    world_.RefreshJobs(JobPartitionOf(asked.route.queue, asked.id),
                       std::move(on_done));
  }

  net::server_response UnknownJob(bool is_read) const {
    return is_read ? adapter::EncodeFault(net::kGone, "no such job")
                   : Refusal("the store can't be read");
  }

  void Count(const caller_request& asked) {
    if (IsOwnedHere(asked.route)) {
      waiting_counts_.Answer(asked.route, asked.respond);
      return;
    }
    AskOwner(asked, asked.route.pool,
             [self = shared_from_this(), asked](const pass_reply& /*reply*/) {
               LogEvent(job_event::kCountRefused,
                        {{"queue", asked.route.queue},
                         {"reason", "the pool's owner can't be asked"}});
               asked.respond(self->NotHere(
                   asked.request, "the owner of the pool can't be asked"));
             });
  }

  dependencies deps_;
  job_world& world_;
  submission_settings settings_;
  submission_counts counts_;
  job_recorder recorder_;
  waiting_counts waiting_counts_;
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
