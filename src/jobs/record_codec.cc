#include "jobs/record_codec.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace plantainhead::jobs {
namespace {

using json = nlohmann::json;
using core::duration;
using core::jobs::step_spec;

constexpr const char* kEndedAs = "x";
constexpr const char* kOwnerKey = "owner";
constexpr std::string_view kVmPrefix = "vm/";
constexpr std::string_view kVacantPrefix = "vacant/";
constexpr std::string_view kOrderPrefix = "order/";
constexpr std::string_view kCancelSuffix = "-cancel";

// Names are one or two letters: the bytes of each record are paid for once when
// it is written and once by every entry that reads it.
json ToJson(const step_spec& step) {
  json row = {{"n", step.task_count},
              {"c", step.need.cpu_millis},
              {"m", step.need.memory_mb},
              {"e", step.estimate.count()}};
  const auto add = [&row](const char* key, auto value, auto absent) {
    if (value != absent) {
      row[key] = value;
    }
  };
  add("g", step.need.gpus, std::int64_t{0});
  if (!step.depends_on.empty()) {
    row["d"] = step.depends_on;
  }
  add("cp", step.checkpoints, false);
  add("ga", step.gang, false);
  add("sr", step.same_rack, false);
  add("rl", step.required_label, std::string());
  add("pr", step.preferred_rack, std::string());
  add("mv", step.most_per_vm, 0U);
  add("sp", step.speculative, false);
  add("la", step.lasting, false);
  add("i", step.image, std::string());
  add("lt", step.latency_target.count(), duration::rep{0});
  add("f", step.fills, false);
  add("mm", step.may_miss, 0U);
  return row;
}

step_spec ToStep(const json& row) {
  step_spec step;
  step.task_count = row.at("n").get<std::uint32_t>();
  step.need = {row.at("c").get<std::int64_t>(), row.at("m").get<std::int64_t>(),
               row.value("g", std::int64_t{0})};
  step.estimate = duration(row.at("e").get<duration::rep>());
  step.depends_on = row.value("d", std::vector<std::uint32_t>());
  step.checkpoints = row.value("cp", false);
  step.gang = row.value("ga", false);
  step.same_rack = row.value("sr", false);
  step.required_label = row.value("rl", "");
  step.preferred_rack = row.value("pr", "");
  step.most_per_vm = row.value("mv", 0U);
  step.speculative = row.value("sp", false);
  step.lasting = row.value("la", false);
  step.image = row.value("i", "");
  step.latency_target = duration(row.value("lt", duration::rep{0}));
  step.fills = row.value("f", false);
  step.may_miss = row.value("mm", 0U);
  return step;
}

core::jobs::job_spec ToSpec(const std::string& id, const json& parsed) {
  core::jobs::job_spec spec;
  spec.id = id;
  spec.queue = parsed.at("q").get<std::string>();
  spec.pool = parsed.at("p").get<std::string>();
  spec.payload = parsed.at("b").get<std::string>();
  for (const json& row : parsed.at("s")) {
    spec.steps.push_back(ToStep(row));
  }
  if (parsed.contains("r")) {
    const json& repeat = parsed["r"];
    spec.schedule = core::jobs::job_schedule{
        core::time_point(duration(repeat.at(0).get<duration::rep>())),
        duration(repeat.at(1).get<duration::rep>()),
        repeat.at(2).get<std::uint32_t>()};
  }
  return spec;
}

core::jobs::job_progress ToProgress(const json& parsed) {
  core::jobs::job_progress progress;
  const auto phase =
      core::FromName<core::jobs::job_phase>(parsed.at("s").get<std::string>());
  progress.phase = phase.value_or(core::jobs::job_phase::kQueued);
  progress.untold_runs = parsed.value("u", 0U);
  if (parsed.contains("t")) {
    for (const json& row : parsed["t"]) {
      progress.tasks.push_back(
          {row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
           row.at(2).get<std::uint32_t>(), row.at(3).get<std::uint32_t>(),
           row.at(4).get<std::vector<std::uint32_t>>(),
           row.at(5).get<int>() != 0,
           row.size() > 6 ? row.at(6).get<std::string>() : "", row.size() > 7});
    }
  }
  return progress;
}

adapter::keyed_record MarkOrDrop(std::string_view prefix,
                                 const std::string& name,
                                 bool is_dropped) {
  adapter::keyed_record encoded;
  encoded.key = std::string(prefix) + name;
  if (!is_dropped) {
    encoded.value = "1";
  }
  return encoded;
}

}  // namespace

adapter::keyed_record Encode(const submission_record& record) {
  const core::jobs::job_spec& spec = record.spec;
  json value = {{"q", spec.queue}, {"p", spec.pool}, {"b", spec.payload}};
  value["s"] = json::array();
  for (const step_spec& step : spec.steps) {
    value["s"].push_back(ToJson(step));
  }
  if (spec.schedule) {
    value["r"] =
        json::array({spec.schedule->first_due.time_since_epoch().count(),
                     spec.schedule->interval.count(), spec.schedule->count});
  }
  return {spec.id, value.dump()};
}

adapter::keyed_record Encode(const ended_record& record) {
  const json value = {{kEndedAs, core::NameOf(record.phase)}};
  return {record.job, value.dump()};
}

adapter::keyed_record Encode(const cancel_record& record) {
  return {record.job + std::string(kCancelSuffix), "1"};
}

adapter::keyed_record Encode(const progress_record& record) {
  json value = {{"s", core::NameOf(record.progress.phase)}};
  if (record.progress.untold_runs > 0) {
    value["u"] = record.progress.untold_runs;
  }
  if (!record.progress.tasks.empty()) {
    json rows = json::array();
    for (const core::jobs::task_record& task : record.progress.tasks) {
      json row =
          json::array({task.occurrence, task.step, task.index, task.ended_run,
                       task.failed_runs, task.done ? 1 : 0});
      if (!task.checkpoint.empty() || task.is_presumed) {
        row.push_back(task.checkpoint);
      }
      if (task.is_presumed) {
        row.push_back(1);
      }
      rows.push_back(std::move(row));
    }
    value["t"] = std::move(rows);
  }
  return {record.job, value.dump()};
}

adapter::keyed_record Encode(const owner_record& record) {
  json value = {{"epoch", record.epoch}, {"member", record.member}};
  for (const auto& [vm, left] : record.leases) {
    value["leases"][vm] = left.count();
  }
  return {kOwnerKey, value.dump()};
}

adapter::keyed_record Encode(const vm_record& record) {
  adapter::keyed_record encoded;
  encoded.key = std::string(kVmPrefix) + record.vm;
  if (!record.is_dropped) {
    encoded.value = record.address;
  }
  return encoded;
}

adapter::keyed_record Encode(const vacancy_record& record) {
  return MarkOrDrop(kVacantPrefix, record.vm, record.is_dropped);
}

adapter::keyed_record Encode(const order_record& record) {
  return MarkOrDrop(kOrderPrefix, record.host, record.is_dropped);
}

std::optional<job_record> DecodeJobRecord(const adapter::keyed_record& record) {
  if (!record.value) {
    return std::nullopt;
  }
  const std::string_view key = record.key;
  if (key.size() > kCancelSuffix.size() &&
      key.substr(key.size() - kCancelSuffix.size()) == kCancelSuffix) {
    return cancel_record{
        record.key.substr(0, key.size() - kCancelSuffix.size())};
  }
  try {
    const json parsed = json::parse(*record.value);
    if (!parsed.contains(kEndedAs)) {
      return submission_record{ToSpec(record.key, parsed)};
    }
    const auto phase = core::FromName<core::jobs::job_phase>(
        parsed[kEndedAs].get<std::string>());
    if (!phase || !core::jobs::IsFinal(*phase)) {
      return std::nullopt;
    }
    return ended_record{record.key, *phase};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<pool_record> DecodePoolRecord(
    const adapter::keyed_record& record) {
  if (record.key.compare(0, kVmPrefix.size(), kVmPrefix) == 0) {
    return vm_record{record.key.substr(kVmPrefix.size()),
                     record.value.value_or(""), !record.value.has_value()};
  }
  if (record.key.compare(0, kVacantPrefix.size(), kVacantPrefix) == 0) {
    return vacancy_record{record.key.substr(kVacantPrefix.size()),
                          !record.value.has_value()};
  }
  if (record.key.compare(0, kOrderPrefix.size(), kOrderPrefix) == 0) {
    return order_record{record.key.substr(kOrderPrefix.size()),
                        !record.value.has_value()};
  }
  if (!record.value) {
    return std::nullopt;
  }
  try {
    const json parsed = json::parse(*record.value);
    if (record.key == kOwnerKey) {
      owner_record owner{parsed.at("epoch").get<std::uint64_t>(),
                         parsed.at("member").get<std::string>(),
                         {}};
      if (parsed.contains("leases")) {
        for (const auto& [vm, left] : parsed["leases"].items()) {
          owner.leases[vm] = duration(left.get<duration::rep>());
        }
      }
      return owner;
    }
    return progress_record{record.key, ToProgress(parsed)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace plantainhead::jobs
