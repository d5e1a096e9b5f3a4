#ifndef PLANTAINHEAD_SRC_JOBS_GROUP_MEMBER_H_
#define PLANTAINHEAD_SRC_JOBS_GROUP_MEMBER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "plantainhead/core/time.h"
#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Determines when a process joins the group that owns the pools.
enum class member_role {
  kRegular,
  /// Joins only while there are too few regular members.
  kReserve,
};

/// Settings of a `group_member`: role, timeouts, and how many members are
/// sufficient.
struct member_settings {
  std::string group = "plantain";
  member_role role = member_role::kRegular;
  /// Topic whose partitions the store assigns to the members; no records are
  /// written to it.
  std::string topic = "plantain-owners";
  /// A member that does not renew for this time loses its partitions. The store
  /// allows no less than 1 s. The crash of an owner leaves its pool without an
  /// owner for this time; a shorter outage of the store has no effect.
  std::chrono::milliseconds time_to_live = std::chrono::milliseconds(2400);
  /// Interval between renewals. A member learns at its next renewal that it was
  /// assigned the partition of a member that has left, so a handover takes at
  /// most this long plus 50 ms. The store charges a renewal as a tenth of a
  /// call.
  std::chrono::milliseconds renewal = std::chrono::milliseconds(300);
  /// Timeout of requests for the member list and of leaving.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1200);
  /// A renewal without an answer for this time is followed by another one. A
  /// late answer still counts until the time to live after its renewal was
  /// sent: over a saturated link every answer is late.
  std::chrono::milliseconds late_threshold = std::chrono::milliseconds(500);
  /// A process that starts while there are at least this many regular members
  /// does not join, unless there are more partitions with pools: each join
  /// reassigns partitions, and a pool whose owner changes starts no tasks for
  /// about half a second. In a rolling restart of nine processes this would
  /// cause nine more reassignments, and twice as many pools would change their
  /// owner.
  std::size_t sufficient_members = 4;
  /// A reserve joins when there are fewer regular members than this, and only
  /// while there are fewer members in total than are sufficient. Where six
  /// regular members with half a core each share 350 VMs, they use at most a
  /// fifth of it, so few can do the work of many. 30 reserves that joined
  /// together caused a pool to be reassigned four times in 3 s.
  std::size_t min_regular_members = 2;
  /// A member whose membership has expired, because it was disconnected or
  /// suspended, rejoins only while the number of regular members is below the
  /// number of partitions with pools times one plus this ratio. Its partitions
  /// have other owners by then; a reassignment of all partitions would move the
  /// pools of healthy owners at the same time.
  double spare_member_ratio = 0.5;
  /// When a member disappears, the members on standby rejoin at different
  /// moments within this time, so that no more join than are needed.
  std::chrono::milliseconds rejoin_jitter = std::chrono::milliseconds(1000);
  /// Interval between two checks of whether there are enough members.
  std::chrono::milliseconds check_interval = std::chrono::milliseconds(500);
  /// Check interval of a reserve. A reserve joins when two consecutive checks
  /// find too few regular members: when all processes start together, the first
  /// check finds none.
  std::chrono::milliseconds reserve_check_interval = std::chrono::seconds(1);
  /// After this time a reserve that is no longer needed leaves the group, even
  /// if its owners have not recorded their releases by then.
  std::chrono::milliseconds withdraw_timeout = std::chrono::milliseconds(1500);
};

/// Returns the names of the processes that are members, whatever their roles.
/// Thread safety: safe from any thread.
std::set<std::string> ProcessesOf(const std::set<std::string>& members);

/// Maintains the membership of this process in the store's group, which assigns
/// the partitions evenly regardless of the capacity of the members. An owner of
/// a large pool starts several hundred tasks per second, for which an eighth of
/// a core is not enough; processes with little CPU are therefore reserves. Not
/// thread-safe.
class group_member {
 public:
  /// Receives the generation of the group and the partitions of this member.
  using change_handler =
      std::function<void(std::uint64_t generation,
                         const std::set<std::uint32_t>& partitions)>;

  /// `member` identifies the process across restarts. `on_assigned` is called
  /// after each answered renewal, and with no partitions when the member
  /// withdraws or enters standby.
  group_member(boost::asio::io_context* context,
               adapter::store_client* store,
               const member_settings& settings,
               std::string member,
               change_handler on_assigned);
  group_member(const group_member&) = delete;
  group_member& operator=(const group_member&) = delete;
  ~group_member();

  void Start();
  /// Sets the number of partitions with pools: so many members are sufficient
  /// if this exceeds `sufficient_members`. Each of them then has one partition,
  /// and further members would have none.
  void SetUsedPartitions(std::size_t count);
  /// Renews immediately instead of waiting for the next interval.
  void RenewNow();
  /// Gives up the partitions and stops renewing, then calls `on_left`.
  void Leave(const std::function<void()>& on_left);

  /// Returns when the last renewal that was answered was sent, by `BootTime`.
  core::time_point RenewedAt() const;
  /// Returns when the store last answered a call of this member, by `BootTime`.
  core::time_point AnsweredAt() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_GROUP_MEMBER_H_
