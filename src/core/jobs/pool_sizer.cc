#include "plantainhead/core/jobs/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace plantainhead::core::jobs {
namespace {

double Ratio(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double VmsFor(const resources& demand, const pool_load& load) {
  return std::max({Ratio(demand.cpu_millis, load.vm_capacity.cpu_millis),
                   Ratio(demand.memory_mb, load.vm_capacity.memory_mb),
                   Ratio(demand.gpus, load.vm_capacity.gpus)});
}

}  // namespace

std::uint32_t pool_sizer::Needed(const pool_load& load) const {
  const double vms = std::max(VmsFor(load.used + load.waiting, load),
                              VmsFor(load.rising, load));
  const auto needed =
      static_cast<std::uint32_t>(std::ceil(vms / settings_.fill));
  return std::max(needed, load.spread) + settings_.reserve;
}

std::uint32_t pool_sizer::Update(const pool_load& load,
                                 bool is_scarce,
                                 time_point now) {
  const std::uint32_t needed = Needed(load);
  first_update_ = first_update_.value_or(now);
  while (!needs_.empty() && needs_.back().second <= needed) {
    needs_.pop_back();
  }
  needs_.emplace_back(now, needed);
  while (now - needs_.front().first > settings_.memory) {
    needs_.pop_front();
  }
  if (!is_scarce) {
    return needs_.front().second;
  }
  const auto recent =
      std::find_if(needs_.begin(), needs_.end(), [&](const auto& entry) {
        return now - entry.first <= settings_.scarce_memory;
      });
  return recent->second;
}

bool pool_sizer::MayShrink(bool is_scarce, time_point now) const {
  const duration memory =
      is_scarce ? settings_.scarce_memory : settings_.memory;
  return first_update_ && now - *first_update_ > memory;
}

}  // namespace plantainhead::core::jobs
