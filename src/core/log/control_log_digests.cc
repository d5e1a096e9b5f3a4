#include <algorithm>
#include <string>

#include "core/hex.h"
#include "plantainhead/core/log/control_log.h"

// Comparison of this entry's fleet state with that of other entries.
namespace plantainhead::core {
namespace {

// Maximum number of stored digests: of peers that are ahead, and this entry's
// own for peers that are behind. Peers differ by seconds; a digest that does
// not fit is skipped and the comparison is made at a later offset.
constexpr std::size_t kKeptDigests = 32;

}  // namespace

std::uint64_t control_log::digest() const {
  const auto own = own_digests_.find(state_.offset);
  return own == own_digests_.end() ? 0 : own->second;
}

// Called after each applied entry. Digests at offsets that the other entries
// passed long ago, as during startup, are not computed because nobody compares
// them.
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
  // A process of another fleet, or an expelled one that has a different log,
  // may report any offset. Waiting for that offset would make every entry
  // unready.
  if (!state_.members.contains(from)) {
    return;
  }
  max_known_offset_ = std::max(max_known_offset_, offset);
  CompareDigests(offset, digest, from, out);
}

// Entries at equal offsets have equal states. If their digests differ, one of
// them has faulty apply logic or corrupted memory, and VMs may be planned into
// two pools. The fault is reported and both continue: neither can tell which
// state is correct, and stopping all entries would turn a possible fault into
// an outage.
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
            "state digest of another entry differs at the same offset",
            {{"offset", std::to_string(offset)}, {"peer", ToHex(from)}});
  }
}

}  // namespace plantainhead::core
