#ifndef PLANTAINHEAD_CORE_JOBS_VACANCY_CHECKER_H_
#define PLANTAINHEAD_CORE_JOBS_VACANCY_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Why a VM was drained.
enum class vacancy_reason {
  /// Its pool does not need it.
  kOffered,
  /// Its host is to be serviced.
  kForService,
};
inline constexpr std::size_t kVacancyReasonCount = 2;

/// Hint from the owner of a pool that it has drained a VM and no longer uses
/// it.
struct vacancy_hint {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;
  /// The partition of the pool, and the epoch of the owner that sent the hint.
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;

  bool operator==(const vacancy_hint&) const = default;
};

/// Settings of the vacancy checker.
struct vacancy_settings {
  /// How long an offered VM must be missing before its offer is dropped. The
  /// registry is read up to 2 s late, and misses VMs for some seconds after the
  /// store was unavailable.
  duration missing_limit = std::chrono::seconds(10);
};

/// Change in whether a VM is confirmed to be vacant.
struct vacancy_change {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;
  bool is_confirmed = false;
};

/// Decides on which vacancy hints the owner of the fleet may act.
///
/// Hints are appended without a fencing token, so a hint from a replaced owner
/// may arrive late. By then the next owner may have started a task on the VM,
/// which a move or service of the host would terminate. The authoritative
/// source is therefore the vacancy record in the pool's own partition: the
/// store rejects such a record from a replaced owner, and the record is stored
/// before the hint is sent. A hint is confirmed once a read of that partition
/// that began after the hint was read has shown the record. It stays confirmed
/// as long as no newer copy of the partition lacks the record: the owner drops
/// the record of a VM that is missing from the registry for long, and may then
/// use the VM again. Not thread-safe.
class vacancy_checker {
 public:
  explicit vacancy_checker(const vacancy_settings& settings)
      : settings_(settings) {}

  /// Replaces all hints.
  void UpdateHints(const std::vector<vacancy_hint>& hints);
  /// Adds or replaces one hint.
  void NoteHint(const vacancy_hint& hint);
  /// Removes one hint.
  void DropHint(const vm_id& vm, vacancy_reason reason);
  /// Returns the partitions that must be read, and marks their reads as begun.
  std::set<std::uint32_t> TakePartitionsToRead();
  /// Handles the end of a partition read. `vacant` are the VMs whose vacancy
  /// records it has shown; it is ignored if the read failed.
  void OnPartitionRead(std::uint32_t partition,
                       bool is_read,
                       const std::set<vm_id>& vacant);
  /// Updates the hints from the current copy of the partition, which is at
  /// least as new as the last completed read. Hints whose records are gone are
  /// refuted, and refuted hints whose records are back are read again.
  void UpdateVacant(std::uint32_t partition, const std::set<vm_id>& vacant);
  /// Like `UpdateVacant`, for one VM.
  void NoteVacant(std::uint32_t partition, const vm_id& vm, bool is_vacant);

  /// Replaces the partitions of the pools that have the VMs, according to the
  /// fleet list. A hint from another partition is refuted until the VM is back:
  /// the VM was moved and has restarted under its id, and the other pool uses
  /// it.
  void UpdatePlaces(std::map<vm_id, std::uint32_t> partitions);

  /// Returns the VMs that are confirmed to be vacant for this reason.
  std::set<vm_id> Confirmed(vacancy_reason reason) const;
  /// Returns the VMs, with the reason, that have become confirmed or are no
  /// longer confirmed since the last call. A VM may occur twice.
  std::vector<vacancy_change> TakeChanges();
  /// Returns the offered VMs whose incarnations have ended, so that their hints
  /// can be withdrawn. Each is returned once. `present` are the VMs that the
  /// fleet list or the registry shows. An incarnation that has just begun may
  /// be missing from both; if its hint were withdrawn, its pool would have
  /// released it and no one would ever move it.
  std::vector<vm_id> TakeStaleOffers(const std::set<vm_id>& present,
                                     time_point now);

 private:
  enum class state { kUnread, kReading, kConfirmed, kRefuted };
  struct tracked_hint {
    vacancy_hint hint;
    state phase = state::kUnread;
    std::optional<time_point> missing_since;
    bool is_reported_gone = false;
    bool is_elsewhere = false;
  };

  using hint_key = std::pair<vm_id, vacancy_reason>;

  void SetPhase(const hint_key& key, tracked_hint* tracked, state phase);
  void NoteVacant(const hint_key& key, tracked_hint* tracked, bool is_vacant);
  /// Refutes the hint if its VM is in another partition, and lets it be checked
  /// again once the VM is back.
  void CheckPlace(const hint_key& key, tracked_hint* tracked);

  vacancy_settings settings_;
  std::map<hint_key, tracked_hint> hints_;
  std::map<vm_id, std::uint32_t> partitions_;
  std::map<std::uint32_t, std::set<hint_key>> by_partition_;
  std::map<std::uint32_t, std::set<hint_key>> unread_;
  std::map<std::uint32_t, std::set<hint_key>> reading_;
  std::vector<vacancy_change> changes_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VACANCY_CHECKER_H_
