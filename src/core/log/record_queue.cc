#include "plantainhead/core/log/record_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/jitter.h"
#include "plantainhead/core/log/record_number.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

template <typename Body>
constexpr bool kHasEpoch = requires(const Body& body) {
  body.epoch;
};

}  // namespace

bool IsObsolete(const record_body& body, const fleet_state& state) {
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
    : settings_(settings),
      ids_(ids),
      random_(random),
      batch_(settings.max_batch_records) {}

record_id record_queue::NextId() {
  return MakeRecordId({settings_.self, ++last_number_});
}

std::optional<record_id> record_queue::Push(std::string author,
                                            record_body body) {
  if (waiting_.size() >= settings_.limit) {
    return std::nullopt;
  }
  record_id id = NextId();
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

// All entries detect the end of an outage at the same time, each with a
// backlog. Without random delays the log would receive all backlogs at once and
// could fail again under the load.
void record_queue::OnRecovered(time_point now) {
  backoff_ = duration::zero();
  batch_ = settings_.max_batch_records;
  next_append_ = now + Jitter(*random_, settings_.recovery_jitter);
}

bool record_queue::OnAppendFinished(time_point now,
                                    const append_finished& event,
                                    std::vector<renamed_record>& renamed) {
  if (event.append == append_id::kNone || event.append != in_flight_) {
    return false;
  }
  in_flight_ = append_id::kNone;
  switch (event.result) {
    case append_result::kAppended:
      OnAppended();
      break;
    case append_result::kUnknown:
      OnUnknown(now);
      break;
    case append_result::kRejected:
      OnRejected(now, renamed);
      break;
  }
  return true;
}

void record_queue::OnAppended() {
  std::erase_if(waiting_,
                [](const waiting_record& item) { return item.in_flight; });
  backoff_ = duration::zero();
  batch_ = std::min(batch_ * 2, settings_.max_batch_records);
}

void record_queue::OnUnknown(time_point now) {
  for (waiting_record& item : waiting_) {
    item.maybe_written = item.maybe_written || item.in_flight;
    item.in_flight = false;
  }
  BackOff(now, settings_.max_backoff);
}

// The log rejects appends while it cannot be connected to, or when an append is
// too large. Such a rejection is no reason to drop a record, but a record that
// the log never accepts must not block the others. Rejected records therefore
// move behind the rest, and the next append is half as large, until such a
// record is alone in its append. Records of one writer are applied in the order
// of their numbers, so a moved record gets a new id; this is safe because the
// old one is certainly not in the log. A record whose earlier append ended with
// an unknown result may be in the log, so it keeps its id and position.
void record_queue::OnRejected(time_point now,
                              std::vector<renamed_record>& renamed) {
  std::size_t sent = 0;
  std::deque<waiting_record> kept;
  std::deque<waiting_record> refused;
  for (waiting_record& item : waiting_) {
    sent += item.in_flight ? 1 : 0;
    const bool is_refused = item.in_flight && !item.maybe_written;
    item.in_flight = false;
    (is_refused ? refused : kept).push_back(std::move(item));
  }
  for (waiting_record& item : refused) {
    const record_id id = NextId();
    renamed.push_back({item.content.id, id});
    item.content.id = id;
    kept.push_back(std::move(item));
  }
  waiting_ = std::move(kept);
  batch_ = std::max<std::size_t>(1, std::min(sent, batch_) / 2);
  BackOff(now, settings_.max_rejected_backoff);
}

void record_queue::BackOff(time_point now, duration greatest) {
  const duration next =
      backoff_ == duration::zero() ? settings_.initial_backoff : backoff_ * 2;
  backoff_ = std::min(next, greatest);
  const duration half = backoff_ / 2;
  next_append_ = now + half + Jitter(*random_, half);
}

void record_queue::DropObsolete(const fleet_state& state, effects& out) {
  const std::size_t dropped =
      std::erase_if(waiting_, [&](const waiting_record& item) {
        return IsObsolete(item.content.body, state);
      });
  if (dropped > 0) {
    out.Log(log_severity::kInfo, "dropped obsolete records",
            {{"records", std::to_string(dropped)}});
  }
}

void record_queue::AppendPending(time_point now,
                                 const fleet_state& state,
                                 effects& out) {
  if (in_flight_ != append_id::kNone || now < next_append_) {
    return;
  }
  DropObsolete(state, out);
  if (waiting_.empty()) {
    return;
  }
  append_records append;
  append.append = ids_->Next();
  append.stream = kControlStream;
  for (waiting_record& item : waiting_) {
    if (append.records.size() == batch_) {
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
