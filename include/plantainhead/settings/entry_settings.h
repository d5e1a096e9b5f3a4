#ifndef PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_
#define PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::settings {

/// All that one entry process learns at its start. The comments give the YAML
/// key of each; docs/CONFIGURATION.md has the whole schema.
struct entry_settings {
  /// `name`: the entry's name in views, logs and reports.
  core::entry_id name;
  /// `zone`: its availability zone.
  core::zone_id zone;
  /// `region`: the region of the zone.
  core::region_id region;
  /// `host`: the entry's own IP number, at which others reach it.
  std::string host;
  /// `http-port`: for callers and operators; 0 takes a free port.
  std::uint16_t http_port = 0;
  /// `peer-port`: for the other entries; 0 takes a free port.
  std::uint16_t peer_port = 0;

  /// `platform.host`: IP number of the platform's interface.
  std::string platform_host;
  /// `platform.port`
  std::uint16_t platform_port = 0;

  /// `limits.body`: bytes of the largest request or answer body.
  std::uint64_t body_limit = 8 << 20;
  /// `limits.http-threads`: connections of callers and operators served at
  /// once; an idle keep-alive connection holds a thread too.
  std::uint32_t http_threads = 128;
  /// `limits.endpoint-threads`: calls to endpoints in progress at once.
  std::uint32_t endpoint_threads = 128;
  /// `limits.patience`: the longest deadline that a caller may ask for. After
  /// an entry was lost, drains wait so long for what it may have had in flight.
  core::duration patience = std::chrono::seconds(60);

  /// `heartbeat.interval`: time between heartbeats to the other entries.
  core::duration heartbeat_interval = std::chrono::milliseconds(200);
  /// `heartbeat.suspect-after`: silence after which an entry is suspected.
  core::duration suspicion_timeout = std::chrono::seconds(1);
  /// `planner.lease`: silence after which another entry may take the lease.
  core::duration planner_lease = std::chrono::seconds(3);

  /// `counts.interval`: how often the entry records its counts of requests,
  /// from which the service-level burn is worked out.
  core::duration count_interval = std::chrono::minutes(1);

  /// `log.level`: lines below it are left out.
  core::log_severity log_level = core::log_severity::kInfo;
  /// `log.file`: path of the log, or "-" for the standard output.
  std::string log_file = "-";
  /// `port-file`: file that the entry writes once it listens, with its HTTP
  /// port on the first line and its peer port on the second. Empty writes none.
  std::string port_file;
};

/// Parses settings from YAML text. `file` names the text in findings.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all that is wrong: unknown keys,
/// missing keys, wrong units and ranges, each with its place.
entry_settings ParseEntrySettings(const std::string& text,
                                  const std::string& file);

/// Reads the file at `path` and parses it as `ParseEntrySettings` does; a file
/// that can't be read is a finding too.
/// Thread safety: safe from any thread.
entry_settings LoadEntrySettings(const std::string& path);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_
