#ifndef PLANTAINHEAD_SRC_OBSERVE_BURN_WORDS_H_
#define PLANTAINHEAD_SRC_OBSERVE_BURN_WORDS_H_

#include <string>
#include <vector>

#include "plantainhead/observe/burn.h"

/// The figures of a burn report as short texts. All functions are safe from any
/// thread.
namespace plantainhead::observe {

/// One class and one target, in the order of `BurnHeadings`.
struct burn_row {
  std::vector<std::string> cells;
  /// Part of the budget that is left.
  double left = 1;
};

std::vector<std::string> BurnHeadings();

/// Returns two rows for each class: in time and available.
std::vector<burn_row> BurnRows(const burn_report& report);

/// "2026-03-01T12:00:00Z"
std::string TimeText(core::time_point time);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_SRC_OBSERVE_BURN_WORDS_H_
