#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_KEY_TIME_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_KEY_TIME_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Returns the creation time of a key that ends in a UUID of version 7 (RFC
/// 9562) in the canonical form of 36 characters; nothing for other keys.
std::optional<time_point> KeyTime(const claim_key& key);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_KEY_TIME_H_
