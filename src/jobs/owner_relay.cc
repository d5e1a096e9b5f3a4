#include "jobs/owner_relay.h"

#include <chrono>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/job_partitions.h"
#include "net/http_status.h"
#include "peers/passed_request.h"

namespace plantainhead::jobs {
namespace {

using core::jobs::pool_id;
using peers::pass_outcome;
using peers::pass_reply;
using std::chrono::milliseconds;

// An owner that refused may be the one that the store refuses, so that this
// process tries itself before it tells the caller so.
bool IsSettled(const pass_reply& reply) {
  return reply.outcome == pass_outcome::kAnswered &&
         reply.status != net::kUnavailable &&
         reply.status != net::kGatewayTimeout;
}

bool MayLand(const pass_reply& reply) {
  return reply.outcome == pass_outcome::kUnknown ||
         reply.status == net::kGatewayTimeout;
}

void Relay(const caller_request& asked, const pass_reply& reply) {
  net::server_response response;
  response.status = reply.status;
  response.body = reply.body;
  asked.respond(std::move(response));
}

}  // namespace

class owner_relay::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const dependencies& dependencies, double owner_share)
      : deps_(dependencies), owner_share_(owner_share) {}

  bool Schedules(const pool_id& pool) const {
    return deps_.epoch_of(PoolPartitionOf(pool)) != 0;
  }

  bool Owns(const pool_id& pool) const {
    return Schedules(pool) && deps_.is_sure();
  }

  void Ask(const caller_request& asked,
           const pool_id& pool,
           const unsettled_handler& otherwise) {
    const std::uint32_t partition = PoolPartitionOf(pool);
    if (!MayPassOn(asked) || !HasOwnerElsewhere(partition)) {
      otherwise(false);
      return;
    }
    ++counts_.passed_on;
    const auto left = std::chrono::duration_cast<milliseconds>(
        (asked.give_up_at - BootTime()) * owner_share_);
    deps_.owners->Pass(
        partition, asked.request, left,
        [self = weak_from_this(), asked, otherwise](const pass_reply& reply) {
          if (const auto relay = self.lock()) {
            relay->TakeReply(asked, reply, otherwise);
          }
        });
  }

  const relay_counts& counts() const { return counts_; }

 private:
  static bool MayPassOn(const caller_request& asked) {
    return peers::HopsOf(asked.request) < peers::kMostHops;
  }

  // An owner that isn't sure any more would only ask itself, until it knows of
  // the one that follows.
  bool HasOwnerElsewhere(std::uint32_t partition) const {
    return deps_.owners->book().Latest(partition).epoch >
           deps_.epoch_of(partition);
  }

  void TakeReply(const caller_request& asked,
                 const pass_reply& reply,
                 const unsettled_handler& otherwise) {
    if (reply.outcome != pass_outcome::kAnswered) {
      ++counts_.owner_failures;
    }
    if (IsSettled(reply)) {
      Relay(asked, reply);
    } else {
      otherwise(MayLand(reply));
    }
  }

  dependencies deps_;
  double owner_share_;
  relay_counts counts_;
};

owner_relay::owner_relay(const dependencies& dependencies, double owner_share)
    : impl_(std::make_shared<impl>(dependencies, owner_share)) {}

owner_relay::~owner_relay() = default;

bool owner_relay::Schedules(const pool_id& pool) const {
  return impl_->Schedules(pool);
}

bool owner_relay::Owns(const pool_id& pool) const {
  return impl_->Owns(pool);
}

void owner_relay::Ask(const caller_request& asked,
                      const pool_id& pool,
                      const unsettled_handler& otherwise) {
  impl_->Ask(asked, pool, otherwise);
}

const relay_counts& owner_relay::counts() const {
  return impl_->counts();
}

}  // namespace plantainhead::jobs
