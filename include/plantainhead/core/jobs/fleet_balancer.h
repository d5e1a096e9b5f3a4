#ifndef PLANTAINHEAD_CORE_JOBS_FLEET_BALANCER_H_
#define PLANTAINHEAD_CORE_JOBS_FLEET_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Order to move the host to the pool. Tasks that run on the host are
/// terminated.
struct move_host {
  host_id host;
  pool_id pool;
};

/// Outcome of an order to move a host.
enum class move_result {
  /// The move has begun, or was already done.
  kAccepted,
  /// The host has not moved with this order. This does not tell whether an
  /// earlier order has moved it.
  kRefused,
  /// The host cannot move to this pool.
  kImpossible,
  /// The host may have moved, or may move later.
  kUnknown,
};

/// Counters that show how far the fleet is from the distribution of hosts that
/// the pools want.
struct balancer_stats {
  /// Number of VMs that pools want, and how many of these they neither have nor
  /// are receiving.
  std::uint32_t wanted = 0;
  std::uint32_t missing = 0;
  /// Hosts that can be moved now.
  std::uint32_t free = 0;
  /// Hosts with a move order that has not been answered yet.
  std::uint32_t ordered = 0;
  /// Hosts whose move was accepted or is in progress.
  std::uint32_t moving = 0;

  bool operator==(const balancer_stats&) const = default;
};

/// Delays that the fleet balancer observes.
struct balancer_settings {
  /// A move order that may not have arrived is sent again after this time.
  /// Orders are idempotent.
  duration order_retry = std::chrono::seconds(1);
  /// How long a host that its pool has released and no other pool wants stays
  /// in place before it moves to the spare pool. One queue's burst often ends
  /// as another one's begins, and a host that is already moving to the spare
  /// pool arrives 1.5 s later. With the delay 86.7% of the value that callers
  /// asked for was earned, without it 86.0%.
  duration spare_delay = std::chrono::milliseconds(700);
  /// Like `spare_delay`, used while some pool has fewer VMs than it wants. Such
  /// a pool's demand keeps growing while its VMs are being moved, and a host
  /// that has gone to the spare pool by then needs two moves to reach it.
  duration shortage_spare_delay = std::chrono::milliseconds(2500);
};

/// Decides which hosts move between the pools and the spare pool, based on how
/// many VMs each pool wants and which VMs it has released. Pure and not
/// thread-safe.
class fleet_balancer {
 public:
  explicit fleet_balancer(const balancer_settings& settings)
      : settings_(settings) {}

  /// Replaces the list of hosts, which was requested at `requested_at`. Visits
  /// every host.
  void UpdateHosts(const std::vector<fleet_host>& hosts,
                   const std::set<pool_id>& spare,
                   time_point requested_at);
  /// Replaces the number of VMs that each pool wants.
  void UpdateWanted(std::map<pool_id, std::uint32_t> wanted) {
    wanted_ = std::move(wanted);
  }
  /// Sets the number of VMs that the pool wants; `nullopt` if it is unknown.
  void NoteWanted(const pool_id& pool, std::optional<std::uint32_t> wanted);
  /// Sets whether some pool has fewer VMs than it wants, not counting those
  /// that are being moved to it.
  void UpdateShortage(bool has_shortage) { has_shortage_ = has_shortage; }
  /// Replaces the set of VMs that their pools have drained and released.
  void UpdateOffers(const std::set<vm_id>& offers) {
    Replace(&offers_, offers);
  }
  /// Like `UpdateOffers`, for one VM.
  void NoteOffer(const vm_id& vm, bool is_offered) {
    SetMembership(&offers_, vm, is_offered);
  }
  /// Replaces the set of VMs that accept no tasks for other reasons.
  void UpdateClosed(const std::set<vm_id>& closed) {
    Replace(&closed_, closed);
  }
  /// Like `UpdateClosed`, for one VM.
  void NoteClosed(const vm_id& vm, bool is_closed) {
    SetMembership(&closed_, vm, is_closed);
  }
  /// Replaces the set of VMs that have announced their departure.
  void UpdateLeaving(const std::set<vm_id>& leaving) {
    Replace(&leaving_, leaving);
  }
  /// Handles the answer to a move order. It speaks of this order only; what an
  /// earlier one without an answer has done is decided by lists.
  void OnMoveAnswer(const host_id& host, move_result result, time_point now);
  /// Returns whether a planned move that has not been sent yet would still find
  /// the host idle and in the same incarnation. If not, it must not be sent and
  /// counts as answered with `kRefused`.
  bool MayMove(const move_host& move) const;

  /// Returns when the move of the host was last ordered; `nullopt` if no move
  /// is in progress.
  std::optional<time_point> OrderedAt(const host_id& host) const;
  /// Returns the current counters; `busy` has the same meaning as for `Plan`.
  balancer_stats Stats(const std::set<host_id>& busy) const;
  /// Returns the moves to order now. `busy` are the hosts that are being
  /// serviced.
  std::vector<move_host> Plan(const std::set<host_id>& busy, time_point now);

  /// Returns the total number of hosts visited.
  std::uint64_t visited_hosts() const { return visited_hosts_; }

 private:
  struct pending_move {
    pool_id pool;
    /// The incarnation that was idle when the move was planned.
    vm_id vm;
    bool is_in_flight = true;
    bool is_accepted = false;
    /// An order was not answered.
    bool may_have_begun = false;
    time_point changed_at;
  };

  /// The categories in which a host is counted.
  struct host_classification {
    /// The pool that has or will receive the host; empty if there is none.
    pool_id pool;
    bool is_free = false;
    bool is_spare = false;
    bool is_ordered = false;
    bool is_moving = false;
  };

  /// A host of the current list.
  struct known_host {
    fleet_host host;
    /// Position in the list.
    std::size_t position = 0;
    /// Number of the last list that contained the host.
    std::uint64_t list = 0;
    host_classification counted_as;
    /// Since when no pool has wanted the host although its pool has released
    /// it.
    std::optional<time_point> unwanted_since;
  };
  /// Hosts that may be moved unless they are busy, by position in the list.
  using free_hosts = std::map<std::size_t, known_host*>;

  /// Classifies the host again and updates the counters.
  void Reclassify(known_host* known);
  void UpdateCounts(known_host* known, bool is_added);
  void ReclassifyHost(const host_id& host);
  void SetMembership(std::set<vm_id>* vms, const vm_id& vm, bool is_member);
  void Replace(std::set<vm_id>* vms, const std::set<vm_id>& next);
  bool IsMovable(const fleet_host& host) const;
  /// Returns whether the host is still idle and in the same incarnation as when
  /// its move was planned.
  bool IsStillMovable(const host_id& host, const pending_move& move) const;
  /// Ends moves whose outcome the list shows, which was requested at
  /// `requested_at`.
  void DropResolvedMoves(time_point requested_at);
  std::uint32_t CountOf(const pool_id& pool) const;
  /// Returns the host with the highest position in the list that may move to
  /// the pool, or null.
  known_host* FindMovable(const pool_id& pool, const std::set<host_id>& busy);
  void MoveToSparePool(const std::set<host_id>& busy,
                       const std::set<pool_id>& wanting,
                       time_point now,
                       std::vector<move_host>* moves);
  void OrderMove(known_host* known,
                 const pool_id& pool,
                 time_point now,
                 std::vector<move_host>* moves);

  balancer_settings settings_;
  std::unordered_map<host_id, known_host> hosts_;
  std::unordered_map<vm_id, known_host*> by_vm_;
  std::uint64_t list_ = 0;
  /// The number of VMs that each pool has or is receiving, without those that
  /// accept no tasks.
  std::map<pool_id, std::uint32_t> counts_;
  free_hosts free_spares_;
  free_hosts free_offers_;
  std::uint32_t ordered_ = 0;
  std::uint32_t moving_ = 0;
  std::set<pool_id> spare_;
  std::map<pool_id, std::uint32_t> wanted_;
  bool has_shortage_ = false;
  std::set<vm_id> offers_;
  std::set<vm_id> closed_;
  std::set<vm_id> leaving_;
  std::map<host_id, pending_move> moves_;
  std::uint64_t visited_hosts_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_FLEET_BALANCER_H_
