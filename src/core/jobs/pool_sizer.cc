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

// Adds a value to a list of peaks. Earlier values that are not greater are
// removed, since they cannot be the maximum of any later window.
void PushPeak(std::uint32_t value,
              time_point now,
              std::deque<std::pair<time_point, std::uint32_t>>* peaks) {
  while (!peaks->empty() && peaks->back().second <= value) {
    peaks->pop_back();
  }
  peaks->emplace_back(now, value);
}

}  // namespace

std::uint32_t pool_sizer::VmsToHold(double vms) const {
  return static_cast<std::uint32_t>(std::ceil(vms / settings_.fill_ratio));
}

std::uint32_t pool_sizer::Needed(const pool_load& load) const {
  const std::uint32_t needed_now =
      VmsToHold(VmsFor(load.used + load.waiting, load));
  const std::uint32_t rise = VmsToHold(VmsFor(load.rising, load));
  const std::uint32_t held_rise =
      rise_peaks_.empty() ? 0 : rise_peaks_.front().second;
  return std::max({needed_now, rise, held_rise, load.spread}) +
         settings_.reserve;
}

// A rise is detected by comparing the arrival rate with the rate before it.
// Soon the higher rate fills the baseline as well, and the rise is no longer
// detected while its VMs are still being moved. If the pool wanted fewer VMs
// then, the hosts would go to other pools and would have to be requested a
// second time.
void pool_sizer::NoteRise(const pool_load& load, time_point now) {
  const std::uint32_t rise = VmsToHold(VmsFor(load.rising, load));
  if (rise > 0 && load.rising_jobs >= settings_.min_held_rise_jobs) {
    PushPeak(rise, now, &rise_peaks_);
  }
  while (!rise_peaks_.empty() &&
         now - rise_peaks_.front().first > settings_.rise_hold_time) {
    rise_peaks_.pop_front();
  }
}

std::uint32_t pool_sizer::Update(const pool_load& load,
                                 bool has_shortage,
                                 time_point now) {
  NoteRise(load, now);
  const std::uint32_t needed = Needed(load);
  first_update_ = first_update_.value_or(now);
  PushPeak(needed, now, &need_peaks_);
  while (now - need_peaks_.front().first > settings_.demand_window) {
    need_peaks_.pop_front();
  }
  if (!has_shortage) {
    return need_peaks_.front().second;
  }
  const auto recent = std::find_if(
      need_peaks_.begin(), need_peaks_.end(), [&](const auto& entry) {
        return now - entry.first <= settings_.shortage_demand_window;
      });
  return recent->second;
}

bool pool_sizer::MayShrink(bool has_shortage, time_point now) const {
  const duration demand_window =
      has_shortage ? settings_.shortage_demand_window : settings_.demand_window;
  return first_update_ && now - *first_update_ > demand_window;
}

}  // namespace plantainhead::core::jobs
