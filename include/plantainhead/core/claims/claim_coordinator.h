#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"

/// Which stream holds a key's claims, and which entry writes them.
namespace plantainhead::core {

/// Number of claim streams. Fixed: a key must always map to the same stream.
inline constexpr std::uint32_t kClaimPartitions = 18;

/// Returns the partition of `key`, below `kClaimPartitions`; the same in every
/// process and version.
/// Thread safety: safe from any thread.
std::uint32_t PartitionOf(const claim_key& key);

/// Returns the stream of `partition`: "claims-0" and so on.
/// Precondition: `partition` < `kClaimPartitions`.
/// Thread safety: safe from any thread.
stream_name ClaimStream(std::uint32_t partition);

/// Returns the member that writes the claims of `partition`, by rendezvous
/// hashing over the members of `state` that aren't in `excluded`; `kNone` when
/// none is left. Only an efficiency: two entries that take themselves for the
/// home at once never both grant a key, since the log orders their claims.
/// Thread safety: safe from any thread while nobody writes `state`.
incarnation CoordinatorOf(std::uint32_t partition,
                          const fleet_state& state,
                          const std::set<incarnation>& excluded);

/// Returns the members that may write the claims of `partition`, first choice
/// first, at most `most`; the first is `CoordinatorOf`. When it is excluded,
/// the second is the home, and so on. Thread safety: safe from any thread while
/// nobody writes `state`.
std::vector<incarnation> CoordinatorsOf(std::uint32_t partition,
                                        const fleet_state& state,
                                        const std::set<incarnation>& excluded,
                                        std::size_t most);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_
