#include "plantainhead/core/requests/request_queue.h"

#include <algorithm>
#include <cmath>

namespace plantainhead::core {
namespace {

/// Weight of a new service time in the mean.
constexpr double kServiceTimeWeight = 1.0 / 16;
/// Weight of one request's end in the burn.
constexpr double kBurnWeight = 1.0 / 128;
/// Weight of one dispatch in the shares of the classes.
constexpr double kShareWeight = 1.0 / 256;
/// Stands in until the first service time is measured.
constexpr double kFirstGuessUs = 10000;
/// A budget of less than this counts as this, so that the burn stays finite.
constexpr double kLeastAllowance = 0.0001;
constexpr double kMostCredit = 2;

duration Microseconds(double count) {
  return duration(static_cast<duration::rep>(count));
}

}  // namespace

request_queue::lane& request_queue::LaneOf(const work_class& work) {
  lane& found = lanes_[work.name];
  found.can_wait = work.can_wait;
  found.within = work.within;
  return found;
}

const request_queue::lane* request_queue::FindLane(
    const class_name& name) const {
  const auto found = lanes_.find(name);
  return found == lanes_.end() ? nullptr : &found->second;
}

request_queue::waiting request_queue::MakeWaiting(const queue_item& item,
                                                  const work_class& work,
                                                  const lane& into) const {
  waiting made;
  made.id = item.id;
  made.deadline = item.deadline;
  made.limit = std::min(item.deadline, item.arrival + work.within);
  // A class whose target is shorter than its service takes would be refused
  // for ever; then only the caller's deadline counts.
  if (work.within < LikelyServiceTime(into)) {
    made.limit = item.deadline;
  }
  made.key = made.limit;
  return made;
}

void request_queue::Insert(lane& into, const waiting& item) {
  const auto after = [](const waiting& left, const waiting& right) {
    return left.key < right.key;
  };
  const auto at =
      std::upper_bound(into.items.begin(), into.items.end(), item, after);
  into.items.insert(at, item);
  places_[item.id] = {&into, item.key};
}

admission request_queue::Offer(const queue_item& item,
                               const work_class& work,
                               std::uint32_t slots,
                               std::uint32_t free,
                               time_point now) {
  lane& into = LaneOf(work);
  const waiting made = MakeWaiting(item, work, into);
  admission result;
  result.predicted_wait = WaitOf(into, made.key, slots, free);
  const duration most = MostWait(into, made.limit - now);
  const bool at_once = result.predicted_wait == duration::zero();
  if (places_.size() < kMostQueued &&
      (at_once || result.predicted_wait <= most)) {
    result.admitted = true;
    Insert(into, made);
    return result;
  }
  result.retry_after = std::clamp(result.predicted_wait - most,
                                  kLeastRetryAfter, kMostRetryAfter);
  CountOutcome(into, work, false);
  return result;
}

void request_queue::CountDirect(const work_class& work) {
  CountDispatch(LaneOf(work));
}

void request_queue::PutBack(const queue_item& item, const work_class& work) {
  lane& into = LaneOf(work);
  Insert(into, MakeWaiting(item, work, into));
}

// Moves the whole class, so that its own requests keep their order.
duration request_queue::Forward(const lane& in) {
  const auto within = static_cast<double>(in.within.count());
  return Microseconds(within * kMostForward * std::min(1.0, in.burn));
}

time_point request_queue::HeadOf(const lane& in) {
  return in.items.front().key - Forward(in);
}

request_queue::lane* request_queue::First(bool can_wait) {
  lane* first = nullptr;
  for (auto& [name, candidate] : lanes_) {
    if (candidate.can_wait != can_wait || candidate.items.empty()) {
      continue;
    }
    if (first == nullptr || HeadOf(candidate) < HeadOf(*first)) {
      first = &candidate;
    }
  }
  return first;
}

request_queue::lane* request_queue::Next() {
  lane* urgent = First(false);
  lane* waiting = First(true);
  if (urgent == nullptr || waiting == nullptr) {
    return urgent == nullptr ? waiting : urgent;
  }
  // Both wait: the credit bounds the share of those that can wait from below,
  // or, once their limit is the earliest, from above.
  const bool due = HeadOf(*waiting) <= HeadOf(*urgent);
  waiting_credit_ =
      std::min(kMostCredit, waiting_credit_ +
                                (due ? kMostWaitingShare : kLeastWaitingShare));
  const bool turn = waiting_credit_ >= 1;
  if (turn) {
    waiting_credit_ -= 1;
  }
  return turn ? waiting : urgent;
}

std::optional<std::uint64_t> request_queue::Pop(
    time_point now,
    std::vector<std::uint64_t>& refused) {
  while (lane* next = Next()) {
    const waiting item = next->items.front();
    next->items.pop_front();
    places_.erase(item.id);
    const bool hopeless =
        item.deadline <= now || now + LikelyServiceTime(*next) > item.limit;
    if (item.deadline > now && (!hopeless || places_.empty())) {
      CountDispatch(*next);
      return item.id;
    }
    refused.push_back(item.id);
  }
  return std::nullopt;
}

bool request_queue::Erase(std::uint64_t id) {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return false;
  }
  std::deque<waiting>& items = found->second.in->items;
  const auto before = [](const waiting& item, time_point key) {
    return item.key < key;
  };
  auto at =
      std::lower_bound(items.begin(), items.end(), found->second.key, before);
  while (at->id != id) {
    ++at;
  }
  items.erase(at);
  places_.erase(found);
  return true;
}

void request_queue::CountOutcome(lane& in,
                                 const work_class& work,
                                 bool served) {
  const double allowed = std::max(kLeastAllowance, work.unavailability);
  const double burn = served ? 0 : 1 / allowed;
  in.burn += kBurnWeight * (burn - in.burn);
}

void request_queue::OnServed(const work_class& work,
                             duration service_time,
                             bool in_time) {
  lane& in = LaneOf(work);
  const auto took = static_cast<double>(service_time.count());
  if (in.mean_us == 0) {
    in.mean_us = took;
  }
  in.deviation_us +=
      kServiceTimeWeight * (std::abs(took - in.mean_us) - in.deviation_us);
  in.mean_us += kServiceTimeWeight * (took - in.mean_us);
  mean_us_ =
      mean_us_ == 0 ? took : mean_us_ + kServiceTimeWeight * (took - mean_us_);
  CountOutcome(in, work, in_time);
}

void request_queue::OnUnserved(const work_class& work) {
  CountOutcome(LaneOf(work), work, false);
}

std::size_t request_queue::CountAhead(const lane& in, time_point key) const {
  const auto after = [](time_point wanted, const waiting& item) {
    return wanted < item.key;
  };
  const auto end =
      std::upper_bound(in.items.begin(), in.items.end(), key, after);
  return static_cast<std::size_t>(end - in.items.begin());
}

duration request_queue::WaitOf(const lane& in,
                               time_point key,
                               std::uint32_t slots,
                               std::uint32_t free) const {
  if (slots == 0) {
    return kMostRetryAfter;
  }
  double ahead = 0;
  for (const auto& [name, other] : lanes_) {
    // Work that can wait lets all other work go first.
    const bool all = in.can_wait && !other.can_wait;
    if (all || other.can_wait == in.can_wait) {
      ahead += static_cast<double>(
          all ? other.items.size()
              : CountAhead(other, key - Forward(in) + Forward(other)));
    }
  }
  if (ahead < free) {
    return duration::zero();
  }
  const double mean = mean_us_ == 0 ? kFirstGuessUs : mean_us_;
  return Microseconds((ahead + 1) * mean / slots / ShareLeftFor(in));
}

// Requests that arrive later and go first take slots too: without them the
// prediction falls short by as much as the tighter classes get, and requests
// are let in that can't be served in time.
double request_queue::ShareLeftFor(const lane& in) const {
  double left = 1;
  for (const auto& [name, other] : lanes_) {
    const bool goes_first = in.can_wait
                                ? !other.can_wait
                                : !other.can_wait && other.within < in.within;
    left -= goes_first ? other.share : 0;
  }
  return std::max(left, kLeastWaitingShare);
}

bool request_queue::IsTightest(const lane& in) const {
  return std::none_of(lanes_.begin(), lanes_.end(), [&](const auto& other) {
    return GoesFirst(other.second, in);
  });
}

bool request_queue::GoesFirst(const lane& first, const lane& second) {
  if (first.can_wait || second.can_wait) {
    return !first.can_wait;
  }
  return first.within < second.within;
}

void request_queue::CountDispatch(const lane& in) {
  for (auto& [name, other] : lanes_) {
    const double now = &other == &in ? 1 : 0;
    other.share += kShareWeight * (now - other.share);
  }
}

duration request_queue::MostWait(const lane& in, duration left) const {
  const double part = IsTightest(in) ? kWaitPart : kLooseWaitPart;
  return Microseconds(static_cast<double>(left.count()) * part);
}

duration request_queue::RetryAfter(const work_class& work,
                                   std::uint32_t slots,
                                   std::uint32_t free,
                                   time_point now) const {
  const lane* found = FindLane(work.name);
  if (found == nullptr) {
    return kLeastRetryAfter;
  }
  const duration wait = WaitOf(*found, now + work.within, slots, free);
  return std::clamp(wait - MostWait(*found, work.within), kLeastRetryAfter,
                    kMostRetryAfter);
}

duration request_queue::LikelyServiceTime(const lane& in) {
  return Microseconds(in.mean_us + in.deviation_us);
}

void request_queue::KeepClasses(const std::vector<work_class>& classes) {
  std::erase_if(lanes_, [&](const auto& known) {
    const bool is_kept =
        std::any_of(classes.begin(), classes.end(),
                    [&](const auto& work) { return work.name == known.first; });
    return !is_kept && known.second.items.empty();
  });
}

std::vector<std::uint64_t> request_queue::Ids() const {
  std::vector<std::uint64_t> ids;
  for (const auto& [name, in] : lanes_) {
    for (const waiting& item : in.items) {
      ids.push_back(item.id);
    }
  }
  return ids;
}

}  // namespace plantainhead::core
