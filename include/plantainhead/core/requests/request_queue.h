#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_QUEUE_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// One request as the queue sees it.
struct queue_item {
  std::uint64_t id = 0;
  time_point arrival;
  /// Nothing is started after it.
  time_point deadline;
};

/// Whether a request may wait.
struct admission {
  bool admitted = false;
  duration predicted_wait{};
  /// When asking again may help; set when it isn't admitted.
  duration retry_after{};
};

/// The requests that wait for one service's slots at their owner, in the order
/// of their classes' targets.
///
/// A request's limit is the earlier of its deadline and its class's target.
/// Classes that can't wait go by the earliest limit, moved forward a little for
/// a class that burns its budget. Classes that can wait go when no other does,
/// or when their limit is the earliest, and get a small share of the slots in
/// any case, so that they finish. A request is refused when it arrives if it
/// would start too late, and when its turn comes if it can't end in time while
/// others still can.
/// Thread safety: none.
class request_queue {
 public:
  /// Shares of the dispatches, while other classes wait, that classes that can
  /// wait get at least and at most.
  static constexpr double kMinDeferrableShare = 1.0 / 32;
  static constexpr double kMaxDeferrableShare = 1.0 / 8;
  /// A request is admitted if its predicted wait takes at most this part of its
  /// time. With the whole of it the queue would be full of requests close to
  /// their limit, and those whose service takes longer than usual would end
  /// late.
  static constexpr double kMaxWaitFraction = 0.5;
  /// The same for classes that others go before. Their requests would go before
  /// new ones of a tighter class once they are close to their limit, and the
  /// tighter class would miss its target.
  static constexpr double kLooseMaxWaitFraction = 0.3;
  /// How much of its time a class that burns its budget is moved forward at
  /// most. Bounded, since in an overload that no order can mend a class far
  /// behind would push aside those that still meet their targets.
  static constexpr double kMaxBoost = 0.2;
  /// Bounds the memory; far above what admission lets in.
  static constexpr std::size_t kMaxQueued = 10000;
  static constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr duration kMaxRetryAfter = std::chrono::seconds(30);

  /// Puts a new request into the queue if it can be served in time by `slots`
  /// of which `free` are free. Precondition: no item has its id.
  admission Offer(const queue_item& item,
                  const work_class& work,
                  std::uint32_t slots,
                  std::uint32_t free,
                  time_point now);

  /// A request of a class was dispatched at once, since nothing waited.
  void CountDirectDispatch(const work_class& work);

  /// Puts a request back that was taken out and surely not run.
  void Requeue(const queue_item& item, const work_class& work);

  /// Takes out the request that goes next. Those passed over since they can't
  /// end in time are appended to `refused`; they are out of the queue too.
  std::optional<std::uint64_t> Pop(time_point now,
                                   std::vector<std::uint64_t>& refused);

  /// Takes a request out. Returns false if it isn't there.
  bool Erase(std::uint64_t id);

  /// A request of a class ended after `service_time` at the endpoint, `in_time`
  /// or not.
  void OnServed(const work_class& work, duration service_time, bool in_time);

  /// A request of a class ended without being served.
  void OnUnserved(const work_class& work);

  /// Returns after what time a request of a class that was refused now may be
  /// admitted: when the queue will have got short enough, if nothing arrives.
  duration RetryAfter(const work_class& work,
                      std::uint32_t slots,
                      std::uint32_t free,
                      time_point now) const;

  /// Forgets what was learned of classes that the targets no longer have: as
  /// the tightest class of old, one would hold the others' waits down for ever.
  void RetainClasses(const std::vector<work_class>& classes);

  std::size_t size() const { return positions_.size(); }

  /// Returns all ids, for a service whose endpoints went to other owners.
  std::vector<std::uint64_t> Ids() const;

 private:
  struct queued_request {
    /// Order within and between lanes.
    time_point key;
    std::uint64_t id = 0;
    /// Target of the class or deadline, whichever is earlier.
    time_point effective_deadline;
    time_point deadline;
  };

  /// The requests of one class, by key.
  struct class_queue {
    bool can_wait = false;
    duration within{};
    /// Part of the recent dispatches that were of this class.
    double share = 0;
    std::deque<queued_request> items;
    double mean_service_us = 0;
    double service_deviation_us = 0;
    /// Share of requests that were not served in time, over that allowed.
    double burn_rate = 0;
  };

  struct queue_position {
    class_queue* queue = nullptr;
    time_point key;
  };

  class_queue& ClassQueueFor(const work_class& work);
  const class_queue* FindClassQueue(const class_name& name) const;
  queued_request MakeWaiting(const queue_item& item,
                             const work_class& work,
                             const class_queue& queue) const;
  void Insert(class_queue& queue, const queued_request& item);
  void CountOutcome(class_queue& queue, const work_class& work, bool served);
  /// How much a class that burns its budget is moved forward.
  static duration Boost(const class_queue& queue);
  /// Precondition: something waits in the lane.
  static time_point HeadKey(const class_queue& queue);
  class_queue* EarliestQueue(bool can_wait);
  class_queue* SelectNext();
  std::size_t CountAhead(const class_queue& queue, time_point key) const;
  duration PredictWait(const class_queue& queue,
                       time_point key,
                       std::uint32_t slots,
                       std::uint32_t free) const;
  double RemainingShare(const class_queue& queue) const;
  /// Returns whether new requests of one class overtake those of another.
  static bool HasPriority(const class_queue& first, const class_queue& second);
  bool HasTightestTarget(const class_queue& queue) const;
  void CountDispatch(const class_queue& queue);
  /// Returns how long a request with `left` of its time may wait.
  duration MaxWait(const class_queue& queue, duration left) const;
  static duration ExpectedServiceTime(const class_queue& queue);

  std::map<class_name, class_queue> class_queues_;
  std::unordered_map<std::uint64_t, queue_position> positions_;
  /// Mean service time over all classes.
  double mean_service_us_ = 0;
  /// Credit of the classes that can wait: rises with each dispatch, and one of
  /// theirs costs one.
  double deferrable_credit_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_QUEUE_H_
