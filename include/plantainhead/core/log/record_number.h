#ifndef PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_
#define PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// What the id of an entry process's record says: who wrote it and as which of
/// its records, from 1.
struct record_number {
  incarnation writer = incarnation::kNone;
  std::uint64_t number = 0;

  friend bool operator==(const record_number&, const record_number&) = default;
};

/// Returns the id for the writer's record with that number: 16 hexadecimal
/// digits, a hyphen, the number.
/// Thread safety: safe from any thread.
record_id MakeRecordId(const record_number& number);

/// Returns what `MakeRecordId` was given, or nothing for an id of another form.
/// Thread safety: safe from any thread.
std::optional<record_number> ParseRecordId(const record_id& id);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_
