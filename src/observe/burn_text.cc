#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "observe/burn_words.h"
#include "observe/utc.h"
#include "plantainhead/observe/burn.h"

namespace plantainhead::observe {
namespace {

constexpr double kPercent = 100;

std::string Format(const char* format, double value) {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

std::string PercentText(double share) {
  return std::isfinite(share) ? Format("%.4g%%", share * kPercent) : "none";
}

std::string RateText(double rate) {
  return std::isfinite(rate) ? Format("%.3gx", rate) : "any is too much";
}

std::string SpanText(core::duration span) {
  const double hours =
      std::chrono::duration<double, std::ratio<3600>>(span).count();
  constexpr double kHoursPerDay = 24;
  if (hours >= 2 * kHoursPerDay) {
    return Format("%.1f days", hours / kHoursPerDay);
  }
  return hours >= 1 ? Format("%.1f h", hours)
                    : Format("%.0f min", std::floor(hours * 60));
}

std::string ExhaustionText(const budget_use& use) {
  if (use.left <= 0) {
    return "used up";
  }
  return use.exhausted_in ? SpanText(*use.exhausted_in) : "-";
}

std::string CausesText(const core::request_counts& counts) {
  std::string text;
  for (const auto& [fate, name] : core::kSloOutcomeNames) {
    if (fate != core::slo_outcome::kServed && counts[fate] > 0) {
      text += (text.empty() ? "" : ", ") + std::string(name) + " " +
              std::to_string(counts[fate]);
    }
  }
  return text.empty() ? "-" : text;
}

burn_row RowOf(const class_report& item, burn_target target) {
  const budget_use use = UseOf(item, target);
  burn_row row;
  row.left = use.left;
  row.cells = {item.target.name.value(),
               target == burn_target::kInTime ? "in time" : "available",
               PercentText(1 - use.allowed),
               PercentText(1 - use.failed),
               std::to_string(item.windows.back().counts.Total()),
               PercentText(use.left)};
  for (const double rate : use.rates) {
    row.cells.push_back(RateText(rate));
  }
  row.cells.push_back(ExhaustionText(use));
  row.cells.push_back(CausesText(item.windows.back().counts));
  return row;
}

}  // namespace

std::string TimeText(core::time_point time) {
  return UtcText(
             std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
                 .count()) +
         "Z";
}

std::vector<std::string> BurnHeadings() {
  return {"class",   "target",  "promised", "reached",      "requests", "left",
          "burn 5m", "burn 1h", "burn 6h",  "exhausted in", "causes"};
}

std::vector<burn_row> BurnRows(const burn_report& report) {
  std::vector<burn_row> rows;
  for (const class_report& item : report.classes) {
    rows.push_back(RowOf(item, burn_target::kInTime));
    rows.push_back(RowOf(item, burn_target::kAvailable));
  }
  return rows;
}

std::string ToText(const burn_report& report) {
  std::vector<std::vector<std::string>> lines = {BurnHeadings()};
  for (const burn_row& row : BurnRows(report)) {
    lines.push_back(row.cells);
  }
  std::vector<std::size_t> widths(lines.front().size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text = "At " + TimeText(report.at) + "\n";
  for (const auto& line : lines) {
    std::string padded;
    for (std::size_t i = 0; i < line.size(); ++i) {
      padded += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    padded.erase(padded.find_last_not_of(' ') + 1);
    text += padded + "\n";
  }
  return text;
}

}  // namespace plantainhead::observe
