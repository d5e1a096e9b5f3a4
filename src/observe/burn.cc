#include "plantainhead/observe/burn.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace plantainhead::observe {
namespace {

constexpr std::array<core::duration, 3> kWindows = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6)};
constexpr std::size_t kHourWindow = 1;
constexpr std::size_t kSeriesWindow = 2;
constexpr int kServerError = 500;

// Returns true for answers that say something about the request, not about the
// service.
bool IsCallersOwn(core::answer_reason reason) {
  switch (reason) {
    case core::answer_reason::kUnknownService:
    case core::answer_reason::kUnknownClass:
    case core::answer_reason::kBadDeadline:
    case core::answer_reason::kBodyTooLarge:
    case core::answer_reason::kKeyInProgress:
    case core::answer_reason::kKeyTooOld:
    case core::answer_reason::kKeyAlreadyRun:
      return true;
    default:
      return false;
  }
}

bool IsOverload(core::answer_reason reason) {
  return reason == core::answer_reason::kOverload ||
         reason == core::answer_reason::kDeadline ||
         reason == core::answer_reason::kNoEndpoint;
}

std::uint64_t FailedOf(const request_counts& counts, burn_target target) {
  return target == burn_target::kInTime ? counts.missed() : counts.unserved;
}

double ShareFailed(const request_counts& counts, burn_target target) {
  if (counts.total == 0) {
    return 0;
  }
  return static_cast<double>(FailedOf(counts, target)) /
         static_cast<double>(counts.total);
}

// Returns how many times the allowed share failed.
double RateOf(double failed, double allowed) {
  if (failed == 0) {
    return 0;
  }
  return allowed > 0 ? failed / allowed
                     : std::numeric_limits<double>::infinity();
}

std::optional<core::duration> TimeLeft(double left,
                                       double rate,
                                       core::duration window) {
  if (left <= 0) {
    return core::duration::zero();
  }
  // At a rate of 1 or less old failures leave the sliding window at least as
  // fast as new ones come.
  if (rate <= 1) {
    return std::nullopt;
  }
  const double micros = static_cast<double>(window.count()) * left / rate;
  return core::duration(std::llround(micros));
}

void AddClass(const class_report& added, std::vector<class_report>* classes) {
  const auto same = std::find_if(classes->begin(), classes->end(),
                                 [&](const class_report& item) {
                                   return item.target.name == added.target.name;
                                 });
  if (same == classes->end()) {
    classes->push_back(added);
    return;
  }
  for (std::size_t i = 0; i < same->windows.size(); ++i) {
    // Entries that have not read the newest targets yet may count the class's
    // own window by another length.
    if (i < added.windows.size() &&
        added.windows[i].window == same->windows[i].window) {
      same->windows[i].counts += added.windows[i].counts;
    }
  }
  for (std::size_t i = 0;
       i < std::min(same->series.size(), added.series.size()); ++i) {
    same->series[i] += added.series[i];
  }
}

}  // namespace

std::optional<counted_request> JudgeAnswer(const core::response& answer,
                                           core::duration elapsed,
                                           core::duration within,
                                           bool wave) {
  const burn_cause slow = wave ? burn_cause::kWave : burn_cause::kOverload;
  if (answer.result == core::outcome::kDone) {
    if (answer.status >= kServerError) {
      return counted_request{service_result::kUnserved, burn_cause::kFailure};
    }
    return elapsed <= within ? counted_request{service_result::kInTime, slow}
                             : counted_request{service_result::kLate, slow};
  }
  if (IsCallersOwn(answer.reason)) {
    return std::nullopt;
  }
  return counted_request{service_result::kUnserved, IsOverload(answer.reason)
                                                        ? slow
                                                        : burn_cause::kFailure};
}

request_counts& request_counts::operator+=(const request_counts& other) {
  total += other.total;
  late += other.late;
  unserved += other.unserved;
  for (const auto& [cause, count] : other.causes) {
    causes[cause] += count;
  }
  return *this;
}

sliding_counts::sliding_counts(core::duration window)
    : bucket_(window / kBuckets) {}

std::int64_t sliding_counts::IndexOf(core::time_point now) const {
  return now.time_since_epoch() / bucket_;
}

void sliding_counts::Count(const counted_request& request,
                           core::time_point now) {
  const std::int64_t index = IndexOf(now);
  buckets_.erase(buckets_.begin(), buckets_.upper_bound(index - kBuckets));
  request_counts& counts = buckets_[index];
  ++counts.total;
  if (request.result == service_result::kInTime) {
    return;
  }
  ++(request.result == service_result::kLate ? counts.late : counts.unserved);
  ++counts.causes[request.cause];
}

request_counts sliding_counts::Sum(core::time_point now) const {
  request_counts sum;
  for (const request_counts& counts : Series(now)) {
    sum += counts;
  }
  return sum;
}

std::vector<request_counts> sliding_counts::Series(core::time_point now) const {
  const std::int64_t newest = IndexOf(now);
  std::vector<request_counts> series(kBuckets);
  for (int i = 0; i < kBuckets; ++i) {
    const auto bucket = buckets_.find(newest - kBuckets + 1 + i);
    if (bucket != buckets_.end()) {
      series[static_cast<std::size_t>(i)] = bucket->second;
    }
  }
  return series;
}

budget_use UseOf(const class_report& report,
                 burn_target target,
                 core::duration counted_for) {
  budget_use use;
  use.allowed = target == burn_target::kInTime ? 1 - report.target.served
                                               : report.target.unavailability;
  const window_report& whole = report.windows.back();
  use.failed = ShareFailed(whole.counts, target);
  const double covered =
      std::min(1.0, static_cast<double>(counted_for.count()) /
                        static_cast<double>(report.target.window.count()));
  use.left = 1 - RateOf(use.failed, use.allowed) * covered;
  for (std::size_t i = 0; i + 1 < report.windows.size(); ++i) {
    use.rates.push_back(
        RateOf(ShareFailed(report.windows[i].counts, target), use.allowed));
  }
  use.exhausted_in =
      TimeLeft(use.left, use.rates.at(kHourWindow), whole.window);
  return use;
}

burn_report MergeReports(const std::vector<burn_report>& reports) {
  std::vector<burn_report> ordered = reports;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const burn_report& left, const burn_report& right) {
                     return left.at > right.at;
                   });
  burn_report sum = ordered.front();
  for (std::size_t i = 1; i < ordered.size(); ++i) {
    sum.since = std::min(sum.since, ordered[i].since);
    sum.entries += ordered[i].entries;
    for (const class_report& item : ordered[i].classes) {
      AddClass(item, &sum.classes);
    }
  }
  return sum;
}

burn_counter::burn_counter(core::time_point start) : start_(start) {}

void burn_counter::SetTargets(const core::configuration& targets) {
  std::map<core::class_name, class_counts> kept;
  for (const core::work_class& target : targets.classes) {
    class_counts& counts = kept[target.name];
    const auto before = classes_.find(target.name);
    if (before != classes_.end()) {
      counts = std::move(before->second);
    } else {
      for (const core::duration window : kWindows) {
        counts.windows.emplace_back(window);
      }
    }
    const bool same_window = counts.windows.size() > kWindows.size() &&
                             counts.target.window == target.window;
    if (!same_window) {
      counts.windows.erase(counts.windows.begin() + kWindows.size(),
                           counts.windows.end());
      counts.windows.emplace_back(target.window);
    }
    counts.target = target;
  }
  classes_ = std::move(kept);
}

void burn_counter::Count(const core::class_name& name,
                         const counted_request& request,
                         core::time_point now) {
  const auto counts = classes_.find(name);
  if (counts == classes_.end()) {
    return;
  }
  for (sliding_counts& window : counts->second.windows) {
    window.Count(request, now);
  }
}

burn_report burn_counter::Report(core::time_point now) const {
  burn_report report;
  report.at = now;
  report.since = start_;
  for (const auto& [name, counts] : classes_) {
    class_report item;
    item.target = counts.target;
    for (const sliding_counts& window : counts.windows) {
      item.windows.push_back({window.window(), window.Sum(now)});
    }
    item.series = counts.windows[kSeriesWindow].Series(now);
    report.classes.push_back(std::move(item));
  }
  return report;
}

}  // namespace plantainhead::observe
