#include "jobs/queue_history.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "platform/record_reader.h"

namespace plantainhead::jobs {
namespace {

using adapter::value_reader;
using core::jobs::fault_kind;
using core::jobs::pool_id;
using core::jobs::queue_id;
using core::jobs::record_fault;

constexpr const char* kKeyPrefix = "served/";
constexpr const char* kPolicyPrefix = "policy/";
constexpr double kMaxStretch = 1e6;
constexpr std::int64_t kMaxMicroseconds = adapter::kMaxMillis * 1000;

// The names together may be longer than a key.
std::string KeyOf(const served_queue& record) {
  const std::string names = record.queue + '\0' + record.pool;
  return kKeyPrefix + std::to_string(XXH64(names.data(), names.size(), 0));
}

recorded_policy ReadPolicy(const value_reader& fields) {
  recorded_policy read;
  read.version = static_cast<std::uint64_t>(
      fields.At("v").Integer(1, adapter::kMaxExactInteger));
  read.policy.priority =
      static_cast<std::int32_t>(fields.At("r").Integer(INT32_MIN, INT32_MAX));
  read.policy.max_attempts = fields.At("a").Count(1);
  read.policy.stretch = fields.At("s").Number(0, kMaxStretch);
  read.policy.latency_target =
      core::duration(fields.At("t").Integer(0, kMaxMicroseconds));
  return read;
}

}  // namespace

bool IsServedQueueKey(const std::string& key) {
  return key.rfind(kKeyPrefix, 0) == 0;
}

adapter::keyed_record Encode(const served_queue& record) {
  const nlohmann::json value = {{"q", record.queue}, {"p", record.pool}};
  return {KeyOf(record), value.dump()};
}

core::jobs::decoded<served_queue> DecodeServedQueue(
    const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  if (!record.value) {
    return record_fault{fault_kind::kMissing, ""};
  }
  auto served = adapter::DecodeText<served_queue>(
      *record.value, [](const value_reader& fields) {
        return served_queue{fields.At("q").Name(), fields.At("p").Name()};
      });
  if (served && KeyOf(*served) != record.key) {
    return record_fault{fault_kind::kOutOfRange, "key"};
  }
  return served;
}

bool IsPolicyKey(const std::string& key) {
  return key.rfind(kPolicyPrefix, 0) == 0;
}

adapter::keyed_record Encode(const recorded_policy& record) {
  const nlohmann::json value = {{"v", record.version},
                                {"r", record.policy.priority},
                                {"a", record.policy.max_attempts},
                                {"s", record.policy.stretch},
                                {"t", record.policy.latency_target.count()}};
  return {kPolicyPrefix + record.queue, value.dump()};
}

core::jobs::decoded<recorded_policy> DecodeRecordedPolicy(
    const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  const std::string queue =
      record.key.substr(std::string_view(kPolicyPrefix).size());
  if (!core::jobs::IsValidName(queue)) {
    return record_fault{fault_kind::kUnreadable, "key"};
  }
  if (!record.value) {
    return record_fault{fault_kind::kMissing, ""};
  }
  auto decoded =
      adapter::DecodeText<recorded_policy>(*record.value, ReadPolicy);
  if (decoded) {
    decoded->queue = queue;
  }
  return decoded;
}

void queue_history::NotePolicy(const recorded_policy& configured) {
  recorded_policy& known = policies_[configured.queue];
  const bool is_changed =
      known.version == 0 || known.policy != configured.policy;
  if (is_changed && configured.version > known.version) {
    known = configured;
  }
}

bool queue_history::NoteStoredPolicy(const recorded_policy& stored) {
  stored_policies_[stored.queue] = stored;
  recorded_policy& known = policies_[stored.queue];
  if (stored.version > known.version) {
    known = stored;
  }
  return !IsStored(known);
}

bool queue_history::IsStored(const recorded_policy& known) const {
  const auto stored = stored_policies_.find(known.queue);
  return stored != stored_policies_.end() &&
         (stored->second.policy == known.policy ||
          stored->second.version >= known.version);
}

std::optional<core::jobs::queue_policy> queue_history::PolicyOf(
    const queue_id& queue) const {
  const auto found = policies_.find(queue);
  return found == policies_.end() ? std::nullopt
                                  : std::optional(found->second.policy);
}

std::vector<recorded_policy> queue_history::PoliciesToStore() const {
  std::vector<recorded_policy> unstored;
  for (const auto& [queue, known] : policies_) {
    if (!IsStored(known)) {
      unstored.push_back(known);
    }
  }
  return unstored;
}

void queue_history::NoteConfigured(const served_queue& served) {
  pools_[served.queue].insert(served.pool);
}

void queue_history::NoteStored(const served_queue& served) {
  pools_[served.queue].insert(served.pool);
  stored_[served.queue].insert(served.pool);
}

bool queue_history::HasOtherPool(const queue_id& queue,
                                 const pool_id& pool) const {
  const auto found = pools_.find(queue);
  return found != pools_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&pool](const pool_id& other) { return other != pool; });
}

bool queue_history::IsStored(const served_queue& served) const {
  const auto found = stored_.find(served.queue);
  return found != stored_.end() && found->second.count(served.pool) != 0;
}

}  // namespace plantainhead::jobs
