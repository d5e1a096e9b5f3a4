#include "core/claims/claim_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainhead::core {
namespace {

std::string Hex(std::uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kBitsPerDigit = 4;
  std::string text;
  do {
    text.insert(text.begin(), kDigits[value & 0xF]);
    value >>= kBitsPerDigit;
  } while (value != 0);
  return text;
}

template <typename Items>
auto* FindNumber(Items& items, std::uint64_t number) {
  const auto it =
      std::lower_bound(items.begin(), items.end(), number,
                       [](const auto& queued_record, std::uint64_t wanted) {
                         return queued_record.number < wanted;
                       });
  const bool found = it != items.end() && it->number == number;
  return found ? &*it : nullptr;
}

}  // namespace

claim_writer::claim_writer(stream_name stream,
                           incarnation self,
                           const claim_options* options,
                           append_ids* ids)
    : stream_(std::move(stream)),
      author_(Hex(static_cast<std::uint64_t>(self))),
      options_(options),
      ids_(ids) {}

std::uint64_t claim_writer::Add(record_body body) {
  const std::uint64_t number = ++last_number_;
  queued_record added;
  added.number = number;
  added.content.id =
      record_id(author_ + '.' + stream_.value() + '.' + std::to_string(number));
  added.content.author = author_;
  added.content.body = std::move(body);
  queue_.push_back(std::move(added));
  return number;
}

bool claim_writer::Withdraw(std::uint64_t number) {
  if (queued_record* queued = FindNumber(queue_, number)) {
    queued->withdrawn = true;
    return !queued->may_be_appended;
  }
  if (queued_record* sent = FindNumber(in_flight_, number)) {
    sent->withdrawn = true;
  }
  return false;
}

void claim_writer::Flush(time_point now, effects& out, claim_stats& stats) {
  if (append_ != append_id::kNone || now < not_before_) {
    return;
  }
  while (!queue_.empty() && in_flight_.size() < options_->append_records) {
    if (!queue_.front().withdrawn) {
      in_flight_.push_back(std::move(queue_.front()));
    }
    queue_.pop_front();
  }
  if (in_flight_.empty()) {
    return;
  }
  append_records append;
  append.append = ids_->Next();
  append.stream = stream_;
  append.records.reserve(in_flight_.size());
  for (const queued_record& sent : in_flight_) {
    append.records.push_back(sent.content);
  }
  append_ = append.append;
  not_before_ = now + options_->append_interval;
  ++stats.appends;
  stats.records += append.records.size();
  out.Do(std::move(append));
}

bool claim_writer::OnAppendFinished(const append_finished& result,
                                    time_point now) {
  if (append_ == append_id::kNone || result.append != append_) {
    return false;
  }
  append_ = append_id::kNone;
  if (result.result == append_result::kAppended) {
    in_flight_.clear();
    backoff_ = duration::zero();
    return true;
  }
  backoff_ = std::clamp(backoff_ * 2, options_->initial_backoff,
                        options_->max_backoff);
  not_before_ = std::max(not_before_, now + backoff_);
  Requeue(result.result == append_result::kUnknown);
  return true;
}

void claim_writer::Requeue(bool may_be_appended) {
  std::erase_if(in_flight_,
                [](const queued_record& sent) { return sent.withdrawn; });
  for (queued_record& sent : in_flight_) {
    sent.may_be_appended = sent.may_be_appended || may_be_appended;
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(in_flight_.begin()),
                std::make_move_iterator(in_flight_.end()));
  in_flight_.clear();
}

}  // namespace plantainhead::core
