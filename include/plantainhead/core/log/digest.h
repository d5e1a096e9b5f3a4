#ifndef PLANTAINHEAD_CORE_LOG_DIGEST_H_
#define PLANTAINHEAD_CORE_LOG_DIGEST_H_

#include <cstdint>

#include "plantainhead/core/log/fleet_state.h"

namespace plantainhead::core {

/// Returns a 64-bit XXH3 hash of the complete `state`. Equal states have equal
/// digests on every machine; two entries with different digests at the same
/// offset have applied the log differently. The function traverses the whole
/// state, so callers cache the digest of an offset instead of computing it
/// again. Thread safety: safe from any thread while no thread writes to
/// `state`.
std::uint64_t Digest(const fleet_state& state);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_DIGEST_H_
