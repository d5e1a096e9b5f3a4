#include "plantainhead/settings/entry_settings.h"

#include <arpa/inet.h>

#include <array>
#include <limits>
#include <optional>

#include "plantainhead/core/names.h"
#include "plantainhead/settings/files.h"
#include "settings/yaml_mapping.h"

namespace plantainhead::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMostPort = 65535;
constexpr std::uint64_t kMostThreads = 4096;
constexpr std::uint64_t kLeastBody = 1 << 10;
constexpr std::uint64_t kMostBody = 1 << 30;

bool IsIpNumber(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, host.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
}

// Reads an address at which others reach a process. A wildcard such as 0.0.0.0
// would be announced to the other entries, which could not connect to it.
void ReadHost(yaml_mapping* mapping,
              const std::string& key,
              finding_sink* sink,
              std::string* host) {
  mapping->ReadText(key, host, presence::kRequired);
  if (host->empty()) {
    return;
  }
  if (!IsIpNumber(*host)) {
    sink->Add(mapping->At(key), "'" + *host + "' is not an IP number");
  } else if (*host == "0.0.0.0" || *host == "::") {
    sink->Add(mapping->At(key),
              "'" + *host + "' names no machine; write the VM's own IP number");
  }
}

template <typename T>
void ReadUnsigned(yaml_mapping* mapping,
                  const std::string& key,
                  T* value,
                  value_range<std::uint64_t> range,
                  presence need = presence::kOptional) {
  std::uint64_t number = *value;
  mapping->ReadWholeNumber(key, &number, range, need);
  *value = static_cast<T>(number);
}

template <typename Id>
void ReadName(yaml_mapping* mapping, const std::string& key, Id* id) {
  std::string text;
  mapping->ReadText(key, &text, presence::kRequired);
  *id = Id(text);
}

void ReadPlatform(yaml_mapping* top,
                  finding_sink* sink,
                  entry_settings* settings) {
  std::optional<yaml_mapping> platform =
      top->Section("platform", presence::kRequired);
  if (!platform) {
    return;
  }
  ReadHost(&*platform, "host", sink, &settings->platform_host);
  ReadUnsigned(&*platform, "port", &settings->platform_port, {1, kMostPort},
               presence::kRequired);
  platform->CheckKeys();
}

void ReadLimits(yaml_mapping* top, entry_settings* settings) {
  std::optional<yaml_mapping> limits = top->Section("limits");
  if (!limits) {
    return;
  }
  limits->ReadBytes("body", &settings->body_limit, {kLeastBody, kMostBody});
  ReadUnsigned(&*limits, "http-threads", &settings->http_threads,
               {4, kMostThreads});
  ReadUnsigned(&*limits, "endpoint-threads", &settings->endpoint_threads,
               {1, kMostThreads});
  limits->ReadDuration("patience", &settings->patience, {seconds(1), hours(1)});
  limits->CheckKeys();
}

void ReadTimes(yaml_mapping* top,
               finding_sink* sink,
               entry_settings* settings) {
  constexpr int kHeartbeatsToSuspect = 2;
  if (std::optional<yaml_mapping> heartbeat = top->Section("heartbeat")) {
    heartbeat->ReadDuration("interval", &settings->heartbeat_interval,
                            {milliseconds(20), seconds(60)});
    heartbeat->ReadDuration("suspect-after", &settings->suspicion_timeout,
                            {milliseconds(100), seconds(600)});
    heartbeat->CheckKeys();
    // With a shorter timeout one late heartbeat would accuse a healthy entry.
    if (settings->suspicion_timeout <
        kHeartbeatsToSuspect * settings->heartbeat_interval) {
      sink->Add(heartbeat->At("suspect-after"),
                "'heartbeat.suspect-after' must be at least twice "
                "'heartbeat.interval'");
    }
  }
  if (std::optional<yaml_mapping> planner = top->Section("planner")) {
    planner->ReadDuration("lease", &settings->planner_lease,
                          {milliseconds(500), hours(1)});
    planner->CheckKeys();
  }
  if (std::optional<yaml_mapping> counts = top->Section("counts")) {
    counts->ReadDuration("interval", &settings->count_interval,
                         {seconds(1), hours(1)});
    counts->CheckKeys();
  }
}

void ReadLog(yaml_mapping* top, finding_sink* sink, entry_settings* settings) {
  std::optional<yaml_mapping> log = top->Section("log");
  if (!log) {
    return;
  }
  std::string level(core::NameOf(settings->log_level));
  log->ReadText("level", &level);
  const auto known = core::FromName<core::log_severity>(level);
  if (known) {
    settings->log_level = *known;
  } else {
    sink->Add(log->At("level"),
              "'log.level' must be debug, info, warning or "
              "error, not '" +
                  level + "'");
  }
  log->ReadText("file", &settings->log_file);
  log->CheckKeys();
}

}  // namespace

entry_settings ParseEntrySettings(const std::string& text,
                                  const std::string& file) {
  finding_sink sink{file, {}};
  yaml_mapping top(ParseDocument(text, file), "", &sink);
  entry_settings settings;
  ReadName(&top, "name", &settings.name);
  ReadName(&top, "zone", &settings.zone);
  ReadName(&top, "region", &settings.region);
  ReadHost(&top, "host", &sink, &settings.host);
  ReadUnsigned(&top, "http-port", &settings.http_port, {0, kMostPort});
  ReadUnsigned(&top, "peer-port", &settings.peer_port, {0, kMostPort});
  top.ReadText("port-file", &settings.port_file);
  ReadPlatform(&top, &sink, &settings);
  ReadLimits(&top, &settings);
  ReadTimes(&top, &sink, &settings);
  ReadLog(&top, &sink, &settings);
  top.CheckKeys();
  sink.ThrowIfAny();
  return settings;
}

entry_settings LoadEntrySettings(const std::string& path) {
  return ParseEntrySettings(ReadFile(path), path);
}

}  // namespace plantainhead::settings
