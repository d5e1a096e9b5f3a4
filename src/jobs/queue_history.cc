#include "jobs/queue_history.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
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

// The names together may be longer than a key.
std::string KeyOf(const served_queue& record) {
  const std::string names = record.queue + '\0' + record.pool;
  return kKeyPrefix + std::to_string(XXH64(names.data(), names.size(), 0));
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
