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

struct membership_options {
  /// Time between heartbeats to those that watch this entry.
  duration heartbeat_interval = std::chrono::milliseconds(200);
  /// A member that isn't heard for this long is suspected.
  duration suspicion_timeout = std::chrono::seconds(1);
  /// An accused member must not be suspected for this long before the
  /// accusation is withdrawn; doubled each time when it is accused again.
  duration withdraw_after = std::chrono::seconds(1);
  /// Pause before a record that hasn't come back is asked for again.
  duration record_retry_interval = std::chrono::seconds(5);
  /// Members that watch each one; with as many as there are others, all watch
  /// all.
  std::size_t watchers = 3;
  /// Each other member gets a complete heartbeat once in this time, as long as
  /// `complete_spacing` lets it.
  duration complete_interval = std::chrono::seconds(1);
  /// Time between two complete heartbeats, to whomever; bounds the bytes.
  duration complete_spacing = std::chrono::milliseconds(100);
};

/// What the other modules want to tell the other entries.
struct heartbeat_contents {
  log_offset offset = 0;
  std::uint64_t digest = 0;
  bool ready = false;
  bool stopping = false;
  /// The fold has caught up with the greatest offset that it can learn of.
  bool caught_up = false;
  /// The log can't be reached: nothing new is asked of it.
  bool log_unreachable = false;
  std::vector<service_load> load;
  std::vector<vm_in_flight> in_flight;
  std::vector<class_counts> classes = {};
  std::vector<service_times> times = {};
};

/// What is known of another entry by its heartbeats.
struct peer_status {
  /// The newest complete heartbeat: its load, requests in flight and offset
  /// belong together. `ready`, `stopping` and `suspected` are as the newest
  /// heartbeat of any kind said.
  heartbeat last;
  /// The view that the peer acted under.
  log_offset view = 0;
  /// When anything was last heard.
  time_point last_heard_at;
  /// Number of the newest heartbeat.
  std::uint64_t sequence = 0;
};

/// How a frame's sender and view compare with the fold.
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

/// Returns how `frame` compares with the members and the view of `fleet`.
/// Thread safety: safe from any thread while nobody writes.
frame_status FrameStatusOf(const fleet_state& fleet, const peer_frame& frame);

/// One entry's part in the fleet's membership: it joins, leaves, tells the
/// others how it is, suspects those that it doesn't hear, and accuses them by
/// records. Who is a member is up to the fold alone.
///
/// Each member sends small heartbeats to its few watchers on the ring. A
/// watcher that hears none tells all members at once; the others follow when
/// most of a member's watchers say so and they haven't heard it themselves.
/// Complete heartbeats, with load and requests in flight, go to the others in
/// turn, and at once to the holder of the planner lease when a drain needs
/// them.
/// Thread safety: none; the core owns one.
class membership {
 public:
  /// Precondition: `self.who` isn't `kNone`.
  membership(entry_member self, membership_options options);

  /// Does what is due at `now`. To be called at each tick.
  void OnTick(const fleet_state& fleet,
              const heartbeat_contents& contents,
              time_point now,
              effects& out);

  /// Takes note of a frame. Any message shows that its sender lives; those of
  /// senders that aren't members are dropped.
  void OnFrame(const peer_frame& frame, time_point now);

  /// Asks for the record by which this entry leaves, and again until the fold
  /// has it. It doesn't join any more.
  void Leave(const fleet_state& fleet, effects& out);

  /// Returns true while `peer` is held to be gone. Routing avoids such entries,
  /// also while the log is out and nobody can be expelled.
  bool Suspects(incarnation peer) const;

  /// Returns what `peer` said last, or null.
  const peer_status* StatusOf(incarnation peer) const;

  /// Returns true once the fold has dropped this entry after having held it.
  /// The process must take no more work and start anew as another incarnation.
  bool expelled() const { return expelled_; }

 private:
  struct known_member {
    time_point last_heard_at;
    std::optional<peer_status> status;
    bool watched = false;
    time_point watched_since;
    /// It was watched before the ring changed and still is for a while.
    time_point watched_until;
    bool suspected = false;
    /// This entry was its watcher and missed it; not by hearsay.
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

  // membership_judgement.cc
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
  /// Members that this entry has missed itself.
  std::set<incarnation> missed_members_;
  /// How many members say of one that they have missed it.
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
  /// The member that got the newest complete heartbeat in turn.
  incarnation last_complete_to_ = incarnation::kNone;
  /// What all members were told; a change goes to all at once.
  heartbeat last_broadcast_;
  bool notify_all_ = false;
  std::vector<vm_in_flight> reported_in_flight_;
  log_offset seen_offset_ = 0;
  generation vm_changes_ = 0;
  /// Holder of the planner lease that was told, or is about to be.
  incarnation planner_ = incarnation::kNone;
  bool notify_planner_ = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_
