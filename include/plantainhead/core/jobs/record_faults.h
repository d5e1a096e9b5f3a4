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

/// Records of the store that can't be used as they are: another writer may
/// have put anything under any key.
namespace plantainhead::core::jobs {

/// What is wrong with a record.
enum class fault_kind {
  /// The frame, the key or the encoding around the value can't be read.
  kUnreadable,
  /// The value is empty, cut off, or isn't JSON in UTF-8.
  kNotJson,
  /// Lists and objects stand in one another deeper than any record of ours.
  kTooDeep,
  /// An object has a field twice; readers differ in which one they take.
  kDuplicate,
  kMissing,
  kWrongType,
  kOutOfRange,
  kTooLong,
  /// A state, phase, pool or kind of record that has no meaning here.
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

/// The first fault that was found in a record.
struct record_fault {
  fault_kind kind = fault_kind::kUnreadable;
  /// Where in the record, as in "routes[2].name"; empty: all of it.
  std::string field;

  bool operator==(const record_fault&) const = default;
};

/// A record as a whole, or the fault that makes it none.
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

/// What a record that can't be read would have told.
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

/// What a fault does, beside being counted and logged.
enum class fault_effect {
  /// What was read under the key before stays as it is; without that there is
  /// nothing.
  kKeepPrevious,
  /// The VM gets no new task, and isn't gone.
  kNoNewTasks,
  /// Somebody unknown may have claimed the partition and may give orders.
  kClaimUnknown,
  /// It counts as told that the VM or host is in use.
  kAssumeInUse,
};

/// Returns the effect that does the least harm, whoever wrote the record.
/// Thread safety: safe from any thread.
fault_effect EffectOf(record_use use);

/// Counts faults, and says which of them are worth a line in the log.
/// Thread safety: one thread at a time.
class record_fault_counter {
 public:
  using counts_by_fault =
      std::map<std::pair<std::string, fault_kind>, std::uint64_t>;

  /// Notes a fault. Returns true for the first one of the topic's key, up to a
  /// bound of keys in all: records are read again and again, and another writer
  /// may make up keys without end.
  bool Note(const std::string& topic,
            const std::string& key,
            const record_fault& fault);
  /// Notes that the key holds a sound record, so that its next fault is news.
  void NoteValid(const std::string& topic, const std::string& key);

  /// Returns how many records were read with each fault, by topic.
  const counts_by_fault& counts() const { return counts_; }
  /// Returns how many keys hold a record with a fault, up to the bound.
  std::size_t FaultyKeys() const { return keys_.size(); }

 private:
  counts_by_fault counts_;
  std::set<std::pair<std::string, std::string>> keys_;
};

/// Returns whether the text can serve as the name of a VM, host, pool or job:
/// names become parts of keys, headers and log lines.
bool IsValidName(const std::string& text);

/// Bytes of the longest name. The store's keys have 255 at most, and the
/// longest of the prefixes before a name has 30.
inline constexpr std::size_t kMaxNameBytes = 200;

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_RECORD_FAULTS_H_
