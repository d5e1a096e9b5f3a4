#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"

/// Maps each key to the stream that holds its claims and to the entry that
/// coordinates them.
namespace plantainhead::core {

/// Number of claim streams. It is fixed because a key must always map to the
/// same stream.
inline constexpr std::uint32_t kClaimPartitions = 18;

/// Returns the partition of `key`, which is below `kClaimPartitions` and is the
/// same in every process and version. Thread safety: safe from any thread.
std::uint32_t PartitionOf(const claim_key& key);

/// Returns the stream of `partition`, for example "claims-0". Precondition:
/// `partition` < `kClaimPartitions`. Thread safety: safe from any thread.
stream_name ClaimStream(std::uint32_t partition);

/// Returns the member that writes the claims of `partition`, chosen by
/// rendezvous hashing over the members of `state` that are not in `excluded`;
/// `kNone` if none is left. A single coordinator is only an optimization: two
/// entries that both act as the coordinator never both grant a key, since the
/// log orders their claims. Thread safety: safe from any thread while no thread
/// writes `state`.
incarnation CoordinatorOf(std::uint32_t partition,
                          const fleet_state& state,
                          const std::set<incarnation>& excluded);

/// Returns the members that may write the claims of `partition`, at most
/// `most`, in order of preference; the first is `CoordinatorOf`. If it is
/// excluded, the second is the coordinator, and so on. Thread safety: safe from
/// any thread while no thread writes `state`.
std::vector<incarnation> CoordinatorsOf(std::uint32_t partition,
                                        const fleet_state& state,
                                        const std::set<incarnation>& excluded,
                                        std::size_t most);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_COORDINATOR_H_
