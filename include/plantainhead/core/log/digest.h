#ifndef PLANTAINHEAD_CORE_LOG_DIGEST_H_
#define PLANTAINHEAD_CORE_LOG_DIGEST_H_

#include <cstdint>

#include "plantainhead/core/log/fleet_state.h"

namespace plantainhead::core {

/// Returns a hash (XXH3, 64 bits) of everything in `state`. Equal states have
/// equal digests on every machine; two entries with different digests at one
/// offset have folded the log differently. It walks the whole state, so callers
/// keep the digest of an offset rather than ask again.
/// Thread safety: safe from any thread while nobody writes to `state`.
std::uint64_t Digest(const fleet_state& state);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_DIGEST_H_
