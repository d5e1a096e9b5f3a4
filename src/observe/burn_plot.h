#ifndef PLANTAINHEAD_SRC_OBSERVE_BURN_PLOT_H_
#define PLANTAINHEAD_SRC_OBSERVE_BURN_PLOT_H_

#include <string>

#include "plantainhead/observe/burn.h"

namespace plantainhead::observe {

/// Returns an SVG element that shows the share of requests that missed the
/// class's target in each of the last `kBurnHours` hours, by cause, with a line
/// at the share that may. Colours are CSS classes of the page that it stands
/// in. Thread safety: safe from any thread.
std::string BurnPlot(const class_report& report);

/// Returns `text` with the characters that HTML gives a meaning replaced.
/// Thread safety: safe from any thread.
std::string EscapeHtml(const std::string& text);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_SRC_OBSERVE_BURN_PLOT_H_
