#include "jobs/fleet_records.h"

#include <charconv>
#include <string_view>

#include "jobs/job_world.h"

namespace plantainhead::jobs {
namespace {

constexpr std::string_view kClosed = "closed/";
constexpr std::string_view kEmpty = "empty/";
constexpr std::string_view kOffered = "offered/";
constexpr std::string_view kWanted = "wanted/";
constexpr const char* kShort = "!";
constexpr char kPartSeparator = ':';
constexpr std::string_view kServiced = "serviced/";
constexpr std::string_view kCompleted = "completed/";
constexpr const char* kMark = "1";
// Of a pool. No platform has as many VMs.
constexpr std::uint64_t kMostWanted = 1'000'000;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<core::jobs::vm_id> AfterPrefix(const std::string& key,
                                             std::string_view prefix) {
  if (key.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  return key.substr(prefix.size());
}

std::optional<std::uint64_t> ParseWanted(std::string_view text) {
  if (!text.empty() && text.back() == kShort[0]) {
    text.remove_suffix(1);
  }
  const auto count = ParseNumber(text);
  return count && *count <= kMostWanted ? count : std::nullopt;
}

}  // namespace

adapter::keyed_record EncodeClosedVm(const core::jobs::vm_id& vm) {
  return {std::string(kClosed) + vm, "1"};
}

adapter::keyed_record DropClosedVm(const core::jobs::vm_id& vm) {
  return {std::string(kClosed) + vm, std::nullopt};
}

adapter::keyed_record DropEmptyVm(const core::jobs::vm_id& vm) {
  return {std::string(kEmpty) + vm, std::nullopt};
}

adapter::keyed_record Encode(const core::jobs::vacancy_hint& hint) {
  const bool is_offer = hint.reason == core::jobs::vacancy_reason::kOffered;
  return {std::string(is_offer ? kOffered : kEmpty) + hint.vm,
          std::to_string(hint.partition) + kPartSeparator +
              std::to_string(hint.epoch)};
}

adapter::keyed_record DropOfferedVm(const core::jobs::vm_id& vm) {
  return {std::string(kOffered) + vm, std::nullopt};
}

adapter::keyed_record EncodeWantedVms(const core::jobs::pool_id& pool,
                                      const wanted_vms& wanted) {
  return {std::string(kWanted) + pool,
          std::to_string(wanted.count) + (wanted.is_short ? kShort : "")};
}

std::optional<core::jobs::vacant_vm> HintedVmOf(const std::string& key) {
  using core::jobs::vacancy_reason;
  if (const auto offered = AfterPrefix(key, kOffered)) {
    return core::jobs::vacant_vm{*offered, vacancy_reason::kOffered};
  }
  if (const auto empty = AfterPrefix(key, kEmpty)) {
    return core::jobs::vacant_vm{*empty, vacancy_reason::kForService};
  }
  return std::nullopt;
}

std::optional<core::jobs::vm_id> OfferedVmOf(const std::string& key) {
  return AfterPrefix(key, kOffered);
}

std::optional<core::jobs::pool_id> WantingPoolOf(const std::string& key) {
  return AfterPrefix(key, kWanted);
}

wanted_vms DecodeWantedVms(const std::string& value) {
  wanted_vms wanted;
  wanted.is_short = !value.empty() && value.back() == kShort[0];
  wanted.count = static_cast<std::uint32_t>(ParseWanted(value).value_or(0));
  return wanted;
}

adapter::keyed_record EncodeServicedHost(const serviced_host& serviced) {
  return {std::string(kServiced) + std::to_string(serviced.wave) + "/" +
              serviced.host,
          "1"};
}

adapter::keyed_record EncodeCompletedWave(std::uint64_t wave) {
  return {std::string(kCompleted) + std::to_string(wave), "1"};
}

std::optional<serviced_host> ServicedHostOf(const std::string& key) {
  const auto rest = AfterPrefix(key, kServiced);
  const auto slash = rest ? rest->find('/') : std::string::npos;
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const auto wave = ParseNumber(std::string_view(*rest).substr(0, slash));
  if (!wave) {
    return std::nullopt;
  }
  return serviced_host{*wave, rest->substr(slash + 1)};
}

std::optional<std::uint64_t> CompletedWaveOf(const std::string& key) {
  const auto rest = AfterPrefix(key, kCompleted);
  return rest ? ParseNumber(*rest) : std::nullopt;
}

std::optional<core::jobs::vm_id> ClosedVmOf(const std::string& key) {
  return AfterPrefix(key, kClosed);
}

std::optional<core::jobs::vacancy_hint> DecodeVacancyHint(
    const std::string& key,
    const std::string& value) {
  const auto hinted = HintedVmOf(key);
  if (!hinted) {
    return std::nullopt;
  }
  core::jobs::vacancy_hint hint;
  hint.vm = hinted->vm;
  hint.reason = hinted->reason;
  const std::string_view text = value;
  const auto separator = text.find(kPartSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto partition = ParseNumber(text.substr(0, separator));
  const auto epoch = ParseNumber(text.substr(separator + 1));
  if (!partition || !epoch) {
    return std::nullopt;
  }
  if (*partition >= kPoolPartitions) {
    return std::nullopt;
  }
  hint.partition = static_cast<std::uint32_t>(*partition);
  hint.epoch = *epoch;
  return hint;
}

std::optional<core::jobs::record_fault> FaultOfFleetRecord(
    const adapter::keyed_record& record) {
  using core::jobs::fault_kind;
  using core::jobs::record_fault;
  if (record.fault) {
    return record.fault;
  }
  const std::string value = record.value.value_or(kMark);
  bool is_sound = value == kMark;
  std::string name;
  if (const auto hinted = HintedVmOf(record.key)) {
    name = hinted->vm;
    is_sound = !record.value || DecodeVacancyHint(record.key, value);
  } else if (const auto closed = ClosedVmOf(record.key)) {
    name = *closed;
  } else if (const auto pool = WantingPoolOf(record.key)) {
    name = *pool;
    is_sound = ParseWanted(value).has_value();
  } else if (const auto serviced = ServicedHostOf(record.key)) {
    name = serviced->host;
  } else if (const auto wave = CompletedWaveOf(record.key)) {
    name = std::to_string(*wave);
  } else {
    return record_fault{fault_kind::kUnknownName, "key"};
  }
  if (!core::jobs::IsValidName(name)) {
    return record_fault{fault_kind::kUnreadable, "key"};
  }
  return is_sound ? std::nullopt
                  : std::optional(record_fault{fault_kind::kOutOfRange, ""});
}

}  // namespace plantainhead::jobs
