#ifndef PLANTAINHEAD_SRC_OPERATORS_VIEWS_H_
#define PLANTAINHEAD_SRC_OPERATORS_VIEWS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "plantainhead/operators/entry_view.h"

/// The fleet as JSON for people and scripts. Keys keep their order, times are
/// in UTC, incarnations are hexadecimal texts since JSON numbers lose digits.
/// All functions are safe from any thread.
namespace plantainhead::operators {

using json = nlohmann::ordered_json;

std::string ToHex(core::incarnation who);

/// Returns "2026-03-01T12:00:00Z", or an empty text for 1970-01-01.
std::string ToUtc(core::time_point time);

/// Parses what `ToUtc` returns. Throws `std::invalid_argument`.
core::time_point FromUtc(const std::string& text);

json TargetsView(const core::fleet_state& state);
json StatusView(const entry_view& view);
json WavesView(const core::fleet_state& state);
json VmsView(const core::fleet_state& state);
json PoolsView(const core::fleet_state& state);
json JobsView(const core::fleet_state& state);

/// The whole fold, but for the ids that it remembers to drop second copies.
json StateView(const core::fleet_state& state);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_VIEWS_H_
