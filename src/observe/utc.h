#ifndef PLANTAINHEAD_SRC_OBSERVE_UTC_H_
#define PLANTAINHEAD_SRC_OBSERVE_UTC_H_

#include <cstdint>
#include <string>

namespace plantainhead::observe {

/// Returns "2026-03-01T12:00:00" for seconds since 1970, without a zone.
/// Thread safety: safe from any thread.
std::string UtcText(std::int64_t seconds);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_SRC_OBSERVE_UTC_H_
