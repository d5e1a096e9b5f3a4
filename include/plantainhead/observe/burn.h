#ifndef PLANTAINHEAD_OBSERVE_BURN_H_
#define PLANTAINHEAD_OBSERVE_BURN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/request.h"
#include "plantainhead/core/time.h"

/// How fast each class of work uses up the share of requests that may fail its
/// target.
namespace plantainhead::observe {

/// How a request ended, seen from its class's target.
enum class service_result {
  kInTime,
  /// Answered whole, but later than `within`.
  kLate,
  /// Not answered by the endpoint, or with a 5xx status.
  kUnserved,
};

/// Why a request was late or unserved.
enum class burn_cause { kWave, kFailure, kOverload };

inline constexpr core::name_table<burn_cause, 3> kBurnCauseNames = {{
    {burn_cause::kWave, "wave"},
    {burn_cause::kFailure, "failure"},
    {burn_cause::kOverload, "overload"},
}};
inline constexpr const auto& NamesOf(burn_cause) {
  return kBurnCauseNames;
}

/// One request that counts. `cause` has no meaning when it was in time.
struct counted_request {
  service_result result = service_result::kInTime;
  burn_cause cause = burn_cause::kFailure;

  friend bool operator==(const counted_request&,
                         const counted_request&) = default;
};

/// Judges an answer that took `elapsed`. `wave` tells that VMs of the class's
/// pools were held by a maintenance wave meanwhile; what would else be put down
/// to overload is then put down to the wave. Returns nothing for a request that
/// no target covers, such as one with a malformed deadline or a key that is in
/// use: nobody could have served it.
/// Thread safety: safe from any thread.
std::optional<counted_request> JudgeAnswer(const core::response& answer,
                                           core::duration elapsed,
                                           core::duration within,
                                           bool wave);

/// Counts of requests in some span of time.
struct request_counts {
  std::uint64_t total = 0;
  std::uint64_t late = 0;
  std::uint64_t unserved = 0;
  /// Late and unserved ones, by `burn_cause`.
  std::map<burn_cause, std::uint64_t> causes;

  /// Returns how many were late or unserved.
  std::uint64_t missed() const { return late + unserved; }

  request_counts& operator+=(const request_counts& other);
  friend bool operator==(const request_counts&,
                         const request_counts&) = default;
};

/// Counts of a sliding window of time, in `kBuckets` buckets. The window moves
/// on by whole buckets, so it covers between `kBuckets` - 1 and `kBuckets`
/// buckets of time.
/// Thread safety: none. Precondition of all calls: time never goes back.
class sliding_counts {
 public:
  static constexpr int kBuckets = 30;

  /// Precondition: `window` is at least `kBuckets` microseconds.
  explicit sliding_counts(core::duration window);

  void Count(const counted_request& request, core::time_point now);

  /// Returns the sum over the window.
  request_counts Sum(core::time_point now) const;

  /// Returns the buckets from the oldest to the newest.
  std::vector<request_counts> Series(core::time_point now) const;

  core::duration window() const { return bucket_ * kBuckets; }

 private:
  std::int64_t IndexOf(core::time_point now) const;

  core::duration bucket_;
  // By the bucket's number since 1970; older ones are dropped.
  std::map<std::int64_t, request_counts> buckets_;
};

/// What is reported of one class over one window.
struct window_report {
  core::duration window{};
  request_counts counts;

  friend bool operator==(const window_report&, const window_report&) = default;
};

/// What is reported of one class.
struct class_report {
  core::work_class target;
  /// 5 minutes, 1 hour, 6 hours and the class's own window, in this order.
  std::vector<window_report> windows;
  /// The last 6 hours in `sliding_counts::kBuckets` parts, oldest first.
  std::vector<request_counts> series;

  friend bool operator==(const class_report&, const class_report&) = default;
};

/// Counts of one entry, or the sum of several.
struct burn_report {
  core::time_point at;
  /// Start of the oldest counting that is in it. Entries keep counts in memory;
  /// what was counted by a process that has ended is missing.
  core::time_point since;
  /// Entries that were added up.
  std::uint32_t entries = 1;
  std::vector<class_report> classes;
};

/// The two promises of a class; each has its own budget.
enum class burn_target {
  /// At most 1 - `served` may be late or unserved.
  kInTime,
  /// At most `unavailability` may be unserved.
  kAvailable,
};

/// How much of a budget is used.
struct budget_use {
  /// Share of requests that may fail the target.
  double allowed = 0;
  /// Share that did, in the class's window as far as it was counted.
  double failed = 0;
  /// Part of the window's budget that is left, from 1 down; below 0 when
  /// overspent. Time in the window before the counting started counts as time
  /// without failures and with as many requests; else the first failure after a
  /// start would look like the end of a month's budget.
  double left = 1;
  /// How many times faster than allowed it burned in the last 5 minutes, hour
  /// and 6 hours. 1 uses the budget up exactly in the class's window. Infinite
  /// when nothing is allowed to fail and something did.
  std::vector<double> rates;
  /// Time until none is left at the rate of the last hour, for requests that
  /// keep coming as they did; nothing at a rate that the target allows.
  std::optional<core::duration> exhausted_in;
};

/// Works out how much of a class's budget is used. `counted_for` is the time
/// since the counting started.
/// Thread safety: safe from any thread.
budget_use UseOf(const class_report& report,
                 burn_target target,
                 core::duration counted_for);

/// Adds up reports of several entries. Classes are matched by name; the newest
/// report's targets count. Precondition: `reports` isn't empty.
/// Thread safety: safe from any thread.
burn_report MergeReports(const std::vector<burn_report>& reports);

/// Counts the requests that one entry answered to its own callers, by class.
/// Thread safety: none; lock around it. Precondition of all calls: time never
/// goes back.
class burn_counter {
 public:
  explicit burn_counter(core::time_point start);

  /// Takes new targets. Classes that stay keep their counts; the counts of a
  /// class's own window start anew when the window's length changes.
  void SetTargets(const core::configuration& targets);

  /// Counts a request. One of a class that is not in the targets is left out.
  void Count(const core::class_name& name,
             const counted_request& request,
             core::time_point now);

  burn_report Report(core::time_point now) const;

 private:
  struct class_counts {
    core::work_class target;
    std::vector<sliding_counts> windows;
  };

  core::time_point start_;
  std::map<core::class_name, class_counts> classes_;
};

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_BURN_H_
