#ifndef PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_
#define PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_

#include <cstdint>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::settings {

/// Limits of a process's HTTP servers.
struct http_limits {
  /// `http.head`: maximum size of a request line with its headers, in bytes.
  std::uint64_t head_limit = std::uint64_t{8} << 10U;
  /// `http.request-memory`: maximum number of bytes held for requests on all
  /// listeners together. A small part of each connection is not counted.
  std::uint64_t request_memory = std::uint64_t{16} << 20U;
  /// `http.request-timeout`: maximum time from the first byte of a request to
  /// its end.
  core::duration request_timeout = std::chrono::seconds(10);
  /// `http.connections`: maximum number of connections of callers, and of those
  /// of other processes.
  std::uint64_t connections = 1700;

  friend bool operator==(const http_limits&, const http_limits&) = default;
};

/// Start-up settings of one process of the job scheduler. The comment of each
/// field gives its YAML key.
struct scheduler_process_settings {
  /// `name`: name of the process in logs and in requests to the fleet.
  std::string name;
  /// `availability-zone`: availability zone of the process.
  std::string availability_zone;
  /// `listen.callers`: "IP:PORT" that serves callers.
  std::string caller_address;
  /// `listen.probes`: "IP:PORT" that serves readiness probes.
  std::string probe_address;
  /// `listen.peers`: "IP:PORT" that serves the other scheduler processes. If
  /// empty, there is none, and for its own pools the process answers only
  /// requests that callers send to it directly.
  std::string peer_address;
  /// `listen.metrics`: "IP:PORT" that serves metrics; empty for none.
  std::string metrics_address;
  /// `store.address`: address of the metadata store.
  std::string store_address;
  /// `fleet.address`: address of the fleet interface; empty for none.
  std::string fleet_address;
  /// `lease.most`: the longest lease that VMs accept.
  core::duration max_vm_lease = std::chrono::seconds(6);
  /// `lease.holder`: how long an order for a host excludes other lease holders.
  core::duration holder_lease = std::chrono::seconds(3);
  /// `configuration.apply`: maximum time from the publication of a
  /// configuration until it is in force in every process.
  core::duration configuration_apply = std::chrono::seconds(2);
  /// `processor`: processor capacity of the VM in cores.
  double processor_cores = 1.0;
  /// `jobs.memory`: memory for accepted jobs that have not ended, in bytes.
  std::uint64_t job_memory = std::uint64_t{96} << 20U;
  /// `stop.grace`: time between the request to stop and forced termination.
  core::duration stop_grace = std::chrono::seconds(6);

  /// `http`: limits of all listeners.
  http_limits http;

  friend bool operator==(const scheduler_process_settings&,
                         const scheduler_process_settings&) = default;
};

/// Parses the text of a settings file. `file` is the file name used in
/// findings.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all errors in the text.
scheduler_process_settings ParseSchedulerSettings(const std::string& text,
                                                  const std::string& file);

/// Reads and parses a YAML settings file.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all errors in the file, or if it
/// cannot be read.
scheduler_process_settings LoadSchedulerSettings(const std::string& path);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_SCHEDULER_SETTINGS_H_
