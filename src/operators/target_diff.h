#ifndef PLANTAINHEAD_SRC_OPERATORS_TARGET_DIFF_H_
#define PLANTAINHEAD_SRC_OPERATORS_TARGET_DIFF_H_

#include <string>
#include <vector>

#include "plantainhead/core/configuration.h"

namespace plantainhead::operators {

/// Returns a line for each part that differs: "+ class x ...", "- pool y ..."
/// or "~ class z: within 1s -> 800ms". The order of the parts doesn't count.
/// Thread safety: safe from any thread.
std::vector<std::string> DiffTargets(const core::configuration& before,
                                     const core::configuration& after);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_TARGET_DIFF_H_
