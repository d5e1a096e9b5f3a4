#ifndef PLANTAINHEAD_CORE_JOBS_RECORD_FAULTS_H_
#define PLANTAINHEAD_CORE_JOBS_RECORD_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "plantainhead/core/names.h"

/// Classification and counting of invalid records in the store. Any writer may
/// have stored any value under any key.
namespace plantainhead::core::jobs {

/// States what makes a record unusable.
enum class fault_kind {
  /// The frame, the key or the encoding around the value cannot be decoded.
  kUnreadable,
  /// The value is empty, truncated, or not JSON in UTF-8.
  kNotJson,
  /// Arrays and objects are nested more deeply than in any valid record.
  kTooDeep,
  /// An object has a duplicate field; readers differ in which one they use.
  kDuplicate,
  kMissing,
  kWrongType,
  kOutOfRange,
  kTooLong,
  /// A state, phase, pool or record type that is not known.
  kUnknownName,
};

inline constexpr name_table<fault_kind, 9> kFaultKindNames = {{
    {fault_kind::kUnreadable, "unreadable"},
    {fault_kind::kNotJson, "not json"},
    {fault_kind::kTooDeep, "too deep"},
    {fault_kind::kDuplicate, "duplicate"},
    {fault_kind::kMissing, "missing"},
    {fault_kind::kWrongType, "wrong type"},
    {fault_kind::kOutOfRange, "out of range"},
    {fault_kind::kTooLong, "too long"},
    {fault_kind::kUnknownName, "unknown name"},
}};
inline constexpr const auto& NamesOf(fault_kind) {
  return kFaultKindNames;
}

/// The first fault found in a record.
struct record_fault {
  fault_kind kind = fault_kind::kUnreadable;
  /// Path of the faulty field, such as "routes[2].name"; empty if the fault
  /// concerns the whole record.
  std::string field;

  bool operator==(const record_fault&) const = default;
};

/// Result of decoding a record: the value, or the fault that prevented
/// decoding.
template <typename T>
class decoded {
 public:
  decoded(T value) : content_(std::move(value)) {}
  decoded(record_fault fault) : content_(std::move(fault)) {}

  explicit operator bool() const { return content_.index() == 0; }
  /// Precondition: there is a value.
  T& operator*() { return std::get<0>(content_); }
  const T& operator*() const { return std::get<0>(content_); }
  T* operator->() { return &**this; }
  const T* operator->() const { return &**this; }
  /// Precondition: there is no value.
  const record_fault& fault() const { return std::get<1>(content_); }

 private:
  std::variant<T, record_fault> content_;
};

/// The purpose of a record, which determines the effect of a fault in it.
enum class record_use {
  kConfiguration,
  kWave,
  kVmEntry,
  kJob,
  kProgress,
  kOwnerClaim,
  kUsedVm,
  kVacancy,
  kHostOrder,
  kFleetNote,
};

/// The effect of a fault, in addition to being counted and logged.
enum class fault_effect {
  /// The value read earlier under the key stays in effect; if there is none,
  /// the record is ignored.
  kKeepPrevious,
  /// The VM receives no new tasks, but is not considered gone.
  kNoNewTasks,
  /// An unknown process may have claimed the partition and may issue orders.
  kClaimUnknown,
  /// The VM or host is assumed to be in use.
  kAssumeInUse,
};

/// Returns the effect that is safest, whichever process wrote the record.
/// Thread safety: safe from any thread.
fault_effect EffectOf(record_use use);

/// Counts record faults and decides which of them are logged. Thread safety:
/// one thread at a time.
class record_fault_counter {
 public:
  using counts_by_fault =
      std::map<std::pair<std::string, fault_kind>, std::uint64_t>;

  /// Counts a fault. Returns whether it should be logged: true for the first
  /// fault of each key of a topic, up to a maximum number of keys. Records are
  /// read repeatedly, and another writer may create any number of keys.
  bool Note(const std::string& topic,
            const std::string& key,
            const record_fault& fault);
  /// Notes that the key holds a valid record, so that its next fault is logged
  /// again.
  void NoteValid(const std::string& topic, const std::string& key);

  /// Returns the number of times records were read with each fault, by topic.
  const counts_by_fault& counts() const { return counts_; }
  /// Returns the number of keys that hold a faulty record, up to the maximum
  /// that is tracked.
  std::size_t FaultyKeys() const { return keys_.size(); }

 private:
  counts_by_fault counts_;
  std::set<std::pair<std::string, std::string>> keys_;
};

/// Returns whether the text is valid as the name of a VM, host, pool or job.
/// Names become parts of keys, headers and log lines.
bool IsValidName(const std::string& text);

/// Maximum length of a name in bytes. The store limits keys to 255 bytes, and
/// the longest prefix before a name has 30.
inline constexpr std::size_t kMaxNameBytes = 200;

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_RECORD_FAULTS_H_
