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

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxThreads = 4096;
constexpr std::uint64_t kMinBody = 1 << 10;
constexpr std::uint64_t kMaxBody = 1 << 30;
constexpr std::uint64_t kMaxBodies = std::uint64_t{1} << 40;
// What a frame needs beside the body that it carries, at most.
constexpr std::uint64_t kFrameMargin = 1 << 20;
constexpr std::uint64_t kMinHead = 8 << 10;
constexpr std::uint64_t kMaxHead = 1 << 20;
constexpr std::uint64_t kMinTrailers = 1 << 10;

bool IsIpNumber(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, host.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
}

// Reads an address at which other processes reach this one. A wildcard such as
// 0.0.0.0 is refused, because the other entries could not connect to it if it
// were announced to them.
void ReadHost(yaml_mapping* mapping,
              const std::string& key,
              finding_sink* sink,
              std::string* host) {
  mapping->ReadText(key, host, presence::kRequired);
  if (host->empty()) {
    return;
  }
  if (!IsIpNumber(*host)) {
    sink->Add(mapping->At(key), "'" + *host + "' is not an IP address");
  } else if (*host == "0.0.0.0" || *host == "::") {
    sink->Add(mapping->At(key),
              "'" + *host +
                  "' is a wildcard address; write the IP address of the VM");
  }
}

template <typename T>
void ReadUnsigned(yaml_mapping* mapping,
                  const std::string& key,
                  T* value,
                  value_range<std::uint64_t> range,
                  presence requirement = presence::kOptional) {
  std::uint64_t number = *value;
  mapping->ReadWholeNumber(key, &number, range, requirement);
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
  ReadUnsigned(&*platform, "port", &settings->platform_port, {1, kMaxPort},
               presence::kRequired);
  platform->CheckKeys();
}

void ReadLimits(yaml_mapping* top,
                finding_sink* sink,
                entry_settings* settings) {
  std::optional<yaml_mapping> limits = top->Section("limits");
  if (!limits) {
    return;
  }
  limits->ReadBytes("body", &settings->body_limit, {kMinBody, kMaxBody});
  limits->ReadBytes("bodies", &settings->bodies_limit, {kMinBody, kMaxBodies});
  limits->ReadBytes("frames", &settings->frames_limit, {kMinBody, kMaxBodies});
  limits->ReadBytes("head", &settings->head_limit, {kMinHead, kMaxHead});
  limits->ReadBytes("trailers", &settings->trailer_limit,
                    {kMinTrailers, kMaxHead});
  ReadUnsigned(&*limits, "http-threads", &settings->http_threads,
               {4, kMaxThreads});
  ReadUnsigned(&*limits, "endpoint-threads", &settings->endpoint_threads,
               {1, kMaxThreads});
  limits->ReadDuration("patience", &settings->max_request_timeout,
                       {seconds(1), hours(1)});
  limits->CheckKeys();
  if (settings->bodies_limit < settings->body_limit) {
    sink->Add(limits->At("bodies"),
              "'limits.bodies' must be at least 'limits.body'");
  }
  if (settings->frames_limit < settings->body_limit + kFrameMargin) {
    sink->Add(limits->At("frames"),
              "'limits.frames' must be at least 1MiB more than 'limits.body'");
  }
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
    // With a shorter timeout, a single late heartbeat would lead to the
    // accusation of a healthy entry.
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
  ReadUnsigned(&top, "http-port", &settings.http_port, {0, kMaxPort});
  ReadUnsigned(&top, "peer-port", &settings.peer_port, {0, kMaxPort});
  top.ReadText("port-file", &settings.port_file);
  ReadPlatform(&top, &sink, &settings);
  ReadLimits(&top, &sink, &settings);
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
