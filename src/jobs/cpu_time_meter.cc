#include "jobs/cpu_time_meter.h"

#include <utility>

#include "jobs/clocks.h"

namespace plantainhead::jobs {

std::string ToText(const cpu_times& times) {
  std::string text;
  for (const auto& [kind, name] : kLoopWorkNames) {
    const std::string millis = MillisOf(times[static_cast<std::size_t>(kind)]);
    if (millis != "0") {
      text += text.empty() ? "" : ", ";
      text += std::string(name) + " " + millis;
    }
  }
  return text;
}

cpu_time_meter::cpu_time_meter(clock clock)
    : clock_(std::move(clock)), counted_until_(clock_()) {}

cpu_time_meter::scope::scope(cpu_time_meter* meter, loop_work kind)
    : meter_(meter), outer_kind_(meter->current_kind_) {
  meter_->ChangeTo(kind);
}

cpu_time_meter::scope::~scope() {
  meter_->ChangeTo(outer_kind_);
}

cpu_times cpu_time_meter::Totals() {
  ChangeTo(current_kind_);
  return totals_;
}

void cpu_time_meter::ChangeTo(loop_work kind) {
  const core::duration now = clock_();
  totals_[static_cast<std::size_t>(current_kind_)] += now - counted_until_;
  counted_until_ = now;
  current_kind_ = kind;
}

}  // namespace plantainhead::jobs
