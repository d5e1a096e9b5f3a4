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

std::uint32_t pool_sizer::Filled(double vms) const {
  return static_cast<std::uint32_t>(std::ceil(vms / settings_.fill));
}

std::uint32_t pool_sizer::Needed(const pool_load& load) const {
  const std::uint32_t now_needed =
      Filled(VmsFor(load.used + load.waiting, load));
  return std::max({now_needed, rise_, load.spread}) + settings_.reserve;
}

// A rise is noticed by the rate of the jobs, compared with that before. That
// rate soon holds before as well, while the VMs are on their way. If less were
// wanted then, the hosts would go elsewhere, and be asked for a second time.
void pool_sizer::NoteRise(const pool_load& load, time_point now) {
  if (now - rise_seen_at_ > settings_.rise_memory) {
    rise_ = 0;
  }
  const std::uint32_t rise = Filled(VmsFor(load.rising, load));
  if (rise > 0) {
    rise_ = std::max(rise_, rise);
    rise_seen_at_ = now;
  }
}

std::uint32_t pool_sizer::Update(const pool_load& load,
                                 bool is_scarce,
                                 time_point now) {
  NoteRise(load, now);
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
