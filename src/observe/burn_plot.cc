#include "observe/burn_plot.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace plantainhead::observe {
namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 150;
constexpr double kLeft = 52;
constexpr double kRight = 8;
constexpr double kTop = 12;
constexpr double kBottom = 24;
constexpr double kPlotWidth = kWidth - kLeft - kRight;
constexpr double kPlotHeight = kHeight - kTop - kBottom;
constexpr double kSlot = kPlotWidth / kBurnHours;
constexpr double kBarGap = 2;
constexpr double kPercent = 100;

// The scale reaches at least twice the allowed share, so that a quiet class
// doesn't look like a burning one.
constexpr double kLeastScale = 0.001;

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  return text.data();
}

std::string Attribute(const std::string& name, double value) {
  return " " + name + "=\"" + Number(value) + "\"";
}

double ShareOf(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

double ScaleOf(const class_report& report) {
  double most = std::max(2 * (1 - report.target.served), kLeastScale);
  for (const core::request_counts& counts : report.hours) {
    most = std::max(most,
                    ShareOf(counts.Total() - counts[core::slo_outcome::kServed],
                            counts.Total()));
  }
  return most;
}

std::string Text(double x, double y, const char* anchor, const std::string& s) {
  return "<text" + Attribute("x", x) + Attribute("y", y) + " text-anchor=\"" +
         anchor + "\">" + EscapeHtml(s) + "</text>";
}

std::string Line(double y, const char* style) {
  return std::string("<line class=\"") + style + "\"" + Attribute("x1", kLeft) +
         Attribute("x2", kWidth - kRight) + Attribute("y1", y) +
         Attribute("y2", y) + "/>";
}

double HeightOf(double share, double scale) {
  return kPlotHeight * share / scale;
}

// Returns the start of a bar's element, open for further attributes.
std::string Bar(double x, double top, double height) {
  return "<rect" + Attribute("x", x + kBarGap / 2) + Attribute("y", top) +
         Attribute("width", kSlot - kBarGap) + Attribute("height", height);
}

// One part of time: a bar for each cause, one above the other.
std::string Bars(const core::request_counts& counts, double x, double scale) {
  std::string svg;
  double top = kTop + kPlotHeight;
  for (const auto& [fate, fate_name] : core::kSloOutcomeNames) {
    const std::uint64_t count = counts[fate];
    if (fate == core::slo_outcome::kServed || count == 0) {
      continue;
    }
    const double share = ShareOf(count, counts.Total());
    const double height = HeightOf(share, scale);
    top -= height;
    svg += Bar(x, top, height) + " class=\"" + std::string(fate_name) +
           "\"><title>" + std::string(fate_name) + ": " +
           std::to_string(count) + " of " + std::to_string(counts.Total()) +
           " (" + Number(share * kPercent) + "%)</title></rect>";
  }
  return svg;
}

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string BurnPlot(const class_report& report) {
  const double scale = ScaleOf(report);
  const double bottom = kTop + kPlotHeight;
  const double allowed = 1 - report.target.served;
  const double allowed_y = bottom - HeightOf(allowed, scale);
  std::string svg = "<svg viewBox=\"0 0 " + Number(kWidth) + " " +
                    Number(kHeight) +
                    "\" role=\"img\" aria-label=\"Requests that missed the "
                    "target in the last 48 hours\">";
  svg += Line(bottom, "axis");
  for (std::size_t i = 0; i < report.hours.size(); ++i) {
    const double x = kLeft + kPlotWidth * static_cast<double>(i) / kBurnHours;
    svg += Bars(report.hours[i], x, scale);
  }
  svg += Line(allowed_y, "allowed");
  svg += Text(kLeft - 6, kTop + 4, "end", Number(scale * kPercent) + "%");
  svg += Text(kLeft - 6, bottom, "end", "0%");
  svg += Text(kWidth - kRight, allowed_y - 4, "end",
              "allowed " + Number(allowed * kPercent) + "%");
  svg += Text(kLeft, kHeight - 6, "start", "48 h ago");
  svg += Text(kWidth - kRight, kHeight - 6, "end", "now");
  return svg + "</svg>";
}

}  // namespace plantainhead::observe
