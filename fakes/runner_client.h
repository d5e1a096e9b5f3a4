#ifndef PLANTAINHEAD_FAKES_RUNNER_CLIENT_H_
#define PLANTAINHEAD_FAKES_RUNNER_CLIENT_H_

#include <cstdint>
#include <optional>

#include "fleet_model.h"

namespace plantainhead::fakes {

/// Asks a runner to drain or to reboot. Returns what it has in flight, or
/// nothing when it doesn't say. A runner whose process isn't there has nothing
/// in flight.
/// Thread safety: safe from any thread.
std::optional<std::uint32_t> CallRunner(const runner_call& call);

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_RUNNER_CLIENT_H_
