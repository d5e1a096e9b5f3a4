#ifndef PLANTAINHEAD_OBSERVE_BURN_FORMATS_H_
#define PLANTAINHEAD_OBSERVE_BURN_FORMATS_H_

#include <string>

#include "plantainhead/observe/burn.h"

/// A burn report for people and programs. All functions are safe from any
/// thread.
namespace plantainhead::observe {

/// Returns a table of plain text, a line for each class and target.
std::string ToText(const burn_report& report);

/// Returns JSON that `ParseBurnReport` reads back, with the worked out figures
/// beside the counts.
std::string ToJson(const burn_report& report);

/// Reads the counts and targets back. Throws `std::invalid_argument` on text
/// that isn't such a report.
burn_report ParseBurnReport(const std::string& text);

/// Returns one HTML page that needs nothing else: a table and, for each class,
/// a plot of the last 6 hours.
std::string ToHtml(const burn_report& report);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_BURN_FORMATS_H_
