#include "plantainhead/settings/targets.h"

#include <optional>
#include <utility>
#include <vector>

#include "settings/units.h"
#include "settings/yaml_mapping.h"

namespace plantainhead::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::uint64_t kSchemaVersion = 1;
constexpr std::uint64_t kMostVms = 1'000'000;
constexpr double kMostPriority = 1000;
constexpr int kDaysOfWindow = 366;
constexpr int kHoursOfDay = 24;

template <typename Id>
void ReadName(yaml_mapping* mapping,
              const std::string& key,
              Id* id,
              presence need = presence::kRequired) {
  std::string text;
  mapping->ReadText(key, &text, need);
  *id = Id(text);
}

std::uint32_t ReadCount(yaml_mapping* mapping,
                        const std::string& key,
                        presence need = presence::kOptional) {
  std::uint64_t count = 0;
  mapping->ReadWholeNumber(key, &count, {0, kMostVms}, need);
  return static_cast<std::uint32_t>(count);
}

void ReadServices(yaml_mapping* top, core::configuration_builder* builder) {
  for (yaml_mapping& item : top->List("services")) {
    core::service_spec spec;
    ReadName(&item, "name", &spec.name);
    for (std::string& pool : item.TextList("pools", presence::kRequired)) {
      spec.pools.emplace_back(std::move(pool));
    }
    item.CheckKeys();
    builder->AddService(std::move(spec), item.place());
  }
}

void ReadClasses(yaml_mapping* top, core::configuration_builder* builder) {
  for (yaml_mapping& item : top->List("classes")) {
    core::work_class spec;
    ReadName(&item, "name", &spec.name);
    ReadName(&item, "service", &spec.service);
    item.ReadShare("served", &spec.served, presence::kRequired);
    item.ReadDuration("within", &spec.within,
                      {milliseconds(1), hours(kHoursOfDay * kDaysOfWindow)},
                      presence::kRequired);
    item.ReadShare("unavailability", &spec.unavailability, presence::kRequired);
    item.ReadDuration("window", &spec.window,
                      {milliseconds(1), hours(kHoursOfDay * kDaysOfWindow)});
    item.ReadFlag("can-wait", &spec.can_wait);
    item.CheckKeys();
    builder->AddClass(std::move(spec), item.place());
  }
}

void ReadPools(yaml_mapping* top, core::configuration_builder* builder) {
  for (yaml_mapping& item : top->List("pools")) {
    core::pool_spec spec;
    ReadName(&item, "name", &spec.name);
    ReadName(&item, "team", &spec.team, presence::kOptional);
    spec.min_vms = ReadCount(&item, "least-vms");
    item.CheckKeys();
    builder->AddPool(std::move(spec), item.place());
  }
}

void ReadTeams(yaml_mapping* top, core::configuration_builder* builder) {
  for (yaml_mapping& item : top->List("teams")) {
    core::team_spec spec;
    ReadName(&item, "name", &spec.name);
    spec.vms = ReadCount(&item, "vms", presence::kRequired);
    spec.accelerators = ReadCount(&item, "accelerators");
    item.CheckKeys();
    builder->AddTeam(std::move(spec), item.place());
  }
}

void ReadPriorities(yaml_mapping* top, core::configuration_builder* builder) {
  std::optional<yaml_mapping> section = top->Section("priorities");
  if (!section) {
    return;
  }
  core::objective_priorities priorities;
  const value_range<double> range{0, kMostPriority};
  section->ReadNumber("buffer-cost", &priorities.buffer_cost, range);
  section->ReadNumber("roll-out-time", &priorities.roll_out_time, range);
  section->ReadNumber("moves", &priorities.moves, range);
  section->CheckKeys();
  builder->SetPriorities(priorities);
}

template <typename Id>
YAML::Node NameList(const std::vector<Id>& ids) {
  YAML::Node list(YAML::NodeType::Sequence);
  list.SetStyle(YAML::EmitterStyle::Flow);
  for (const Id& id : ids) {
    list.push_back(id.value());
  }
  return list;
}

YAML::Node ToNode(const core::work_class& spec) {
  YAML::Node node;
  node["name"] = spec.name.value();
  node["service"] = spec.service.value();
  node["served"] = FormatShare(spec.served);
  node["within"] = FormatDuration(spec.within);
  node["unavailability"] = FormatShare(spec.unavailability);
  node["window"] = FormatDuration(spec.window);
  if (spec.can_wait) {
    node["can-wait"] = true;
  }
  return node;
}

YAML::Node ToNode(const core::service_spec& spec) {
  YAML::Node node;
  node["name"] = spec.name.value();
  node["pools"] = NameList(spec.pools);
  return node;
}

YAML::Node ToNode(const core::pool_spec& spec) {
  YAML::Node node;
  node["name"] = spec.name.value();
  if (!spec.team.empty()) {
    node["team"] = spec.team.value();
  }
  node["least-vms"] = spec.min_vms;
  return node;
}

YAML::Node ToNode(const core::team_spec& spec) {
  YAML::Node node;
  node["name"] = spec.name.value();
  node["vms"] = spec.vms;
  node["accelerators"] = spec.accelerators;
  return node;
}

template <typename Spec>
YAML::Node ToList(const std::vector<Spec>& specs) {
  YAML::Node list(YAML::NodeType::Sequence);
  for (const Spec& spec : specs) {
    list.push_back(ToNode(spec));
  }
  return list;
}

}  // namespace

core::configuration ParseTargets(const std::string& text,
                                 const std::string& file) {
  finding_sink sink{file, {}};
  yaml_mapping top(ParseDocument(text, file), "", &sink);
  std::uint64_t version = kSchemaVersion;
  top.ReadWholeNumber("version", &version, {kSchemaVersion, kSchemaVersion},
                      presence::kRequired);
  core::configuration_builder builder;
  ReadServices(&top, &builder);
  ReadClasses(&top, &builder);
  ReadPools(&top, &builder);
  ReadTeams(&top, &builder);
  ReadPriorities(&top, &builder);
  top.CheckKeys();
  for (core::finding& item : builder.Check()) {
    sink.findings.push_back(std::move(item));
  }
  sink.ThrowIfAny();
  return builder.Build();
}

std::string FormatTargets(const core::configuration& targets) {
  YAML::Node top;
  top["version"] = kSchemaVersion;
  top["services"] = ToList(targets.services);
  top["classes"] = ToList(targets.classes);
  top["pools"] = ToList(targets.pools);
  top["teams"] = ToList(targets.teams);
  top["priorities"]["buffer-cost"] =
      FormatNumber(targets.priorities.buffer_cost);
  top["priorities"]["roll-out-time"] =
      FormatNumber(targets.priorities.roll_out_time);
  top["priorities"]["moves"] = FormatNumber(targets.priorities.moves);
  YAML::Emitter emitter;
  emitter << top;
  return std::string(emitter.c_str()) + "\n";
}

}  // namespace plantainhead::settings
