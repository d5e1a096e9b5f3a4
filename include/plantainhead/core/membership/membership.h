#ifndef PLANTAINHEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define PLANTAINHEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/membership/watch_ring.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Intervals, timeouts and watcher count of `membership`.
struct membership_options {
  /// Time between small heartbeats to the watchers of this entry.
  duration heartbeat_interval = std::chrono::milliseconds(200);
  /// A member from which nothing was received for this time is suspected.
  duration suspicion_timeout = std::chrono::seconds(1);
  /// An accused member must stay unsuspected for this time before the
  /// accusation is withdrawn. The time doubles with each repeated accusation.
  duration withdraw_after = std::chrono::seconds(1);
  /// Delay before a record that has not been read back is appended again.
  duration record_retry_interval = std::chrono::seconds(5);
  /// Number of watchers of each member. If it is at least the number of other
  /// members, all members watch each other.
  std::size_t watchers = 3;
  /// Time within which each other member gets one complete heartbeat, as far as
  /// `complete_spacing` permits.
  duration complete_interval = std::chrono::seconds(1);
  /// Minimum time between two complete heartbeats to any members; limits the
  /// network traffic.
  duration complete_spacing = std::chrono::milliseconds(100);
};

/// State of this entry's other modules that is sent in heartbeats.
struct heartbeat_contents {
  log_offset offset = 0;
  std::uint64_t digest = 0;
  bool ready = false;
  bool stopping = false;
  /// The fold has applied all records up to the highest offset known to this
  /// entry.
  bool caught_up = false;
  /// The log is unreachable. No new records (joins, accusations and
  /// withdrawals) are appended.
  bool log_unreachable = false;
  std::vector<service_load> load;
  std::vector<vm_in_flight> in_flight;
  std::vector<class_counts> classes = {};
  std::vector<service_times> times = {};
};

/// State of another entry as reported by its heartbeats.
struct peer_status {
  /// The latest complete heartbeat: its load, requests in flight and offset are
  /// consistent with each other. `ready`, `stopping` and `suspected` are those
  /// of the latest heartbeat of any kind.
  heartbeat last;
  /// The view under which the peer sent its latest heartbeat.
  log_offset view = 0;
  /// When the latest heartbeat was received.
  time_point last_heard_at;
  /// Sequence number of the latest heartbeat.
  std::uint64_t sequence = 0;
};

/// Relation of a frame's sender and view to the members and view of the fold.
enum class frame_status { kCurrent, kOlderView, kNewerView, kNotMember };

inline constexpr name_table<frame_status, 4> kFrameStatusNames = {{
    {frame_status::kCurrent, "current"},
    {frame_status::kOlderView, "older-view"},
    {frame_status::kNewerView, "newer-view"},
    {frame_status::kNotMember, "not-member"},
}};
inline constexpr const auto& NamesOf(frame_status) {
  return kFrameStatusNames;
}

/// Returns how the sender and view of `frame` relate to the members and view of
/// `fleet`. Thread safety: safe from any thread as long as no thread modifies
/// the arguments.
frame_status FrameStatusOf(const fleet_state& fleet, const peer_frame& frame);

/// Group membership of one entry: joins and leaves the fleet, sends heartbeats
/// to the other members, suspects members whose heartbeats are missing, and
/// accuses them by records. Only the fold decides who is a member.
///
/// Each member sends small heartbeats to its watchers on the ring. A watcher
/// that receives none reports the suspicion to all members at once. Other
/// members follow when most of the watchers of a member suspect it and they
/// have not received anything from it themselves. Complete heartbeats, which
/// contain load and requests in flight, are sent to the other members in turn,
/// and immediately to the holder of the planner lease when it needs them for a
/// drain. Thread safety: none; each core owns one.
class membership {
 public:
  /// Precondition: `self.who` is not `kNone`.
  membership(entry_member self, membership_options options);

  /// Sends the heartbeats and appends the records that are due at `now`. To be
  /// called at each tick.
  void OnTick(const fleet_state& fleet,
              const heartbeat_contents& contents,
              time_point now,
              effects& out);

  /// Processes a received frame. Any message shows that its sender is alive;
  /// messages from senders that are not members are dropped.
  void OnFrame(const peer_frame& frame, time_point now);

  /// Appends the record with which this entry leaves, and appends it again
  /// until the fold has applied it. The entry does not join again afterwards.
  void Leave(const fleet_state& fleet, effects& out);

  /// Returns true while `peer` is suspected to have failed. Routing avoids such
  /// entries, even while the log is unreachable and no member can be expelled.
  bool Suspects(incarnation peer) const;

  /// Returns the state that `peer` last reported, or null.
  const peer_status* StatusOf(incarnation peer) const;

  /// Returns true once the fold has removed this entry although it had not
  /// asked to leave. The process must stop accepting work and restart as a new
  /// incarnation.
  bool expelled() const { return expelled_; }

 private:
  struct known_member {
    time_point last_heard_at;
    std::optional<peer_status> status;
    bool watched = false;
    time_point watched_since;
    /// The member was watched before the ring changed and remains watched until
    /// this time.
    time_point watched_until;
    bool suspected = false;
    /// True if this entry suspects the member as its watcher and not because of
    /// the reports of others.
    bool missed_directly = false;
    time_point suspected_at;
    int accusations = 0;
    time_point accuse_asked_at;
    time_point withdraw_asked_at;
  };
  using member_entry = std::pair<const incarnation, known_member>;

  void DetectLocalPause(time_point now);
  void UpdateView(const fleet_state& fleet, time_point now);
  void UpdateWatch(incarnation who, time_point now);
  void Join(const heartbeat_contents& contents, time_point now, effects& out);

  // membership_suspicion.cc
  void UpdateSuspicions(const fleet_state& fleet,
                        const heartbeat_contents& contents,
                        time_point now,
                        effects& out);
  bool IsSilent(const member_entry& member, time_point now) const;
  static bool IsWatched(const known_member& member, time_point now);
  void CountReports();
  bool MajorityOfWatchersSuspects(incarnation who) const;
  bool HasRecovered(const known_member& member, time_point now) const;
  void Accuse(member_entry& member, time_point now, effects& out);

  // membership_heartbeats.cc
  void SendHeartbeats(const fleet_state& fleet,
                      const heartbeat_contents& contents,
                      time_point now,
                      effects& out);
  heartbeat MakeHeartbeat(const heartbeat_contents& contents,
                          bool complete) const;
  void DetectChanges(const fleet_state& fleet,
                     const heartbeat_contents& contents);
  void SendSmall(const fleet_state& fleet,
                 const heartbeat& small,
                 time_point now,
                 effects& out);
  void SendComplete(const fleet_state& fleet,
                    const heartbeat_contents& contents,
                    time_point now,
                    effects& out);
  void Send(const fleet_state& fleet,
            incarnation to,
            const heartbeat& message,
            effects& out);

  entry_member self_;
  membership_options options_;
  log_offset view_ = 0;
  watch_ring ring_;
  std::map<incarnation, known_member> others_;
  /// Members that this entry suspects as their watcher.
  std::set<incarnation> missed_members_;
  /// Number of members that report each member as suspected.
  std::map<incarnation, std::ptrdiff_t> reports_;

  std::optional<time_point> last_tick_;
  std::optional<time_point> join_asked_at_;
  std::optional<time_point> leave_asked_at_;
  bool was_member_ = false;
  bool expelled_ = false;
  bool leaving_ = false;

  std::uint64_t sequence_ = 0;
  std::optional<time_point> small_sent_at_;
  std::optional<time_point> complete_sent_at_;
  std::optional<time_point> planner_notified_at_;
  /// The member that received the latest complete heartbeat in turn.
  incarnation last_complete_to_ = incarnation::kNone;
  /// The latest heartbeat that was sent to all members. A change of its
  /// contents is sent to all members at once.
  heartbeat last_broadcast_;
  bool notify_all_ = false;
  std::vector<vm_in_flight> reported_in_flight_;
  log_offset seen_offset_ = 0;
  generation vm_changes_ = 0;
  /// Holder of the planner lease that was notified last or is about to be.
  incarnation planner_ = incarnation::kNone;
  bool notify_planner_ = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_
