#include "plantainhead/core/fleet/fleet_meter.h"

#include <algorithm>
#include <utility>

#include "plantainhead/core/fleet/error_budget.h"

namespace plantainhead::core {
namespace {

void Add(service_times& to, const service_times& item) {
  to.service = item.service;
  to.finished += item.finished;
  to.held += item.held;
}

}  // namespace

void fleet_meter::Observe(incarnation who,
                          const std::vector<class_counts>& classes,
                          const std::vector<service_times>& times,
                          time_point now) {
  if (classes.empty() && times.empty()) {
    return;
  }
  const auto [known, is_first] = latest_totals_.try_emplace(who);
  totals& newest = known->second;
  totals& sum = BucketAt(now);
  for (const class_counts& item : classes) {
    request_counts& before = newest.classes[item.work];
    if (!is_first) {
      request_counts rest = item.counts;
      rest -= before;
      sum.classes[item.work] += rest;
    }
    before = item.counts;
  }
  for (const service_times& item : times) {
    service_times& before = newest.times[item.service];
    if (!is_first) {
      Add(sum.times[item.service],
          {item.service, item.finished - before.finished,
           item.held - before.held});
    }
    before = item;
  }
}

void fleet_meter::Retain(const std::map<incarnation, entry_member>& members) {
  std::erase_if(latest_totals_, [&](const auto& item) {
    return !members.contains(item.first);
  });
}

fleet_meter::totals& fleet_meter::BucketAt(time_point now) {
  if (buckets_.empty() || now - buckets_.back().start >= kBucketWidth) {
    buckets_.push_back({now, {}});
  }
  while (now - buckets_.front().start > kWindow) {
    buckets_.pop_front();
  }
  return buckets_.back().sum;
}

fleet_meter::totals fleet_meter::Sum(time_point now) const {
  totals all;
  for (const bucket& item : buckets_) {
    if (now - item.start > kWindow) {
      continue;
    }
    for (const auto& [name, counts] : item.sum.classes) {
      all.classes[name] += counts;
    }
    for (const auto& [name, times] : item.sum.times) {
      Add(all.times[name], times);
    }
  }
  return all;
}

std::map<service_name, service_demand> fleet_meter::Demand(
    const configuration& targets,
    time_point now) const {
  std::map<service_name, service_demand> demand;
  if (buckets_.empty()) {
    return demand;
  }
  const duration covered =
      std::clamp(duration(now - buckets_.front().start), kBucketWidth, kWindow);
  const double seconds = std::chrono::duration<double>(covered).count();
  const totals all = Sum(now);
  for (const work_class& work : targets.classes) {
    const auto counts = all.classes.find(work.name);
    if (counts != all.classes.end()) {
      demand[work.service].arrivals_per_second +=
          static_cast<double>(counts->second.Total()) / seconds;
    }
  }
  for (auto& [name, item] : demand) {
    const auto times = all.times.find(name);
    if (times != all.times.end() && times->second.finished > 0) {
      item.mean_service_time = times->second.held / static_cast<std::int64_t>(
                                                        times->second.finished);
    }
  }
  return demand;
}

std::map<class_name, class_burn> fleet_meter::Budgets(const fleet_state& fleet,
                                                      time_point now) const {
  const totals all = Sum(now);
  std::map<class_name, class_burn> budgets;
  for (const work_class& work : fleet.targets.classes) {
    class_burn& burn = budgets[work.name];
    const auto ledger = fleet.ledgers.find(work.name);
    if (ledger != fleet.ledgers.end()) {
      burn.spent = BudgetStatusOf(work, ledger->second, now).spent;
    }
    const auto counts = all.classes.find(work.name);
    if (counts != all.classes.end()) {
      burn.rate = BurnRate(work, counts->second);
    }
  }
  return budgets;
}

}  // namespace plantainhead::core
