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

/// Bring the host into the pool; what runs on it ends.
struct move_host {
  host_id host;
  pool_id pool;
};

/// How far hosts are on their way to the pools that want them.
struct balancer_stats {
  /// VMs that pools want, and how many of these they neither have nor get.
  std::uint32_t wanted = 0;
  std::uint32_t missing = 0;
  /// Hosts that could be moved now.
  std::uint32_t free = 0;
  /// Hosts with an order to move that has no answer yet.
  std::uint32_t ordered = 0;
  /// Hosts whose move was accepted or is under way.
  std::uint32_t moving = 0;

  bool operator==(const balancer_stats&) const = default;
};

struct balancer_settings {
  /// An order that may not have arrived is sent again after this time; it has
  /// no effect if it did.
  duration order_retry = std::chrono::seconds(1);
  /// How long a host that its pool gives away and nobody wants waits before it
  /// goes to the spare pool. One queue's turn ends as the next one's begins: a
  /// host that is already on its way to the spare pool comes 1.5 s later. Of
  /// what callers asked 0.867 was earned with it, 0.860 without (30 plays
  /// each).
  duration spare_delay = std::chrono::milliseconds(700);
  /// The same while a pool has fewer VMs than it wants. What it wants grows
  /// while its VMs are on their way, and a host that has gone to the spare pool
  /// by then comes by two moves.
  duration shortage_spare_delay = std::chrono::milliseconds(2500);
};

/// Decides which hosts move between the pools and the spare pool: pools tell
/// how many VMs they want and which they can do without. Pure and not
/// thread-safe.
class fleet_balancer {
 public:
  explicit fleet_balancer(const balancer_settings& settings)
      : settings_(settings) {}

  /// Replaces the list of the fleet's hosts, which was asked for at
  /// `requested_at`. Looks at each of them.
  void UpdateHosts(const std::vector<fleet_host>& hosts,
                   const std::set<pool_id>& spare,
                   time_point requested_at);
  /// Replaces how many VMs each pool wants.
  void UpdateWanted(std::map<pool_id, std::uint32_t> wanted) {
    wanted_ = std::move(wanted);
  }
  /// Takes in how many VMs the pool wants; nothing: it isn't known.
  void NoteWanted(const pool_id& pool, std::optional<std::uint32_t> wanted);
  /// Tells whether a pool has fewer VMs than it wants, those on their way not
  /// counted.
  void UpdateShortage(bool has_shortage) { has_shortage_ = has_shortage; }
  /// Replaces the VMs that their pools have emptied and given away.
  void UpdateOffers(const std::set<vm_id>& offers) {
    Replace(&offers_, offers);
  }
  /// The same for one VM.
  void NoteOffer(const vm_id& vm, bool is_offered) {
    SetMembership(&offers_, vm, is_offered);
  }
  /// Replaces the VMs that take no tasks for other reasons.
  void UpdateClosed(const std::set<vm_id>& closed) {
    Replace(&closed_, closed);
  }
  /// The same for one VM.
  void NoteClosed(const vm_id& vm, bool is_closed) {
    SetMembership(&closed_, vm, is_closed);
  }
  /// Replaces the VMs that have said that they leave.
  void UpdateLeaving(const std::set<vm_id>& leaving) {
    Replace(&leaving_, leaving);
  }
  /// `is_reconciled`: the order was carried out, or surely wasn't.
  void OnMoveAnswer(const host_id& host,
                    bool is_accepted,
                    bool is_reconciled,
                    time_point now);

  /// Returns when the move of the host was ordered, or ordered again; nothing
  /// when none is under way.
  std::optional<time_point> OrderedAt(const host_id& host) const;
  /// Returns how far hosts are; `busy` as for `Plan`.
  balancer_stats Stats(const std::set<host_id>& busy) const;
  /// Returns the moves to order now. `busy` are hosts that are being serviced.
  std::vector<move_host> Plan(const std::set<host_id>& busy, time_point now);

  /// Returns how many hosts were looked at.
  std::uint64_t visited_hosts() const { return visited_hosts_; }

 private:
  struct pending_move {
    pool_id pool;
    bool is_in_flight = true;
    bool is_accepted = false;
    time_point changed_at;
  };

  /// As what a host counts.
  struct host_classification {
    /// Empty: none.
    pool_id pool;
    bool is_free = false;
    bool is_spare = false;
    bool is_ordered = false;
    bool is_moving = false;
  };

  /// A host of the list.
  struct known_host {
    fleet_host host;
    /// In the list.
    std::size_t position = 0;
    /// Of the list that it was last in.
    std::uint64_t list = 0;
    host_classification counted_as;
    /// Since when nobody has wanted it, though its pool gives it away.
    std::optional<time_point> unwanted_since;
  };
  /// Hosts that may be moved unless they are busy, by their places.
  using free_hosts = std::map<std::size_t, known_host*>;

  /// Counts the host as what it is by now.
  void Reclassify(known_host* known);
  void UpdateCounts(known_host* known, bool is_added);
  void ReclassifyHost(const host_id& host);
  void SetMembership(std::set<vm_id>* vms, const vm_id& vm, bool is_member);
  void Replace(std::set<vm_id>* vms, const std::set<vm_id>& next);
  bool IsMovable(const fleet_host& host) const;
  std::uint32_t CountOf(const pool_id& pool) const;
  /// Returns the last one in the list that may go to the pool, or null.
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
  /// How many VMs each pool has or is getting, without those that take no
  /// tasks.
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
