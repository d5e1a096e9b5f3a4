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

/// What a VM was emptied for.
enum class vacancy_reason {
  /// Its pool has no use for it.
  kOffered,
  /// Its host is to be serviced.
  kForService,
};
inline constexpr std::size_t kVacancyReasonCount = 2;

/// An owner of a pool tells that it has emptied a VM and uses it no more.
struct vacancy_hint {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;
  /// The partition of the pool, and the epoch of the owner that tells.
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;

  bool operator==(const vacancy_hint&) const = default;
};

struct vacancy_settings {
  /// How long an offered VM must be missing before its offer is dropped. The
  /// registry is read up to 2 s late, and misses VMs for some seconds after the
  /// store was away.
  duration missing_limit = std::chrono::seconds(10);
};

/// Whether a VM is surely vacant.
struct vacancy_change {
  vm_id vm;
  vacancy_reason reason = vacancy_reason::kOffered;
  bool is_confirmed = false;
};

/// Decides which hints the fleet's owner may act on.
///
/// Hints are appended without a fence, so that one of an owner that was
/// replaced may arrive late. The next owner may have started a task on the VM,
/// which a move or a service of the host would end. What counts is the record
/// in the pool's own partition, which the store refuses from a replaced owner,
/// and which is stored before the hint is sent. A hint is acted on once a
/// reading of that partition that began after the hint was read has shown the
/// record, and for as long as no newer copy of the partition is without it: the
/// record of a VM that the registry misses for long is dropped, and the VM may
/// be used again.
/// Not thread-safe.
class vacancy_checker {
 public:
  explicit vacancy_checker(const vacancy_settings& settings)
      : settings_(settings) {}

  /// Replaces the hints.
  void UpdateHints(const std::vector<vacancy_hint>& hints);
  /// Takes in one hint.
  void NoteHint(const vacancy_hint& hint);
  /// Forgets one hint.
  void DropHint(const vm_id& vm, vacancy_reason reason);
  /// Returns the partitions that must be read, and takes their readings for
  /// begun.
  std::set<std::uint32_t> TakePartitionsToRead();
  /// A reading has ended. `vacant` are the VMs whose records it has shown; it
  /// is unused when the reading failed.
  void OnPartitionRead(std::uint32_t partition,
                       bool is_read,
                       const std::set<vm_id>& vacant);
  /// Tells what the copy of the partition shows by now; it is at least as new
  /// as the last reading that ended. It ends hints whose records are gone, and
  /// has those read again whose records are back.
  void UpdateVacant(std::uint32_t partition, const std::set<vm_id>& vacant);
  /// The same for one VM.
  void NoteVacant(std::uint32_t partition, const vm_id& vm, bool is_vacant);

  /// Returns the VMs that are surely vacant for this reason.
  std::set<vm_id> Confirmed(vacancy_reason reason) const;
  /// Returns the VMs, with the reason, that are surely vacant or no longer so
  /// since the last call. One may come twice.
  std::vector<vacancy_change> TakeChanges();
  /// Returns the offered VMs whose lives are over, once each, so that their
  /// hints can be taken back. `present` are those that the list of the fleet or
  /// the registry shows. A life that has just begun may be in neither yet: its
  /// pool has given it away, and nobody would ever move it if its hint went.
  std::vector<vm_id> TakeStaleOffers(const std::set<vm_id>& present,
                                     time_point now);

 private:
  enum class state { kUnread, kReading, kConfirmed, kRefuted };
  struct tracked_hint {
    vacancy_hint hint;
    state phase = state::kUnread;
    std::optional<time_point> missing_since;
    bool is_reported_gone = false;
  };

  using hint_key = std::pair<vm_id, vacancy_reason>;

  void SetPhase(const hint_key& key, tracked_hint* tracked, state phase);
  void NoteVacant(const hint_key& key, tracked_hint* tracked, bool is_vacant);

  vacancy_settings settings_;
  std::map<hint_key, tracked_hint> hints_;
  std::map<std::uint32_t, std::set<hint_key>> by_partition_;
  std::map<std::uint32_t, std::set<hint_key>> unread_;
  std::map<std::uint32_t, std::set<hint_key>> reading_;
  std::vector<vacancy_change> changes_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VACANCY_CHECKER_H_
