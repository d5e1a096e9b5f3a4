#ifndef PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_
#define PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// Contents of a record id written by an entry process: the writer and the
/// sequence number of the record, starting at 1.
struct record_number {
  incarnation writer = incarnation::kNone;
  std::uint64_t number = 0;

  friend bool operator==(const record_number&, const record_number&) = default;
};

/// Returns the id of the record with the given writer and number: 16
/// hexadecimal digits, a hyphen, and the decimal number. Thread safety: safe
/// from any thread.
record_id MakeRecordId(const record_number& number);

/// Returns the writer and number that `MakeRecordId` encoded, or `nullopt` if
/// the id has another format. Thread safety: safe from any thread.
std::optional<record_number> ParseRecordId(const record_id& id);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORD_NUMBER_H_
