#include "plantainhead/settings/scheduler_settings.h"

#include <optional>

#include "plantainhead/settings/files.h"
#include "settings/yaml_mapping.h"

namespace plantainhead::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kKib = std::uint64_t{1} << 10U;
constexpr std::uint64_t kMib = std::uint64_t{1} << 20U;
constexpr std::uint64_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kMaxRequestMemory = std::uint64_t{16} << 30U;
constexpr std::uint64_t kMinJobMemory = std::uint64_t{4} << 20U;
constexpr std::uint64_t kMaxJobMemory = std::uint64_t{1} << 40U;

}  // namespace

scheduler_process_settings ParseSchedulerSettings(const std::string& text,
                                                  const std::string& file) {
  finding_sink sink{file, {}};
  yaml_mapping top(ParseDocument(text, file), "", &sink);
  scheduler_process_settings settings;
  top.ReadText("name", &settings.name, presence::kRequired);
  top.ReadText("availability-zone", &settings.availability_zone);
  top.ReadNumber("processor", &settings.processor_cores, {0.0, 1024.0});
  if (auto listen = top.Section("listen", presence::kRequired)) {
    listen->ReadText("callers", &settings.caller_address, presence::kRequired);
    listen->ReadText("probes", &settings.probe_address, presence::kRequired);
    listen->ReadText("peers", &settings.peer_address);
    listen->ReadText("metrics", &settings.metrics_address);
    listen->CheckKeys();
  }
  if (auto store = top.Section("store", presence::kRequired)) {
    store->ReadText("address", &settings.store_address, presence::kRequired);
    store->CheckKeys();
  }
  if (auto fleet = top.Section("fleet")) {
    fleet->ReadText("address", &settings.fleet_address);
    fleet->CheckKeys();
  }
  if (auto lease = top.Section("lease")) {
    lease->ReadDuration("most", &settings.max_vm_lease,
                        {milliseconds(1000), hours(1)});
    lease->ReadDuration("holder", &settings.holder_lease,
                        {milliseconds(0), hours(1)});
    lease->CheckKeys();
  }
  if (auto configuration = top.Section("configuration")) {
    configuration->ReadDuration("apply", &settings.configuration_apply,
                                {milliseconds(500), hours(1)});
    configuration->CheckKeys();
  }
  if (auto http = top.Section("http")) {
    http->ReadBytes("head", &settings.http.head_limit, {kKib, kMib});
    http->ReadBytes("request-memory", &settings.http.request_memory,
                    {kMib, kMaxRequestMemory});
    http->ReadDuration("request-timeout", &settings.http.request_timeout,
                       {milliseconds(100), hours(1)});
    http->ReadWholeNumber("connections", &settings.http.connections,
                          {1, kMaxConnections});
    http->CheckKeys();
  }
  if (auto jobs = top.Section("jobs")) {
    jobs->ReadBytes("memory", &settings.job_memory,
                    {kMinJobMemory, kMaxJobMemory});
    jobs->CheckKeys();
  }
  if (auto stop = top.Section("stop")) {
    stop->ReadDuration("grace", &settings.stop_grace, {seconds(1), hours(1)});
    stop->CheckKeys();
  }
  top.CheckKeys();
  sink.ThrowIfAny();
  return settings;
}

scheduler_process_settings LoadSchedulerSettings(const std::string& path) {
  return ParseSchedulerSettings(ReadFile(path), path);
}

}  // namespace plantainhead::settings
