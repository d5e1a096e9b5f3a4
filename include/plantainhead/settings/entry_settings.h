#ifndef PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_
#define PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::settings {

/// Start-up settings of one entry process. The comment of each field gives its
/// YAML key; docs/CONFIGURATION.md describes the whole schema.
struct entry_settings {
  /// `name`: name of the entry in membership views, logs and reports.
  core::entry_id name;
  /// `zone`: availability zone of the entry.
  core::zone_id zone;
  /// `region`: region of the availability zone.
  core::region_id region;
  /// `host`: IP address at which other entries reach this entry.
  std::string host;
  /// `http-port`: HTTP port for callers and operators; 0 selects a free port.
  std::uint16_t http_port = 0;
  /// `peer-port`: port for the other entries; 0 selects a free port.
  std::uint16_t peer_port = 0;

  /// `platform.host`: IP address of the platform interface.
  std::string platform_host;
  /// `platform.port`: port of the platform interface.
  std::uint16_t platform_port = 0;

  /// `limits.body`: maximum size of a request or response body in bytes.
  std::uint64_t body_limit = 8 << 20;
  /// `limits.bodies`: maximum number of bytes of all bodies of requests and
  /// answers that are held at once; at least `limits.body`.
  std::uint64_t bodies_limit = 32 << 20;
  /// `limits.frames`: maximum number of bytes of all frames of other entries
  /// that have arrived in part; at least `limits.body` and 1 MiB.
  std::uint64_t frames_limit = 32 << 20;
  /// `limits.head`: maximum size of a request's head in bytes.
  std::uint64_t head_limit = 64 << 10;
  /// `limits.trailers`: maximum size of the chunk extensions and trailers of
  /// one request in bytes.
  std::uint64_t trailer_limit = 8 << 10;
  /// `limits.http-threads`: maximum number of concurrent connections of callers
  /// and operators. An idle keep-alive connection also occupies a thread.
  std::uint32_t http_threads = 128;
  /// `limits.endpoint-threads`: maximum number of concurrent calls to
  /// endpoints.
  std::uint32_t endpoint_threads = 128;
  /// `limits.patience`: the longest deadline that a caller may request. After
  /// an entry was lost, drains wait this long for requests that it may have had
  /// in flight.
  core::duration max_request_timeout = std::chrono::seconds(60);

  /// `heartbeat.interval`: interval between heartbeats to the other entries.
  core::duration heartbeat_interval = std::chrono::milliseconds(200);
  /// `heartbeat.suspect-after`: time without a heartbeat after which an entry
  /// is suspected.
  core::duration suspicion_timeout = std::chrono::seconds(1);
  /// `planner.lease`: time without a renewal after which another entry may take
  /// over the planner lease.
  core::duration planner_lease = std::chrono::seconds(3);

  /// `counts.interval`: interval at which the entry records its request counts,
  /// from which error budget burn rates are computed.
  core::duration count_interval = std::chrono::minutes(1);

  /// `log.level`: messages below this level are omitted.
  core::log_severity log_level = core::log_severity::kInfo;
  /// `log.file`: path of the log file, or "-" for standard output.
  std::string log_file = "-";
  /// `port-file`: path of a file that the entry writes once it is listening,
  /// with its HTTP port on the first line and its peer port on the second. If
  /// empty, no file is written.
  std::string port_file;
};

/// Parses settings from YAML text. `file` is the file name used in findings.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all errors (unknown keys, missing
/// keys, wrong units and values out of range), each with its location.
entry_settings ParseEntrySettings(const std::string& text,
                                  const std::string& file);

/// Reads the file at `path` and parses it like `ParseEntrySettings`. A file
/// that cannot be read is reported as a finding too.
/// Thread safety: safe from any thread.
entry_settings LoadEntrySettings(const std::string& path);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_ENTRY_SETTINGS_H_
