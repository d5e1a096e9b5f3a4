#include "plantainhead/core/requests/request_queue.h"

#include <algorithm>
#include <cmath>

namespace plantainhead::core {
namespace {

/// Weight of a new service time in the moving averages.
constexpr double kServiceTimeWeight = 1.0 / 16;
/// Weight of one request's outcome in the burn rate.
constexpr double kBurnRateWeight = 1.0 / 128;
/// Weight of one dispatch in the shares of the classes.
constexpr double kShareWeight = 1.0 / 256;
/// Assumed service time until the first one is measured.
constexpr double kInitialServiceTimeUs = 10000;
/// Lower bound for the allowed unavailability, so that the burn rate stays
/// finite.
constexpr double kMinUnavailability = 0.0001;
constexpr double kMaxCredit = 2;

duration Microseconds(double count) {
  return duration(static_cast<duration::rep>(count));
}

}  // namespace

request_queue::class_queue& request_queue::ClassQueueFor(
    const work_class& work) {
  class_queue& found = class_queues_[work.name];
  found.can_wait = work.can_wait;
  found.within = work.within;
  return found;
}

const request_queue::class_queue* request_queue::FindClassQueue(
    const class_name& name) const {
  const auto found = class_queues_.find(name);
  return found == class_queues_.end() ? nullptr : &found->second;
}

request_queue::queued_request request_queue::MakeQueuedRequest(
    const queue_item& item,
    const work_class& work,
    const class_queue& queue) const {
  queued_request made;
  made.id = item.id;
  made.deadline = item.deadline;
  made.effective_deadline = std::min(item.deadline, item.arrival + work.within);
  // A class whose target is shorter than its service time would always be
  // refused; in that case only the caller's deadline counts.
  if (work.within < ExpectedServiceTime(queue)) {
    made.effective_deadline = item.deadline;
  }
  made.key = made.effective_deadline;
  return made;
}

void request_queue::Insert(class_queue& queue, const queued_request& item) {
  const auto after = [](const queued_request& left,
                        const queued_request& right) {
    return left.key < right.key;
  };
  const auto at =
      std::upper_bound(queue.items.begin(), queue.items.end(), item, after);
  queue.items.insert(at, item);
  positions_[item.id] = {&queue, item.key};
}

admission request_queue::Offer(const queue_item& item,
                               const work_class& work,
                               std::uint32_t slots,
                               std::uint32_t free,
                               time_point now) {
  class_queue& queue = ClassQueueFor(work);
  const queued_request made = MakeQueuedRequest(item, work, queue);
  admission result;
  result.predicted_wait = PredictWait(queue, made.key, slots, free);
  const duration most = MaxWait(queue, made.effective_deadline - now);
  const bool at_once = result.predicted_wait == duration::zero();
  if (positions_.size() < kMaxQueued &&
      (at_once || result.predicted_wait <= most)) {
    result.admitted = true;
    Insert(queue, made);
    return result;
  }
  result.retry_after =
      std::clamp(result.predicted_wait - most, kMinRetryAfter, kMaxRetryAfter);
  CountOutcome(queue, work, false);
  return result;
}

void request_queue::CountDirectDispatch(const work_class& work) {
  CountDispatch(ClassQueueFor(work));
}

void request_queue::Requeue(const queue_item& item, const work_class& work) {
  class_queue& queue = ClassQueueFor(work);
  Insert(queue, MakeQueuedRequest(item, work, queue));
}

// Moves the whole class forward, so that its own requests keep their order.
duration request_queue::Boost(const class_queue& queue) {
  const auto within = static_cast<double>(queue.within.count());
  return Microseconds(within * kMaxBoost * std::min(1.0, queue.burn_rate));
}

time_point request_queue::HeadKey(const class_queue& queue) {
  return queue.items.front().key - Boost(queue);
}

request_queue::class_queue* request_queue::EarliestQueue(bool can_wait) {
  class_queue* first = nullptr;
  for (auto& [name, candidate] : class_queues_) {
    if (candidate.can_wait != can_wait || candidate.items.empty()) {
      continue;
    }
    if (first == nullptr || HeadKey(candidate) < HeadKey(*first)) {
      first = &candidate;
    }
  }
  return first;
}

request_queue::class_queue* request_queue::SelectNext() {
  class_queue* urgent = EarliestQueue(false);
  class_queue* deferrable = EarliestQueue(true);
  if (urgent == nullptr || deferrable == nullptr) {
    return urgent == nullptr ? deferrable : urgent;
  }
  // Both kinds are queued: the credit guarantees classes that can wait a
  // minimum share or, once their effective deadline is the earliest, limits
  // them to a maximum share.
  const bool due = HeadKey(*deferrable) <= HeadKey(*urgent);
  deferrable_credit_ = std::min(
      kMaxCredit,
      deferrable_credit_ + (due ? kMaxDeferrableShare : kMinDeferrableShare));
  const bool turn = deferrable_credit_ >= 1;
  if (turn) {
    deferrable_credit_ -= 1;
  }
  return turn ? deferrable : urgent;
}

std::optional<std::uint64_t> request_queue::Pop(
    time_point now,
    std::vector<std::uint64_t>& refused) {
  while (class_queue* next = SelectNext()) {
    const queued_request item = next->items.front();
    next->items.pop_front();
    positions_.erase(item.id);
    const bool hopeless =
        item.deadline <= now ||
        now + ExpectedServiceTime(*next) > item.effective_deadline;
    if (item.deadline > now && (!hopeless || positions_.empty())) {
      CountDispatch(*next);
      return item.id;
    }
    refused.push_back(item.id);
  }
  return std::nullopt;
}

bool request_queue::Erase(std::uint64_t id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return false;
  }
  std::deque<queued_request>& items = found->second.queue->items;
  const auto before = [](const queued_request& item, time_point key) {
    return item.key < key;
  };
  auto at =
      std::lower_bound(items.begin(), items.end(), found->second.key, before);
  while (at->id != id) {
    ++at;
  }
  items.erase(at);
  positions_.erase(found);
  return true;
}

void request_queue::CountOutcome(class_queue& queue,
                                 const work_class& work,
                                 bool served) {
  const double allowed = std::max(kMinUnavailability, work.unavailability);
  const double burn_rate = served ? 0 : 1 / allowed;
  queue.burn_rate += kBurnRateWeight * (burn_rate - queue.burn_rate);
}

void request_queue::OnServed(const work_class& work,
                             duration service_time,
                             bool in_time) {
  class_queue& queue = ClassQueueFor(work);
  const auto took = static_cast<double>(service_time.count());
  if (queue.mean_service_us == 0) {
    queue.mean_service_us = took;
  }
  queue.service_deviation_us +=
      kServiceTimeWeight *
      (std::abs(took - queue.mean_service_us) - queue.service_deviation_us);
  queue.mean_service_us += kServiceTimeWeight * (took - queue.mean_service_us);
  mean_service_us_ =
      mean_service_us_ == 0
          ? took
          : mean_service_us_ + kServiceTimeWeight * (took - mean_service_us_);
  CountOutcome(queue, work, in_time);
}

void request_queue::OnUnserved(const work_class& work) {
  CountOutcome(ClassQueueFor(work), work, false);
}

std::size_t request_queue::CountAhead(const class_queue& queue,
                                      time_point key) const {
  const auto after = [](time_point wanted, const queued_request& item) {
    return wanted < item.key;
  };
  const auto end =
      std::upper_bound(queue.items.begin(), queue.items.end(), key, after);
  return static_cast<std::size_t>(end - queue.items.begin());
}

duration request_queue::PredictWait(const class_queue& queue,
                                    time_point key,
                                    std::uint32_t slots,
                                    std::uint32_t free) const {
  if (slots == 0) {
    return kMaxRetryAfter;
  }
  double ahead = 0;
  for (const auto& [name, other] : class_queues_) {
    // All requests that cannot wait go before those that can.
    const bool all = queue.can_wait && !other.can_wait;
    if (all || other.can_wait == queue.can_wait) {
      ahead += static_cast<double>(
          all ? other.items.size()
              : CountAhead(other, key - Boost(queue) + Boost(other)));
    }
  }
  if (ahead < free) {
    return duration::zero();
  }
  const double mean =
      mean_service_us_ == 0 ? kInitialServiceTimeUs : mean_service_us_;
  return Microseconds((ahead + 1) * mean / slots / RemainingShare(queue));
}

// Requests that arrive later but go first take slots too: without them the
// predicted wait would be too short by the share of the tighter classes, and
// requests would be admitted that cannot be served in time.
double request_queue::RemainingShare(const class_queue& queue) const {
  double left = 1;
  for (const auto& [name, other] : class_queues_) {
    const bool goes_first =
        queue.can_wait ? !other.can_wait
                       : !other.can_wait && other.within < queue.within;
    left -= goes_first ? other.share : 0;
  }
  return std::max(left, kMinDeferrableShare);
}

bool request_queue::HasTightestTarget(const class_queue& queue) const {
  return std::none_of(
      class_queues_.begin(), class_queues_.end(),
      [&](const auto& other) { return HasPriority(other.second, queue); });
}

bool request_queue::HasPriority(const class_queue& first,
                                const class_queue& second) {
  if (first.can_wait || second.can_wait) {
    return !first.can_wait;
  }
  return first.within < second.within;
}

void request_queue::CountDispatch(const class_queue& queue) {
  for (auto& [name, other] : class_queues_) {
    const double now = &other == &queue ? 1 : 0;
    other.share += kShareWeight * (now - other.share);
  }
}

duration request_queue::MaxWait(const class_queue& queue, duration left) const {
  const double part =
      HasTightestTarget(queue) ? kMaxWaitFraction : kLooseMaxWaitFraction;
  return Microseconds(static_cast<double>(left.count()) * part);
}

duration request_queue::RetryAfter(const work_class& work,
                                   std::uint32_t slots,
                                   std::uint32_t free,
                                   time_point now) const {
  const class_queue* found = FindClassQueue(work.name);
  if (found == nullptr) {
    return kMinRetryAfter;
  }
  const duration wait = PredictWait(*found, now + work.within, slots, free);
  return std::clamp(wait - MaxWait(*found, work.within), kMinRetryAfter,
                    kMaxRetryAfter);
}

duration request_queue::ExpectedServiceTime(const class_queue& queue) {
  return Microseconds(queue.mean_service_us + queue.service_deviation_us);
}

void request_queue::RetainClasses(const std::vector<work_class>& classes) {
  std::erase_if(class_queues_, [&](const auto& known) {
    const bool is_kept =
        std::any_of(classes.begin(), classes.end(),
                    [&](const auto& work) { return work.name == known.first; });
    return !is_kept && known.second.items.empty();
  });
}

std::vector<std::uint64_t> request_queue::Ids() const {
  std::vector<std::uint64_t> ids;
  for (const auto& [name, queue] : class_queues_) {
    for (const queued_request& item : queue.items) {
      ids.push_back(item.id);
    }
  }
  return ids;
}

}  // namespace plantainhead::core
