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

/// The data of one request that the queue needs.
struct queue_item {
  std::uint64_t id = 0;
  time_point arrival;
  /// The request is not started after this time.
  time_point deadline;
};

/// The result of admission control for one request.
struct admission {
  bool admitted = false;
  duration predicted_wait{};
  /// How long the caller should wait before a retry; set if the request is not
  /// admitted.
  duration retry_after{};
};

/// Queues the requests for one service's slots at their owner, ordered by the
/// targets of their classes, with admission control.
///
/// The effective deadline of a request is the earlier of its deadline and its
/// class's target. Classes that cannot wait are served in the order of the
/// effective deadlines; a class that consumes its error budget is moved forward
/// slightly. Classes that can wait are served when no other request is queued
/// or when their effective deadline is the earliest, and are guaranteed a small
/// share of the slots, so that they finish. A request is refused on arrival if
/// it is predicted to start too late, and when its turn comes if it cannot
/// finish in time while others still can.
///
/// Thread safety: none.
class request_queue {
 public:
  /// Minimum and maximum share of the dispatches that classes that can wait get
  /// while other classes are queued.
  static constexpr double kMinDeferrableShare = 1.0 / 32;
  static constexpr double kMaxDeferrableShare = 1.0 / 8;
  /// A request is admitted if its predicted wait is at most this fraction of
  /// its remaining time. If the whole remaining time were allowed, the queue
  /// would be full of requests close to their effective deadline, and those
  /// with a longer service time than usual would finish late.
  static constexpr double kMaxWaitFraction = 0.5;
  /// The fraction for classes that are not the highest in priority. If their
  /// requests waited longer, they would come close to their effective deadline
  /// and be served before new requests of a class with a tighter target, which
  /// would then miss its target.
  static constexpr double kLooseMaxWaitFraction = 0.3;
  /// Maximum part of a class's target by which a class that consumes its error
  /// budget is moved forward. It is bounded because under heavy overload no
  /// order helps a class that is far behind, which would only displace classes
  /// that still meet their targets.
  static constexpr double kMaxBoost = 0.2;
  /// Bounds the memory; far more than admission control lets in.
  static constexpr std::size_t kMaxQueued = 10000;
  static constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr duration kMaxRetryAfter = std::chrono::seconds(30);

  /// Enqueues a new request if it can be served in time by `slots` slots,
  /// `free` of which are free. Precondition: no item in the queue has its id.
  admission Offer(const queue_item& item,
                  const work_class& work,
                  std::uint32_t slots,
                  std::uint32_t free,
                  time_point now);

  /// Records that a request of a class was dispatched directly, since nothing
  /// was queued.
  void CountDirectDispatch(const work_class& work);

  /// Enqueues a request again that was popped and certainly did not run.
  void Requeue(const queue_item& item, const work_class& work);

  /// Removes and returns the next request. Requests that are skipped because
  /// they cannot finish in time are removed as well and appended to `refused`.
  std::optional<std::uint64_t> Pop(time_point now,
                                   std::vector<std::uint64_t>& refused);

  /// Removes a request. Returns false if it is not in the queue.
  bool Erase(std::uint64_t id);

  /// Records that the endpoint answered a request of a class after
  /// `service_time`, and whether that was `in_time`.
  void OnServed(const work_class& work, duration service_time, bool in_time);

  /// Records that a request of a class ended without being served.
  void OnUnserved(const work_class& work);

  /// Returns the time after which a request of a class that is refused now may
  /// be admitted: when the queue will be short enough if no request arrives.
  duration RetryAfter(const work_class& work,
                      std::uint32_t slots,
                      std::uint32_t free,
                      time_point now) const;

  /// Removes the statistics of classes that the targets no longer contain.
  /// Otherwise a removed class that had the tightest target would limit the
  /// waits of the others for ever.
  void RetainClasses(const std::vector<work_class>& classes);

  std::size_t size() const { return positions_.size(); }

  /// Returns the ids of all requests, for a service whose endpoints moved to
  /// other owners.
  std::vector<std::uint64_t> Ids() const;

 private:
  struct queued_request {
    /// Sort key within a class; the heads of the classes are compared by it.
    time_point key;
    std::uint64_t id = 0;
    /// The target of the class or the deadline, whichever is earlier.
    time_point effective_deadline;
    time_point deadline;
  };

  /// The queued requests of one class, sorted by key, and the statistics of the
  /// class.
  struct class_queue {
    bool can_wait = false;
    duration within{};
    /// Share of the recent dispatches that were of this class.
    double share = 0;
    std::deque<queued_request> items;
    double mean_service_us = 0;
    double service_deviation_us = 0;
    /// Ratio of the share of requests not served in time to the share allowed.
    double burn_rate = 0;
  };

  struct queue_position {
    class_queue* queue = nullptr;
    time_point key;
  };

  class_queue& ClassQueueFor(const work_class& work);
  const class_queue* FindClassQueue(const class_name& name) const;
  queued_request MakeQueuedRequest(const queue_item& item,
                                   const work_class& work,
                                   const class_queue& queue) const;
  void Insert(class_queue& queue, const queued_request& item);
  void CountOutcome(class_queue& queue, const work_class& work, bool served);
  /// Returns by how much a class that consumes its error budget is moved
  /// forward.
  static duration Boost(const class_queue& queue);
  /// Precondition: the queue of the class is not empty.
  static time_point HeadKey(const class_queue& queue);
  class_queue* EarliestQueue(bool can_wait);
  class_queue* SelectNext();
  std::size_t CountAhead(const class_queue& queue, time_point key) const;
  duration PredictWait(const class_queue& queue,
                       time_point key,
                       std::uint32_t slots,
                       std::uint32_t free) const;
  double RemainingShare(const class_queue& queue) const;
  /// Returns whether new requests of class `first` overtake those of `second`.
  static bool HasPriority(const class_queue& first, const class_queue& second);
  bool HasTightestTarget(const class_queue& queue) const;
  void CountDispatch(const class_queue& queue);
  /// Returns how long a request with `left` remaining time may wait.
  duration MaxWait(const class_queue& queue, duration left) const;
  static duration ExpectedServiceTime(const class_queue& queue);

  std::map<class_name, class_queue> class_queues_;
  std::unordered_map<std::uint64_t, queue_position> positions_;
  /// Mean service time over all classes.
  double mean_service_us_ = 0;
  /// Credit of the classes that can wait: rises with each selection while both
  /// kinds are queued; a dispatch of theirs costs one.
  double deferrable_credit_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_QUEUE_H_
