#include "jobs/owner_relay.h"

#include <chrono>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/job_partitions.h"
#include "net/http_status.h"
#include "peers/forwarded_request.h"

namespace plantainhead::jobs {
namespace {

using core::jobs::pool_id;
using peers::forward_outcome;
using peers::forward_reply;
using std::chrono::milliseconds;

// An owner may have responded 503 because the store refuses only that owner, so
// this process tries to store the record itself before it responds 503.
bool IsConclusive(const forward_reply& reply) {
  return reply.outcome == forward_outcome::kAnswered &&
         reply.status != net::kUnavailable &&
         reply.status != net::kGatewayTimeout;
}

bool MayBeAppended(const forward_reply& reply) {
  return reply.outcome == forward_outcome::kUnknown ||
         reply.status == net::kGatewayTimeout;
}

void RespondWith(const caller_request& incoming, const forward_reply& reply) {
  net::server_response response;
  response.status = reply.status;
  response.body = reply.body;
  incoming.respond(std::move(response));
}

}  // namespace

class owner_relay::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const dependencies& dependencies, double owner_time_share)
      : deps_(dependencies), owner_time_share_(owner_time_share) {}

  bool Schedules(const pool_id& pool) const {
    return deps_.epoch_of(PoolPartitionOf(pool)) != 0;
  }

  bool Owns(const pool_id& pool) const {
    return Schedules(pool) && deps_.is_ownership_confirmed();
  }

  void Forward(const caller_request& incoming,
               const pool_id& pool,
               const fallback_handler& fallback) {
    const std::uint32_t partition = PoolPartitionOf(pool);
    if (!CanForward(incoming) || !HasNewerOwner(partition)) {
      fallback(false);
      return;
    }
    ++counts_.forwarded;
    const auto timeout = std::chrono::duration_cast<milliseconds>(
        (incoming.deadline - BootTime()) * owner_time_share_);
    deps_.owners->Forward(partition, incoming.request, timeout,
                          [self = weak_from_this(), incoming,
                           fallback](const forward_reply& reply) {
                            if (const auto relay = self.lock()) {
                              relay->HandleReply(incoming, reply, fallback);
                            }
                          });
  }

  const relay_counts& counts() const { return counts_; }

 private:
  static bool CanForward(const caller_request& incoming) {
    return peers::HopCountOf(incoming.request) < peers::kMaxHops;
  }

  // If this process is the latest known owner but its ownership is unconfirmed,
  // it would only forward to itself until it learns of its successor.
  bool HasNewerOwner(std::uint32_t partition) const {
    return deps_.owners->directory().Latest(partition).epoch >
           deps_.epoch_of(partition);
  }

  void HandleReply(const caller_request& incoming,
                   const forward_reply& reply,
                   const fallback_handler& fallback) {
    if (reply.outcome != forward_outcome::kAnswered) {
      ++counts_.owner_failures;
    }
    if (IsConclusive(reply)) {
      RespondWith(incoming, reply);
    } else {
      fallback(MayBeAppended(reply));
    }
  }

  dependencies deps_;
  double owner_time_share_;
  relay_counts counts_;
};

owner_relay::owner_relay(const dependencies& dependencies,
                         double owner_time_share)
    : impl_(std::make_shared<impl>(dependencies, owner_time_share)) {}

owner_relay::~owner_relay() = default;

bool owner_relay::Schedules(const pool_id& pool) const {
  return impl_->Schedules(pool);
}

bool owner_relay::Owns(const pool_id& pool) const {
  return impl_->Owns(pool);
}

void owner_relay::Forward(const caller_request& incoming,
                          const pool_id& pool,
                          const fallback_handler& fallback) {
  impl_->Forward(incoming, pool, fallback);
}

const relay_counts& owner_relay::counts() const {
  return impl_->counts();
}

}  // namespace plantainhead::jobs
