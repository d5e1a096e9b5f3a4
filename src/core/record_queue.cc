#include "plantainhead/core/record_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/jitter.h"
#include "plantainhead/core/record_number.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

// A record is refused for good when the log refuses it alone this often. The
// first refusal may have been meant for another record of the batch, or for a
// passing lack of room.
constexpr int kRefusalLimit = 4;

template <typename Body>
constexpr bool kHasEpoch = requires(const Body& body) {
  body.epoch;
};

}  // namespace

bool IsVoid(const record_body& body, const fleet_state& state) {
  const auto is_member = [&](incarnation who) {
    return state.members.contains(who);
  };
  return std::visit(
      overloaded{
          [&](const accuse_entry& item) {
            return !is_member(item.accuser) || !is_member(item.accused);
          },
          [&](const withdraw_accusation& item) {
            return !is_member(item.accuser) || !is_member(item.accused);
          },
          [&](const take_planner_lease& item) {
            return item.expected < state.lease.epoch;
          },
          [&](const auto& item) {
            if constexpr (kHasEpoch<std::decay_t<decltype(item)>>) {
              return item.epoch != 0 && item.epoch < state.lease.epoch;
            } else {
              return false;
            }
          },
      },
      body);
}

record_queue::record_queue(record_queue_settings settings,
                           append_ids* ids,
                           random_source* random)
    : settings_(settings), ids_(ids), random_(random) {}

std::optional<record_id> record_queue::Push(std::string author,
                                            record_body body) {
  if (waiting_.size() >= settings_.limit) {
    return std::nullopt;
  }
  record_id id = MakeRecordId({settings_.self, ++last_number_});
  waiting_record item;
  item.content = {id, std::move(author), std::move(body)};
  waiting_.push_back(std::move(item));
  return id;
}

std::deque<record_queue::waiting_record>::iterator record_queue::Find(
    const record_id& id) {
  return std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const waiting_record& item) { return item.content.id == id; });
}

std::optional<withdrawal> record_queue::Withdraw(const record_id& id) {
  const auto it = Find(id);
  if (it == waiting_.end()) {
    return std::nullopt;
  }
  const bool maybe_written = it->maybe_written || it->in_flight;
  waiting_.erase(it);
  return maybe_written ? withdrawal::kMaybeWritten : withdrawal::kNotWritten;
}

void record_queue::OnReadBack(const record_id& id) {
  const auto it = Find(id);
  if (it != waiting_.end()) {
    waiting_.erase(it);
  }
}

// All entries notice the end of an outage at the same moment and each has a
// backlog. Without the spread the log would get them all at once and might fail
// again under them.
void record_queue::OnRecovered(time_point now) {
  backoff_ = duration::zero();
  next_append_ = now + Jitter(*random_, settings_.recovery_spread);
}

bool record_queue::OnAppendFinished(time_point now,
                                    const append_finished& event,
                                    std::vector<record_id>& refused,
                                    effects& out) {
  if (event.append == append_id::kNone || event.append != in_flight_) {
    return false;
  }
  in_flight_ = append_id::kNone;
  Settle(event);
  if (event.result == append_result::kAppended) {
    backoff_ = duration::zero();
  } else {
    BackOff(now);
  }
  DropRefused(refused, out);
  return true;
}

void record_queue::Settle(const append_finished& event) {
  if (event.result == append_result::kAppended) {
    std::erase_if(waiting_,
                  [](const waiting_record& item) { return item.in_flight; });
    return;
  }
  for (waiting_record& item : waiting_) {
    if (!item.in_flight) {
      continue;
    }
    item.in_flight = false;
    if (event.result == append_result::kRejected) {
      ++item.refusals;
    } else {
      item.maybe_written = true;
    }
  }
}

void record_queue::DropRefused(std::vector<record_id>& refused, effects& out) {
  while (!waiting_.empty() && waiting_.front().refusals >= kRefusalLimit) {
    const record_id id = waiting_.front().content.id;
    out.Note(note_level::kError, "the log refuses a record",
             {{"record", id.value()}});
    refused.push_back(id);
    waiting_.pop_front();
  }
}

void record_queue::BackOff(time_point now) {
  backoff_ = backoff_ == duration::zero()
                 ? settings_.first_backoff
                 : std::min(backoff_ * 2, settings_.greatest_backoff);
  const duration half = backoff_ / 2;
  next_append_ = now + half + Jitter(*random_, half);
}

void record_queue::DropVoid(const fleet_state& state, effects& out) {
  const std::size_t dropped =
      std::erase_if(waiting_, [&](const waiting_record& item) {
        return IsVoid(item.content.body, state);
      });
  if (dropped > 0) {
    out.Note(note_level::kInfo, "dropped records that have become void",
             {{"records", std::to_string(dropped)}});
  }
}

void record_queue::Pump(time_point now,
                        const fleet_state& state,
                        effects& out) {
  if (in_flight_ != append_id::kNone || now < next_append_) {
    return;
  }
  DropVoid(state, out);
  if (waiting_.empty()) {
    return;
  }
  // After a refusal records go one by one, so that one which the log never
  // takes holds up no other.
  const std::size_t most =
      waiting_.front().refusals > 0 ? 1 : settings_.batch_records;
  append_records append;
  append.append = ids_->Next();
  append.stream = kControlStream;
  for (waiting_record& item : waiting_) {
    if (append.records.size() == most) {
      break;
    }
    item.in_flight = true;
    append.records.push_back(item.content);
  }
  in_flight_ = append.append;
  next_append_ = now + settings_.append_interval;
  out.Do(std::move(append));
}

}  // namespace plantainhead::core
