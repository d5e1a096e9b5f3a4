#include "jobs/process_state.h"

#include "jobs/clocks.h"

#include <string>

namespace plantainhead::jobs {
namespace {

std::string ToText(const std::vector<owned_partition>& pools) {
  std::string text;
  for (const owned_partition& pool : pools) {
    text += text.empty() ? "" : " ";
    text += std::to_string(pool.partition) + "@" + std::to_string(pool.epoch);
    text += pool.is_active ? "" : "?";
  }
  return text;
}

}  // namespace

observe::log_fields FormatProcessState(const process_state& state) {
  observe::log_fields fields = {
      {"owns", ToText(state.pools)},
      {"fleet", state.owns_fleet ? "yes" : "no"},
      {"ready", state.is_ready ? "yes" : "no"},
      {"configuration", std::to_string(state.configuration_version)},
      {"loop_lag_ms", MillisOf(state.loop_lag)}};
  if (state.renewed_ago) {
    fields.emplace_back("renewed_ms_ago", MillisOf(*state.renewed_ago));
  }
  if (state.job_copy_age) {
    fields.emplace_back("job_copy_ms", MillisOf(*state.job_copy_age));
  }
  if (state.cpu_time) {
    fields.emplace_back("busy_ms", ToText(*state.cpu_time));
    fields.emplace_back("busy_within_ms", MillisOf(state.cpu_time_interval));
  }
  return fields;
}

bool state_log_schedule::IsDue(core::time_point now, std::uint64_t lines) {
  if (now - last_at_ < kStateTimeInterval &&
      lines - last_lines_ < kStateLineInterval) {
    return false;
  }
  last_at_ = now;
  last_lines_ = lines;
  return true;
}

}  // namespace plantainhead::jobs
