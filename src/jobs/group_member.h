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

/// Whether a process owns pools whenever it runs.
enum class member_role {
  kRegular,
  /// Joins only while there are too few regular members.
  kReserve,
};

struct member_settings {
  std::string group = "plantain";
  member_role role = member_role::kRegular;
  /// Its partitions are dealt to the members; nothing is written there.
  std::string topic = "plantain-owners";
  /// A member that is silent for this time loses its partitions. The store
  /// allows no less than 1 s. An owner that dies costs its pool this time, and
  /// one that can't reach the store for a shorter time costs nothing.
  std::chrono::milliseconds time_to_live = std::chrono::milliseconds(2400);
  /// A member learns at its next renewal that it was dealt the pool of one that
  /// has left, so that this is what a handover takes at most, beside 50 ms. The
  /// store counts a renewal as a tenth of a call.
  std::chrono::milliseconds renewal = std::chrono::milliseconds(300);
  /// Of a look at the members, and of leaving.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(1200);
  /// A renewal without an answer for this time is followed by another one. Its
  /// own answer counts all the same, up to the time to live after it was sent:
  /// over a full link each answer is late.
  std::chrono::milliseconds late_threshold = std::chrono::milliseconds(500);
  /// A process that starts beside at least this many regular members doesn't
  /// join, unless there are more partitions with pools: each join deals
  /// partitions anew, and a pool whose owner changes starts nothing for about
  /// half a second. In a rolling restart of nine processes that would happen
  /// nine times more, and twice as many pools would change their owner.
  std::size_t sufficient_members = 4;
  /// A reserve joins when there are fewer regular members than this, and then
  /// only while all members together are fewer than enough. Regular members
  /// with half a core use a fifth of it at most where 350 VMs are shared by
  /// six, so that few can do the work of many, and 30 reserves that joined
  /// together dealt a pool anew four times in 3 s.
  std::size_t min_regular_members = 2;
  /// A member whose membership has run out, because it was cut off or frozen,
  /// joins again only while there are fewer regular members than partitions
  /// with pools and this many for each of them. Its partitions have owners by
  /// then; were all dealt anew, pools of sound owners would change hands
  /// together.
  double spare_member_ratio = 0.5;
  /// Those that stay outside join at different moments in this time when a
  /// member goes, so that no more do than are needed.
  std::chrono::milliseconds rejoin_jitter = std::chrono::milliseconds(1000);
  /// Time between two looks at whether there are still enough.
  std::chrono::milliseconds check_interval = std::chrono::milliseconds(500);
  /// The same of a reserve. It joins when two looks in a row have shown too few
  /// regular members: when all processes start together the first shows none.
  std::chrono::milliseconds reserve_check_interval = std::chrono::seconds(1);
  /// After this time a reserve that isn't needed any more leaves the group,
  /// also when its owners haven't recorded their ends by then.
  std::chrono::milliseconds withdraw_timeout = std::chrono::milliseconds(1500);
};

/// Returns the processes that are members, whatever their roles.
/// Thread safety: safe from any thread.
std::set<std::string> ProcessesOf(const std::set<std::string>& members);

/// Membership in the store's group, which deals the partitions evenly, whatever
/// its members can do. An owner of a large pool starts several hundred tasks a
/// second, for which an eighth of a core isn't enough; so processes with little
/// processor time are reserves. Not thread-safe.
class group_member {
 public:
  using change_handler =
      std::function<void(std::uint64_t generation,
                         const std::set<std::uint32_t>& partitions)>;

  /// `member` names the process; it is the same after a restart. `on_assigned`
  /// is called after each renewal.
  group_member(boost::asio::io_context* context,
               adapter::store_client* store,
               const member_settings& settings,
               std::string member,
               change_handler on_assigned);
  group_member(const group_member&) = delete;
  group_member& operator=(const group_member&) = delete;
  ~group_member();

  void Start();
  /// Sets how many partitions have pools: so many members are enough, if it is
  /// more than the settings say. Each then has one, and more would have none.
  void SetUsedPartitions(std::size_t count);
  /// Renews now and not only when it is due.
  void RenewNow();
  /// Gives the partitions back and renews no more.
  void Leave(const std::function<void()>& on_left);

  /// When the last renewal that was answered was sent, by `BootTime`.
  core::time_point RenewedAt() const;
  /// When the store last answered a call of this member, by `BootTime`.
  core::time_point AnsweredAt() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_GROUP_MEMBER_H_
