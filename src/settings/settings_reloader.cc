#include "settings/settings_reloader.h"

#include <utility>

#include "plantainhead/settings/files.h"

namespace plantainhead::settings {

settings_reloader::settings_reloader(std::string file)
    : file_(std::move(file)),
      last_processed_{ReadFile(file_), {}},
      current_(ParseSchedulerSettings(last_processed_.text, file_)) {}

reload_outcome settings_reloader::Reload() {
  return Apply(Read());
}

std::optional<reload_outcome> settings_reloader::Poll() {
  content found = Read();
  if (found == last_processed_) {
    pending_change_.reset();
    return std::nullopt;
  }
  if (pending_change_ != found) {
    pending_change_ = std::move(found);
    return std::nullopt;
  }
  return Apply(found);
}

settings_reloader::content settings_reloader::Read() const {
  try {
    return {ReadFile(file_), {}};
  } catch (const core::findings_error& error) {
    return {"", error.findings()};
  }
}

reload_outcome settings_reloader::Apply(const content& found) {
  last_processed_ = found;
  pending_change_.reset();
  if (!found.unreadable.empty()) {
    return reload_refused{found.unreadable};
  }
  scheduler_process_settings fresh;
  try {
    fresh = ParseSchedulerSettings(found.text, file_);
  } catch (const core::findings_error& error) {
    return reload_refused{error.findings()};
  }
  if (fresh == current_) {
    return reload_unchanged{};
  }
  const std::vector<core::finding> restarts =
      FindRestartOnlyChanges(current_, fresh, file_);
  if (!restarts.empty()) {
    return reload_refused{restarts};
  }
  current_ = fresh;
  return reload_applied{current_};
}

std::vector<core::finding> FindRestartOnlyChanges(
    const scheduler_process_settings& current,
    const scheduler_process_settings& fresh,
    const std::string& file) {
  std::vector<core::finding> findings;
  const auto check = [&](const char* key, const auto& now, const auto& then) {
    if (now != then) {
      findings.push_back(
          {{file, 0, 0},
           std::string("'") + key + "' cannot be changed without a restart"});
    }
  };
  check("name", current.name, fresh.name);
  check("availability-zone", current.availability_zone,
        fresh.availability_zone);
  check("processor", current.processor_cores, fresh.processor_cores);
  check("listen.callers", current.caller_address, fresh.caller_address);
  check("listen.probes", current.probe_address, fresh.probe_address);
  check("listen.metrics", current.metrics_address, fresh.metrics_address);
  check("store.address", current.store_address, fresh.store_address);
  check("fleet.address", current.fleet_address, fresh.fleet_address);
  check("lease.most", current.max_vm_lease, fresh.max_vm_lease);
  check("lease.holder", current.holder_lease, fresh.holder_lease);
  check("jobs.memory", current.job_memory, fresh.job_memory);
  check("http.head", current.http.head_limit, fresh.http.head_limit);
  check("http.request-memory", current.http.request_memory,
        fresh.http.request_memory);
  check("http.request-timeout", current.http.request_timeout,
        fresh.http.request_timeout);
  check("http.connections", current.http.connections, fresh.http.connections);
  return findings;
}

}  // namespace plantainhead::settings
