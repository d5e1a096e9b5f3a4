#include <algorithm>
#include <string>

#include "core/hex.h"
#include "plantainhead/core/log/control_log.h"

// How a control_log compares its fold with other entries'.
namespace plantainhead::core {
namespace {

// Digests of peers that are ahead, and own ones for peers that are behind.
// Peers are seconds apart; what doesn't fit is compared at a later offset.
constexpr std::size_t kKeptDigests = 32;

}  // namespace

std::uint64_t control_log::digest() const {
  const auto own = own_digests_.find(state_.offset);
  return own == own_digests_.end() ? 0 : own->second;
}

// Called after each entry. Digests that the others have long passed, as at a
// start, aren't worth their cost.
void control_log::CheckDigests(log_offset end, effects& out) {
  constexpr log_offset kRecent = 4 * kDigestInterval;
  const bool is_due = state_.offset % kDigestInterval == 0;
  if (!is_due || state_.offset + kRecent < end) {
    return;
  }
  own_digests_[state_.offset] = Digest(state_);
  if (own_digests_.size() > kKeptDigests) {
    own_digests_.erase(own_digests_.begin());
  }
  while (!peer_digests_.empty() &&
         peer_digests_.begin()->first.first <= state_.offset) {
    const auto [key, theirs] = *peer_digests_.begin();
    peer_digests_.erase(peer_digests_.begin());
    CompareDigests(key.first, theirs, key.second, out);
  }
}

void control_log::OnPeerOffset(log_offset offset,
                               std::uint64_t digest,
                               incarnation from,
                               effects& out) {
  // A process of another fleet, or one that was expelled with a log of its own,
  // may claim any offset; waiting for it would make every entry unready.
  if (!state_.members.contains(from)) {
    return;
  }
  max_known_offset_ = std::max(max_known_offset_, offset);
  CompareDigests(offset, digest, from, out);
}

// Equal offsets mean equal folds. If they don't, one of the two has a fault in
// its reducer or its memory, and VMs may be planned into two pools. It is shown
// and both go on: nobody can tell which is right, and stopping all entries
// would turn a doubt into an outage.
void control_log::CompareDigests(log_offset offset,
                                 std::uint64_t theirs,
                                 incarnation from,
                                 effects& out) {
  const bool is_compared = offset % kDigestInterval == 0 && theirs != 0;
  if (!is_compared || from == settings_.queue.self) {
    return;
  }
  if (offset > state_.offset) {
    if (peer_digests_.size() < kKeptDigests) {
      peer_digests_[{offset, from}] = theirs;
    }
    return;
  }
  const auto own = own_digests_.find(offset);
  if (own == own_digests_.end() || own->second == theirs) {
    return;
  }
  if (divergent_peers_.insert(from).second) {
    out.Log(log_severity::kError,
            "another entry has folded the log to another state",
            {{"offset", std::to_string(offset)}, {"peer", ToHex(from)}});
  }
}

}  // namespace plantainhead::core
