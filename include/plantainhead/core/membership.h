#ifndef PLANTAINHEAD_CORE_MEMBERSHIP_H_
#define PLANTAINHEAD_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainhead/core/effects.h"
#include "plantainhead/core/fleet_state.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/messages.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

struct membership_options {
  duration heartbeat_interval = std::chrono::milliseconds(200);
  /// A member that isn't heard for this long is suspected.
  duration suspicion_timeout = std::chrono::seconds(1);
  /// An accused member must be heard for this long without a gap before the
  /// accusation is withdrawn.
  duration trust_after = std::chrono::seconds(1);
  /// Pause before a record that hasn't come back is asked for again.
  duration record_pause = std::chrono::seconds(5);
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
  bool log_out = false;
  std::vector<service_load> load;
  std::vector<vm_in_flight> in_flight;
};

/// What is known of another entry by its heartbeats.
struct peer_status {
  heartbeat last;
  /// The view that the peer acted under.
  log_offset view = 0;
  time_point heard_at;
};

/// One entry's part in the fleet's membership: it joins, leaves, tells the
/// others how it is, suspects those that it doesn't hear, and accuses them by
/// records. Who is a member is up to the fold alone.
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

  /// Takes note of a heartbeat. Other messages show that the peer lives, too.
  void OnFrame(const peer_frame& frame, time_point now);

  /// Asks for the record by which this entry leaves, if it is a member.
  void Leave(const fleet_state& fleet, effects& out);

  /// Returns true while `peer` isn't heard. Routing avoids such entries, also
  /// while the log is out.
  bool Suspects(incarnation peer) const;

  /// Returns what `peer` said last, or null.
  const peer_status* StatusOf(incarnation peer) const;

  /// Returns true once the fold has dropped this entry after having held it.
  /// The process must take no more work and start anew as another incarnation.
  bool expelled() const { return expelled_; }

 private:
  struct watched_peer {
    time_point heard_at;
    /// Since when it is heard without a gap.
    time_point steady_since;
    bool suspected = false;
    time_point asked_at;
  };

  void NoteOwnPause(time_point now);
  void FollowFold(const fleet_state& fleet, time_point now);
  void Join(const heartbeat_contents& contents, time_point now, effects& out);
  void SendHeartbeats(const fleet_state& fleet,
                      const heartbeat_contents& contents,
                      time_point now,
                      effects& out);
  void Judge(const fleet_state& fleet,
             const heartbeat_contents& contents,
             time_point now,
             effects& out);

  entry_member self_;
  membership_options options_;
  std::map<incarnation, watched_peer> watched_;
  std::map<incarnation, peer_status> statuses_;
  std::optional<time_point> last_tick_;
  std::optional<time_point> join_asked_at_;
  std::optional<time_point> sent_at_;
  std::uint64_t sequence_ = 0;
  bool was_member_ = false;
  bool expelled_ = false;
  bool leaving_ = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_MEMBERSHIP_H_
