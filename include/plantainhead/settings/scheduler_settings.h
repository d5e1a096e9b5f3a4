#ifndef PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_
#define PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_

#include <cstdint>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::settings {

/// All that one process of the job scheduler learns at its start. The comments
/// give the YAML key of each.
struct scheduler_process_settings {
  /// `name`: of the process, in logs and towards the fleet.
  std::string name;
  /// `availability-zone`
  std::string availability_zone;
  /// `listen.callers`: "IP:PORT" for callers.
  std::string caller_address;
  /// `listen.probes`: "IP:PORT" at which readiness is asked for.
  std::string probe_address;
  /// `listen.peers`: "IP:PORT" for the other processes; empty for none, and the
  /// process then answers for its own pools only what callers ask itself.
  std::string peer_address;
  /// `listen.metrics`: "IP:PORT" of the metrics; empty for none.
  std::string metrics_address;
  /// `store.address`: of the metadata store.
  std::string store_address;
  /// `fleet.address`: of the interface to the fleet; empty for none.
  std::string fleet_address;
  /// `lease.most`: the longest lease that VMs allow.
  core::duration max_vm_lease = std::chrono::seconds(6);
  /// `lease.holder`: how long an order for a host keeps other holders out.
  core::duration holder_lease = std::chrono::seconds(3);
  /// `configuration.apply`: within this time of its publication a configuration
  /// must be in force in every process.
  core::duration configuration_apply = std::chrono::seconds(2);
  /// `processor`: of the VM, in cores.
  double processor_cores = 1.0;
  /// `stop.grace`: time between the request to stop and the end by force.
  core::duration stop_grace = std::chrono::seconds(6);

  friend bool operator==(const scheduler_process_settings&,
                         const scheduler_process_settings&) = default;
};

/// Reads the text of a settings file; `file` is its name for messages.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all that is wrong with it.
scheduler_process_settings ParseSchedulerSettings(const std::string& text,
                                                  const std::string& file);

/// Reads a settings file (YAML).
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all that is wrong with it, also
/// when it can't be read.
scheduler_process_settings LoadSchedulerSettings(const std::string& path);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_
