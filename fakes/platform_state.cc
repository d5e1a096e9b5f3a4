#include "platform_state.h"

#include <chrono>
#include <string>
#include <utility>

#include "http_json.h"

namespace plantainhead::fakes {

using platform::json;
using platform::json_reader;
using platform::json_writer;

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<platform_counters> x) {
  a("appends", x.appends);
  a("records", x.records);
  a("refused_appends", x.refused_appends);
  a("lost_answers", x.lost_answers);
  a("reads", x.reads);
  a("list_reads", x.list_reads);
  a("operation_calls", x.operation_calls);
}

bool platform_state::PassFaults(std::unique_lock<std::mutex>& lock) {
  const auto start = std::chrono::steady_clock::now();
  // A change of the fault also concerns the requests that it holds.
  while (!stopping && std::chrono::steady_clock::now() < start + faults.slow) {
    faults_changed.wait_until(lock, start + faults.slow);
  }
  return !faults.down && !stopping;
}

void platform_state::ChangeFaults(const json& body) {
  json_reader in(body, "");
  platform_faults changed = faults;
  in("down", changed.down);
  ReadMilliseconds(in, "slow_ms", &changed.slow);
  in("refuse_appends", changed.refuse_appends);
  in("lose_append_answers", changed.lose_append_answers);
  in("lose_by", changed.lose_by);
  core::duration lag = fleet.list_lag();
  core::duration reboot_time = fleet.reboot_time();
  log_limits limits = log.limits();
  ReadMilliseconds(in, "list_lag_ms", &lag);
  ReadMilliseconds(in, "reboot_ms", &reboot_time);
  ReadMilliseconds(in, "retention_ms", &limits.retention_time);
  in("retention_records", limits.retention_records);
  in("appends_per_second", limits.appends_per_second);
  if (const json* cut = in.Find("truncate")) {
    const json_reader what(*cut, "/truncate");
    core::stream_name stream;
    core::log_offset end = 0;
    json_reader::Read(what.Require("stream"), stream, "/truncate/stream");
    json_reader::Read(what.Require("end"), end, "/truncate/end");
    log.Truncate(stream, end);
  }
  faults = changed;
  fleet.set_list_lag(lag);
  fleet.set_reboot_time(reboot_time);
  log.set_limits(limits);
  WakeAll();
}

void platform_state::WakeAll() {
  faults_changed.notify_all();
  for (auto& [stream, waiting] : readers) {
    waiting.notify_all();
  }
}

json platform_state::FaultsJson() const {
  const auto milliseconds = [](core::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  const log_limits& limits = log.limits();
  return {
      {"down", faults.down},
      {"slow_ms", milliseconds(faults.slow)},
      {"refuse_appends", faults.refuse_appends},
      {"lose_append_answers", faults.lose_append_answers},
      {"lose_by", std::string(core::NameOf(faults.lose_by))},
      {"list_lag_ms", milliseconds(fleet.list_lag())},
      {"reboot_ms", milliseconds(fleet.reboot_time())},
      {"retention_records", limits.retention_records},
      {"retention_ms", milliseconds(limits.retention_time)},
      {"appends_per_second", limits.appends_per_second},
  };
}

json platform_state::CountersJson() const {
  json body = json_writer::Write(counters);
  body["reboots"] = json_writer::Write(fleet.reboots());
  json operations = json::object();
  for (const auto& [type, count] : fleet.operations()) {
    operations[type] = count;
  }
  body["operations"] = std::move(operations);
  return body;
}

}  // namespace plantainhead::fakes
