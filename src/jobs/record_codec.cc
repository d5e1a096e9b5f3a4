#include "jobs/record_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "net/address.h"
#include "platform/ingress_codec.h"
#include "platform/record_reader.h"

namespace plantainhead::jobs {
namespace {

using adapter::kMaxExactInteger;
using adapter::value_reader;
using core::duration;
using core::jobs::decoded;
using core::jobs::fault_kind;
using core::jobs::record_fault;
using core::jobs::step_spec;
using json = nlohmann::json;

constexpr const char* kEndedAs = "x";
// Fields of the phase in a progress record. Versions that do not read ranges
// must not take such a record for one of a job without progress, so that the
// field that they require is missing in it.
constexpr const char* kPhase = "s";
constexpr const char* kPhaseWithRanges = "c";
constexpr const char* kOwnerKey = "owner";
constexpr std::string_view kVmPrefix = "vm/";
constexpr std::string_view kVacantPrefix = "vacant/";
constexpr std::string_view kOrderPrefix = "order/";
// Prefix of the holder's name in the value of an order record.
constexpr std::string_view kHolderPrefix = "by:";
constexpr std::string_view kCancelSuffix = "-cancel";
constexpr const char* kMarkerValue = "1";
// Equal to the limit of a submission.
constexpr std::uint32_t kMaxTasksPerStep = 10000;
constexpr std::int64_t kMaxMicroseconds = adapter::kMaxMillis * 1000;

// Field names have one or two letters: the bytes of each record are charged
// once when it is written and once for every entry process that reads it.
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
  add("mv", step.max_per_vm, 0U);
  add("sp", step.speculative, false);
  add("la", step.long_running, false);
  add("i", step.image, std::string());
  add("lt", step.latency_target.count(), duration::rep{0});
  add("f", step.best_effort, false);
  add("mm", step.max_unavailable, 0U);
  return row;
}

json ToJson(const std::vector<core::jobs::run_loss>& losses) {
  json rows = json::array();
  for (const core::jobs::run_loss& loss : losses) {
    json row = json::array({loss.run, core::NameOf(loss.kind), loss.vm});
    if (loss.incarnation) {
      row.push_back(*loss.incarnation);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

// Returns `default_value` for a missing field.
template <typename T, typename Read>
T Optional(const value_reader& field, T default_value, Read read) {
  return field.IsMissing() ? default_value : read(field);
}

std::uint32_t OptionalCount(const value_reader& field) {
  return Optional(field, 0U,
                  [](const value_reader& count) { return count.Count(); });
}

bool OptionalFlag(const value_reader& field) {
  return Optional(field, false,
                  [](const value_reader& flag) { return flag.Flag(); });
}

std::string OptionalText(const value_reader& field) {
  return Optional(field, std::string(),
                  [](const value_reader& text) { return text.Text(); });
}

duration ReadDuration(const value_reader& field) {
  return duration(field.Integer(0, kMaxMicroseconds));
}

// Each number must be that of an earlier step: the computation of the length of
// a chain of steps relies on their order.
std::vector<std::uint32_t> ReadDependencies(const value_reader& field,
                                            std::size_t number) {
  if (field.IsMissing()) {
    return {};
  }
  std::vector<std::uint32_t> dependencies = field.Counts();
  const bool are_earlier =
      std::all_of(dependencies.begin(), dependencies.end(),
                  [number](std::uint32_t step) { return step < number; });
  if (!are_earlier) {
    field.ReportFault(fault_kind::kOutOfRange);
  }
  return dependencies;
}

step_spec ReadStep(const value_reader& row, std::size_t number) {
  step_spec step;
  step.task_count = row.At("n").Count(1, kMaxTasksPerStep);
  step.need = {
      row.At("c").Integer(0, kMaxExactInteger),
      row.At("m").Integer(0, kMaxExactInteger),
      Optional(row.At("g"), std::int64_t{0}, [](const value_reader& field) {
        return field.Integer(0, kMaxExactInteger);
      })};
  step.estimate = ReadDuration(row.At("e"));
  step.depends_on = ReadDependencies(row.At("d"), number);
  step.checkpoints = OptionalFlag(row.At("cp"));
  step.gang = OptionalFlag(row.At("ga"));
  step.same_rack = OptionalFlag(row.At("sr"));
  step.required_label = OptionalText(row.At("rl"));
  step.preferred_rack = OptionalText(row.At("pr"));
  step.max_per_vm = OptionalCount(row.At("mv"));
  step.speculative = OptionalFlag(row.At("sp"));
  step.long_running = OptionalFlag(row.At("la"));
  step.image = OptionalText(row.At("i"));
  step.latency_target = Optional(row.At("lt"), duration::zero(), ReadDuration);
  step.best_effort = OptionalFlag(row.At("f"));
  step.max_unavailable = OptionalCount(row.At("mm"));
  return step;
}

core::jobs::job_schedule ReadSchedule(const value_reader& repeat) {
  return {core::time_point(ReadDuration(repeat.At(std::size_t{0}))),
          ReadDuration(repeat.At(1)), repeat.At(2).Count(1)};
}

core::jobs::job_spec ReadSpec(const value_reader& record) {
  core::jobs::job_spec spec;
  spec.queue = record.At("q").Name();
  spec.pool = record.At("p").Name();
  spec.payload = record.At("b").Text();
  const value_reader steps = record.At("s");
  const std::size_t count = steps.RowCount();
  spec.steps.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    spec.steps.push_back(ReadStep(steps.At(i), i));
  }
  const value_reader repeat = record.At("r");
  if (!repeat.IsMissing()) {
    spec.schedule = ReadSchedule(repeat);
  }
  const value_reader submitted = record.At("h");
  if (!submitted.IsMissing()) {
    spec.submitted_at = core::time_point(submitted.Millis());
  }
  return spec;
}

core::jobs::job_phase ReadFinalPhase(const value_reader& field) {
  const auto phase = field.EnumValue<core::jobs::job_phase>();
  if (!core::jobs::IsFinal(phase)) {
    field.ReportFault(fault_kind::kOutOfRange);
  }
  return phase;
}

core::jobs::run_loss ReadLoss(const value_reader& row) {
  return {row.At(std::size_t{0}).Count(),
          row.At(1).EnumValue<core::jobs::loss_kind>(), row.At(2).Name(),
          row.At(3).OptionalInteger(0, adapter::kMaxMillis)};
}

// Calls `add` with each row of a list that may be missing.
template <typename Add>
void ForRows(const value_reader& rows, Add add) {
  const std::size_t count = rows.IsMissing() ? 0 : rows.RowCount();
  for (std::size_t i = 0; i < count; ++i) {
    add(rows.At(i));
  }
}

core::jobs::task_record ReadTask(const value_reader& row) {
  core::jobs::task_record task;
  task.occurrence = row.At(std::size_t{0}).Count();
  task.step = row.At(1).Count();
  task.index = row.At(2).Count();
  task.ended_run = row.At(3).Count();
  task.failed_runs = row.At(4).Counts();
  task.done = row.At(5).Count(0, 1) != 0;
  task.checkpoint = OptionalText(row.At(6));
  task.is_presumed = Optional(row.At(7), false, [](const value_reader& field) {
    return field.Count(0, 1) != 0;
  });
  ForRows(row.At(8), [&task](const value_reader& loss) {
    task.losses.push_back(ReadLoss(loss));
  });
  return task;
}

core::jobs::done_ranges ReadDone(const value_reader& record) {
  core::jobs::done_ranges done;
  ForRows(record.At("do"), [&done](const value_reader& row) {
    done.occurrences.push_back(
        {row.At(std::size_t{0}).Count(), row.At(1).Count()});
  });
  ForRows(record.At("ds"), [&done](const value_reader& row) {
    done.steps.push_back(
        {row.At(std::size_t{0}).Count(), row.At(1).Count(), row.At(2).Count()});
  });
  ForRows(record.At("dt"), [&done](const value_reader& row) {
    done.tasks.push_back({row.At(std::size_t{0}).Count(), row.At(1).Count(),
                          row.At(2).Count(), row.At(3).Count()});
  });
  return done;
}

json ToJson(const core::jobs::done_ranges& done) {
  json fields = json::object();
  for (const auto& range : done.occurrences) {
    fields["do"].push_back({range.begin, range.end});
  }
  for (const auto& range : done.steps) {
    fields["ds"].push_back({range.occurrence, range.begin, range.end});
  }
  for (const auto& range : done.tasks) {
    fields["dt"].push_back(
        {range.occurrence, range.step, range.begin, range.end});
  }
  return fields;
}

core::jobs::job_progress ReadProgress(const value_reader& record) {
  core::jobs::job_progress progress;
  const value_reader with_ranges = record.At(kPhaseWithRanges);
  progress.phase = (with_ranges.IsMissing() ? record.At(kPhase) : with_ranges)
                       .EnumValue<core::jobs::job_phase>();
  if (!with_ranges.IsMissing()) {
    progress.done = ReadDone(record);
  }
  progress.unreported_runs = OptionalCount(record.At("u"));
  ForRows(record.At("t"), [&progress](const value_reader& row) {
    progress.tasks.push_back(ReadTask(row));
  });
  return progress;
}

owner_record ReadOwner(const value_reader& record) {
  owner_record owner;
  owner.epoch = static_cast<std::uint64_t>(
      record.At("epoch").Integer(1, kMaxExactInteger));
  owner.member = record.At("member").Text(core::jobs::kMaxNameBytes);
  const value_reader leases = record.At("leases");
  const auto* fields = leases.IsMissing() ? nullptr : leases.Fields();
  if (fields != nullptr) {
    for (const auto& [vm, left] : *fields) {
      owner.leases[vm] = ReadDuration(leases.At(vm.c_str()));
    }
  }
  return owner;
}

decoded<job_record> DecodeSubmission(const std::string& id,
                                     const json& parsed) {
  std::optional<record_fault> fault;
  submission_record submission{ReadSpec(value_reader(parsed, &fault))};
  submission.spec.id = id;
  if (!adapter::IsJobId(id)) {
    return record_fault{fault_kind::kUnknownName, "key"};
  }
  if (!fault && submission.spec.steps.empty()) {
    fault = record_fault{fault_kind::kOutOfRange, "s"};
  }
  if (fault) {
    return *std::move(fault);
  }
  return job_record(std::move(submission));
}

// A marker is either present with a fixed value or removed; other values are
// faults.
std::optional<record_fault> ValidateMarker(
    const std::string& name,
    const adapter::keyed_record& record) {
  if (!core::jobs::IsValidName(name)) {
    return record_fault{fault_kind::kUnreadable, "key"};
  }
  if (record.value && *record.value != kMarkerValue) {
    return record_fault{fault_kind::kOutOfRange, ""};
  }
  return std::nullopt;
}

adapter::keyed_record EncodeMarker(std::string_view prefix,
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
  if (spec.submitted_at) {
    value["h"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                     spec.submitted_at->time_since_epoch())
                     .count();
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
  const core::jobs::done_ranges& done = record.progress.done;
  json value = ToJson(done);
  value[done.IsEmpty() ? kPhase : kPhaseWithRanges] =
      core::NameOf(record.progress.phase);
  if (record.progress.unreported_runs > 0) {
    value["u"] = record.progress.unreported_runs;
  }
  if (!record.progress.tasks.empty()) {
    json rows = json::array();
    for (const core::jobs::task_record& task : record.progress.tasks) {
      json row =
          json::array({task.occurrence, task.step, task.index, task.ended_run,
                       task.failed_runs, task.done ? 1 : 0});
      const bool has_losses = !task.losses.empty();
      if (!task.checkpoint.empty() || task.is_presumed || has_losses) {
        row.push_back(task.checkpoint);
      }
      if (task.is_presumed || has_losses) {
        row.push_back(task.is_presumed ? 1 : 0);
      }
      if (has_losses) {
        row.push_back(ToJson(task.losses));
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
  return EncodeMarker(kVacantPrefix, record.vm, record.is_dropped);
}

adapter::keyed_record Encode(const order_record& record) {
  adapter::keyed_record encoded =
      EncodeMarker(kOrderPrefix, record.host, record.is_dropped);
  if (!record.is_dropped && !record.holder.empty()) {
    encoded.value = std::string(kHolderPrefix) + record.holder;
  }
  return encoded;
}

bool IsSubmission(const adapter::keyed_record& record) {
  constexpr std::size_t kMaxEndRecordBytes = 32;
  return adapter::IsJobId(record.key) && record.value &&
         record.value->size() > kMaxEndRecordBytes;
}

decoded<job_record> DecodeJobRecord(const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  if (!record.value) {
    return record_fault{fault_kind::kMissing, ""};
  }
  const std::string_view key = record.key;
  if (key.size() > kCancelSuffix.size() &&
      key.substr(key.size() - kCancelSuffix.size()) == kCancelSuffix) {
    cancel_record cancel{
        record.key.substr(0, key.size() - kCancelSuffix.size())};
    if (auto fault = ValidateMarker(cancel.job, record)) {
      return *std::move(fault);
    }
    return job_record(std::move(cancel));
  }
  json parsed;
  std::optional<record_fault> fault =
      adapter::ParseRecord(*record.value, &parsed);
  if (fault) {
    return *std::move(fault);
  }
  const value_reader reader(parsed, &fault);
  const value_reader ended = reader.At(kEndedAs);
  if (ended.IsMissing()) {
    return DecodeSubmission(record.key, parsed);
  }
  const ended_record end{record.key, ReadFinalPhase(ended)};
  if (fault) {
    return *std::move(fault);
  }
  return job_record(end);
}

pool_key PoolKeyOf(const std::string& key) {
  const auto is_under = [&key](std::string_view prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  };
  if (key == kOwnerKey) {
    return {pool_record_kind::kOwner, ""};
  }
  if (is_under(kVmPrefix)) {
    return {pool_record_kind::kVm, key.substr(kVmPrefix.size())};
  }
  if (is_under(kVacantPrefix)) {
    return {pool_record_kind::kVacancy, key.substr(kVacantPrefix.size())};
  }
  if (is_under(kOrderPrefix)) {
    return {pool_record_kind::kOrder, key.substr(kOrderPrefix.size())};
  }
  return {pool_record_kind::kProgress, key};
}

namespace {

decoded<pool_record> DecodeVm(const std::string& vm,
                              const adapter::keyed_record& record) {
  if (!core::jobs::IsValidName(vm)) {
    return record_fault{fault_kind::kUnreadable, "key"};
  }
  if (record.value && !net::IsAddress(*record.value)) {
    return record_fault{fault_kind::kOutOfRange, ""};
  }
  return pool_record(
      vm_record{vm, record.value.value_or(""), !record.value.has_value()});
}

decoded<pool_record> DecodeVacancy(const std::string& vm,
                                   const adapter::keyed_record& record) {
  if (auto fault = ValidateMarker(vm, record)) {
    return *std::move(fault);
  }
  return pool_record(vacancy_record{vm, !record.value.has_value()});
}

decoded<pool_record> DecodeOrder(const std::string& host,
                                 const adapter::keyed_record& record) {
  const std::string value = record.value.value_or("");
  const bool names_holder =
      value.compare(0, kHolderPrefix.size(), kHolderPrefix) == 0;
  if (!names_holder) {
    if (auto fault = ValidateMarker(host, record)) {
      return *std::move(fault);
    }
    return pool_record(order_record{host, "", !record.value.has_value()});
  }
  if (!core::jobs::IsValidName(host)) {
    return record_fault{fault_kind::kUnreadable, "key"};
  }
  const std::string holder = value.substr(kHolderPrefix.size());
  if (!core::jobs::IsValidName(holder)) {
    return record_fault{fault_kind::kOutOfRange, ""};
  }
  return pool_record(order_record{host, holder, false});
}

decoded<pool_record> DecodeOwner(const std::string& value) {
  auto owner = adapter::DecodeText<owner_record>(value, ReadOwner);
  if (!owner) {
    return owner.fault();
  }
  return pool_record(std::move(*owner));
}

decoded<pool_record> DecodeProgress(const std::string& job,
                                    const std::string& value) {
  auto progress =
      adapter::DecodeText<core::jobs::job_progress>(value, ReadProgress);
  if (!progress) {
    return progress.fault();
  }
  return pool_record(progress_record{job, std::move(*progress)});
}

}  // namespace

decoded<pool_record> DecodePoolRecord(const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  const pool_key key = PoolKeyOf(record.key);
  switch (key.kind) {
    case pool_record_kind::kVm:
      return DecodeVm(key.name, record);
    case pool_record_kind::kVacancy:
      return DecodeVacancy(key.name, record);
    case pool_record_kind::kOrder:
      return DecodeOrder(key.name, record);
    case pool_record_kind::kOwner:
    case pool_record_kind::kProgress:
      break;
  }
  if (!record.value) {
    return record_fault{fault_kind::kMissing, ""};
  }
  return key.kind == pool_record_kind::kOwner
             ? DecodeOwner(*record.value)
             : DecodeProgress(key.name, *record.value);
}

}  // namespace plantainhead::jobs
