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

// Adds a value to those of which only later ones that are greater count.
void KeepPeaks(std::uint32_t value,
               time_point now,
               std::deque<std::pair<time_point, std::uint32_t>>* peaks) {
  while (!peaks->empty() && peaks->back().second <= value) {
    peaks->pop_back();
  }
  peaks->emplace_back(now, value);
}

}  // namespace

std::uint32_t pool_sizer::Filled(double vms) const {
  return static_cast<std::uint32_t>(std::ceil(vms / settings_.fill));
}

std::uint32_t pool_sizer::Needed(const pool_load& load) const {
  const std::uint32_t now_needed =
      Filled(VmsFor(load.used + load.waiting, load));
  const std::uint32_t rise = Filled(VmsFor(load.rising, load));
  const std::uint32_t past_rise = rises_.empty() ? 0 : rises_.front().second;
  return std::max({now_needed, rise, past_rise, load.spread}) +
         settings_.reserve;
}

// A rise is noticed by the rate of the jobs, compared with that before. That
// rate soon holds before as well, while the VMs are on their way. If less were
// wanted then, the hosts would go elsewhere, and be asked for a second time.
void pool_sizer::NoteRise(const pool_load& load, time_point now) {
  const std::uint32_t rise = Filled(VmsFor(load.rising, load));
  if (rise > 0 && load.rising_jobs >= settings_.least_remembered_jobs) {
    KeepPeaks(rise, now, &rises_);
  }
  while (!rises_.empty() &&
         now - rises_.front().first > settings_.rise_memory) {
    rises_.pop_front();
  }
}

std::uint32_t pool_sizer::Update(const pool_load& load,
                                 bool is_scarce,
                                 time_point now) {
  NoteRise(load, now);
  const std::uint32_t needed = Needed(load);
  first_update_ = first_update_.value_or(now);
  KeepPeaks(needed, now, &needs_);
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
