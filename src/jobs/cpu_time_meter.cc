#include "jobs/cpu_time_meter.h"

#include <utility>

#include "jobs/clocks.h"

namespace plantainhead::jobs {

std::string ToText(const work_times& times) {
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

work_meter::work_meter(clock clock)
    : clock_(std::move(clock)), counted_through_(clock_()) {}

work_meter::scope::scope(work_meter* meter, loop_work kind)
    : meter_(meter), outer_(meter->present_) {
  meter_->ChangeTo(kind);
}

work_meter::scope::~scope() {
  meter_->ChangeTo(outer_);
}

work_times work_meter::Totals() {
  ChangeTo(present_);
  return totals_;
}

void work_meter::ChangeTo(loop_work kind) {
  const core::duration now = clock_();
  totals_[static_cast<std::size_t>(present_)] += now - counted_through_;
  counted_through_ = now;
  present_ = kind;
}

}  // namespace plantainhead::jobs
