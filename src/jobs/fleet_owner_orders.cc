#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/fleet_owner_impl.h"

namespace plantainhead::jobs {

using adapter::host_order_outcome;
using core::jobs::HostOf;
using core::jobs::move_result;
using core::jobs::service_result;

namespace {

move_result ToMoveResult(host_order_outcome outcome) {
  switch (outcome) {
    case host_order_outcome::kAccepted:
      return move_result::kAccepted;
    case host_order_outcome::kInvalid:
    case host_order_outcome::kNotInWave:
      return move_result::kImpossible;
    case host_order_outcome::kUnknown:
      return move_result::kUnknown;
    case host_order_outcome::kFenced:
    case host_order_outcome::kBusy:
    case host_order_outcome::kRefused:
      return move_result::kRefused;
  }
  return move_result::kUnknown;
}

service_result ToServiceResult(host_order_outcome outcome) {
  switch (outcome) {
    case host_order_outcome::kAccepted:
      return service_result::kAccepted;
    case host_order_outcome::kInvalid:
    case host_order_outcome::kNotInWave:
      return service_result::kPermanentFailure;
    case host_order_outcome::kUnknown:
      return service_result::kUnknown;
    case host_order_outcome::kFenced:
    case host_order_outcome::kBusy:
    case host_order_outcome::kRefused:
      return service_result::kTemporaryFailure;
  }
  return service_result::kUnknown;
}

}  // namespace

// If a host that an earlier owner may have ordered were selected, its order
// would wait for seconds while its pool counted it as arriving, and another
// host that could move immediately would stay where it is.
std::set<core::jobs::host_id> fleet_owner::impl::HostsExcludedFromMoves(
    core::time_point now) const {
  std::set<core::jobs::host_id> hosts = maintenance_.BusyHosts();
  hosts.merge(order_tracker_.BlockedHosts(now));
  return hosts;
}

// Two owners must not send orders for the same host at about the same time.
// Each order is recorded under this owner's epoch before it is sent: once a new
// owner has claimed the fleet, the store rejects the record, and earlier
// records tell the new owner which hosts not to order for a while. Other hosts
// can move immediately.
void fleet_owner::impl::SendOrders(core::time_point now) {
  if (writer_.IsBusy()) {
    return;
  }
  DropStaleOrders(now);
  const std::vector<host_order> batch = TakeDueOrders(now);
  std::vector<adapter::keyed_record> records = MakeOrderRecords(batch, now);
  if (records.empty()) {
    return;
  }
  writer_.Write(std::move(records), [self = weak_from_this(), batch,
                                     now](progress_writer::result result) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_) {
      owner->OnOrdersRecorded(batch, now, result);
    }
  });
}

// An order names a host and not its incarnation. If a host restarts by itself
// while its order waits, the order would terminate the tasks of the next
// incarnation.
void fleet_owner::impl::DropStaleOrders(core::time_point now) {
  const std::vector<host_order> stale =
      queue_.TakeStale([this](const host_order& order) {
        return std::visit([this](const auto& kind) { return IsStale(kind); },
                          order);
      });
  for (const host_order& order : stale) {
    LogEvent(job_event::kHostOrderDropped, {{"host", HostOf(order)}});
    std::visit([this, now](const auto& kind) { NoteNotSent(kind, now); },
               order);
  }
}

bool fleet_owner::impl::IsStale(const core::jobs::move_host& move) const {
  return !balancer_.MayMove(move);
}

bool fleet_owner::impl::IsStale(const core::jobs::service_host& action) const {
  return !maintenance_.MayService(action);
}

void fleet_owner::impl::NoteNotSent(const core::jobs::move_host& move,
                                    core::time_point now) {
  balancer_.OnMoveAnswer(move.host, move_result::kRefused, now);
}

void fleet_owner::impl::NoteNotSent(const core::jobs::service_host& action,
                                    core::time_point now) {
  maintenance_.OnServiceAnswer(action.wave, action.host,
                               service_result::kTemporaryFailure, now);
}

// Returns the queued orders for hosts that no earlier owner may have ordered
// recently.
std::vector<host_order> fleet_owner::impl::TakeDueOrders(core::time_point now) {
  return queue_.Take([this, now](const core::jobs::host_id& host) {
    return order_tracker_.MayOrder(host, now);
  });
}

// Returns the records of the orders, and the removals of records that are so
// old that a new owner does not need them.
std::vector<adapter::keyed_record> fleet_owner::impl::MakeOrderRecords(
    const std::vector<host_order>& batch,
    core::time_point now) {
  std::vector<adapter::keyed_record> records;
  for (const host_order& order : batch) {
    records.push_back(Encode(order_record{HostOf(order), deps_.holder, false}));
    order_tracker_.NoteOrder(HostOf(order), now);
  }
  for (const core::jobs::host_id& host : order_tracker_.TakeExpired(now)) {
    records.push_back(Encode(order_record{host, "", true}));
  }
  return records;
}

void fleet_owner::impl::OnOrdersRecorded(const std::vector<host_order>& batch,
                                         core::time_point asked_at,
                                         progress_writer::result result) {
  if (result != progress_writer::result::kStored) {
    LoseOwnership();
    return;
  }
  if (!MaySend(asked_at)) {
    LogEvent(job_event::kHostOrdersLate,
             {{"orders", std::to_string(batch.size())},
              {"recorded_ms_ago", MillisOf(BootTime() - asked_at)}});
    queue_.Requeue(batch);
    return;
  }
  for (const host_order& order : batch) {
    std::visit([&](const auto& kind) { Send(kind, asked_at); }, order);
  }
}

// A new owner measures the time for which it does not order a host from its
// claim, which may follow the record immediately. Since this process requested
// the record, it may have been suspended, the store may have answered late, and
// orders may have waited for a connection.
bool fleet_owner::impl::MaySend(core::time_point recorded_at) const {
  return deps_.is_ownership_confirmed() &&
         BootTime() - recorded_at <= settings_.orders.max_send_delay;
}

std::function<bool()> fleet_owner::impl::MakeSendCheck(
    core::time_point recorded_at) {
  return [self = weak_from_this(), recorded_at] {
    const auto owner = self.lock();
    return owner && !owner->is_closed_ && owner->MaySend(recorded_at);
  };
}

void fleet_owner::impl::Send(const core::jobs::move_host& move,
                             core::time_point recorded_at) {
  client_.MoveHost(move.host, move.pool, epoch_, settings_.order_timeout,
                   MakeSendCheck(recorded_at),
                   [self = weak_from_this(), move](host_order_outcome outcome) {
                     const auto owner = self.lock();
                     if (owner && !owner->is_closed_) {
                       owner->OnMoveReply(move, outcome);
                     }
                   });
}

void fleet_owner::impl::Send(const core::jobs::service_host& action,
                             core::time_point recorded_at) {
  client_.ServiceHost(
      action.host, action.wave, epoch_, settings_.order_timeout,
      MakeSendCheck(recorded_at),
      [self = weak_from_this(), action](host_order_outcome outcome) {
        const auto owner = self.lock();
        if (owner && !owner->is_closed_) {
          owner->OnServiceReply(action, outcome);
        }
      });
}

void fleet_owner::impl::OnMoveReply(const core::jobs::move_host& move,
                                    host_order_outcome outcome) {
  queue_.NoteFinished(move);
  observe::log_fields fields = {
      {"host", move.host},
      {"pool", move.pool},
      {"outcome", std::string(core::NameOf(outcome))}};
  if (const auto ordered_at = balancer_.OrderedAt(move.host)) {
    AppendAge("ordered_ms_ago", *ordered_at, &fields);
  }
  LogEvent(job_event::kHostMoved, fields);
  if (outcome == host_order_outcome::kFenced) {
    LoseOwnership();
    return;
  }
  balancer_.OnMoveAnswer(move.host, ToMoveResult(outcome), BootTime());
}

void fleet_owner::impl::OnServiceReply(const core::jobs::service_host& action,
                                       host_order_outcome outcome) {
  queue_.NoteFinished(action);
  const bool is_accepted = outcome == host_order_outcome::kAccepted;
  LogEvent(is_accepted ? job_event::kHostServiced : job_event::kHostNotServiced,
           {{"host", action.host},
            {"wave", std::to_string(action.wave)},
            {"outcome", std::string(core::NameOf(outcome))}});
  if (outcome == host_order_outcome::kFenced) {
    LoseOwnership();
    return;
  }
  maintenance_.OnServiceAnswer(action.wave, action.host,
                               ToServiceResult(outcome), BootTime());
  if (is_accepted) {
    fleet_outbox_.Put(EncodeServicedHost({action.wave, action.host}));
  }
}

}  // namespace plantainhead::jobs
