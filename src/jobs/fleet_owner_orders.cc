#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/fleet_owner_impl.h"

namespace plantainhead::jobs {

using adapter::duty_outcome;
using core::jobs::HostOf;
using core::jobs::service_result;

namespace {

service_result ToResult(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return service_result::kAccepted;
    case duty_outcome::kInvalid:
    case duty_outcome::kNotOfWave:
      return service_result::kPermanentFailure;
    case duty_outcome::kUnknown:
      return service_result::kUnknown;
    case duty_outcome::kFenced:
    case duty_outcome::kBusy:
    case duty_outcome::kRefused:
      return service_result::kTemporaryFailure;
  }
  return service_result::kUnknown;
}

}  // namespace

// Were a host that an earlier owner may have ordered chosen all the same, the
// order would wait for seconds, and its pool would count it as coming all the
// while: another host, which could move at once, would stay where it is.
std::set<core::jobs::host_id> fleet_owner::impl::HostsNotToMove(
    core::time_point now) const {
  std::set<core::jobs::host_id> hosts = keeper_.BusyHosts();
  hosts.merge(ledger_.BlockedHosts(now));
  return hosts;
}

// Two owners must not give orders for one host at about the same time. Each
// order is recorded before it is sent, under this owner's epoch: once a new
// owner has claimed the fleet the store refuses the record, and what was
// recorded before tells the new owner which hosts to leave alone for a while.
// It needn't wait for all others, so that hosts move on at once.
void fleet_owner::impl::SendOrders(core::time_point now) {
  if (writer_.IsBusy()) {
    return;
  }
  const std::vector<host_order> batch = TakeDueOrders(now);
  std::vector<adapter::keyed_record> records = RecordsOf(batch, now);
  if (records.empty()) {
    return;
  }
  writer_.Write(std::move(records), [self = weak_from_this(), batch,
                                     now](progress_writer::result result) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_) {
      owner->TakeRecorded(batch, now, result);
    }
  });
}

// Returns the orders for hosts for which no earlier owner may have given one.
std::vector<host_order> fleet_owner::impl::TakeDueOrders(core::time_point now) {
  return queue_.Take([this, now](const core::jobs::host_id& host) {
    return ledger_.MayOrder(host, now);
  });
}

// Returns the records of the orders, and drops those of orders that are so old
// that a new owner needn't know of them.
std::vector<adapter::keyed_record> fleet_owner::impl::RecordsOf(
    const std::vector<host_order>& batch,
    core::time_point now) {
  std::vector<adapter::keyed_record> records;
  for (const host_order& order : batch) {
    records.push_back(Encode(order_record{HostOf(order), deps_.holder, false}));
    ledger_.NoteOrder(HostOf(order), now);
  }
  for (const core::jobs::host_id& host : ledger_.TakeExpired(now)) {
    records.push_back(Encode(order_record{host, "", true}));
  }
  return records;
}

void fleet_owner::impl::TakeRecorded(const std::vector<host_order>& batch,
                                     core::time_point asked_at,
                                     progress_writer::result result) {
  if (result != progress_writer::result::kStored) {
    Lose();
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

// A new owner counts the time for which it leaves a host alone from its claim,
// which may follow the record at once. This process may have been suspended
// since it asked for the record, the store may have answered late, and orders
// wait for one another's connections.
bool fleet_owner::impl::MaySend(core::time_point recorded_at) const {
  return deps_.is_sure() &&
         BootTime() - recorded_at <= settings_.orders.max_send_delay;
}

std::function<bool()> fleet_owner::impl::SendGate(
    core::time_point recorded_at) {
  return [self = weak_from_this(), recorded_at] {
    const auto owner = self.lock();
    return owner && !owner->is_closed_ && owner->MaySend(recorded_at);
  };
}

void fleet_owner::impl::Send(const core::jobs::move_host& move,
                             core::time_point recorded_at) {
  client_.Move(move.host, move.pool, epoch_, settings_.order_timeout,
               SendGate(recorded_at),
               [self = weak_from_this(), move](duty_outcome outcome) {
                 const auto owner = self.lock();
                 if (owner && !owner->is_closed_) {
                   owner->TakeMove(move, outcome);
                 }
               });
}

void fleet_owner::impl::Send(const core::jobs::service_host& action,
                             core::time_point recorded_at) {
  client_.Service(action.host, action.wave, epoch_, settings_.order_timeout,
                  SendGate(recorded_at),
                  [self = weak_from_this(), action](duty_outcome outcome) {
                    const auto owner = self.lock();
                    if (owner && !owner->is_closed_) {
                      owner->TakeService(action, outcome);
                    }
                  });
}

void fleet_owner::impl::TakeMove(const core::jobs::move_host& move,
                                 duty_outcome outcome) {
  queue_.NoteFinished(move);
  observe::log_fields fields = {
      {"host", move.host},
      {"pool", move.pool},
      {"outcome", std::string(core::NameOf(outcome))}};
  if (const auto ordered_at = balancer_.OrderedAt(move.host)) {
    AppendAge("ordered_ms_ago", *ordered_at, &fields);
  }
  LogEvent(job_event::kHostMoved, fields);
  balancer_.OnMoveAnswer(move.host, outcome == duty_outcome::kAccepted,
                         outcome != duty_outcome::kUnknown, BootTime());
}

void fleet_owner::impl::TakeService(const core::jobs::service_host& action,
                                    duty_outcome outcome) {
  queue_.NoteFinished(action);
  const bool is_accepted = outcome == duty_outcome::kAccepted;
  LogEvent(is_accepted ? job_event::kHostServiced : job_event::kHostNotServiced,
           {{"host", action.host},
            {"wave", std::to_string(action.wave)},
            {"outcome", std::string(core::NameOf(outcome))}});
  if (outcome == duty_outcome::kFenced) {
    Lose();
    return;
  }
  keeper_.OnServiceAnswer(action.wave, action.host, ToResult(outcome),
                          BootTime());
  if (is_accepted) {
    records_.Put(EncodeServicedHost({action.wave, action.host}));
  }
}

}  // namespace plantainhead::jobs
