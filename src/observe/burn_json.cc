#include <cmath>
#include <nlohmann/json.hpp>

#include "observe/burn_words.h"
#include "plantainhead/observe/burn.h"

namespace plantainhead::observe {
namespace {

using json = nlohmann::ordered_json;

// JSON has no infinity; null stands for it.
json Number(double value) {
  return std::isfinite(value) ? json(value) : json(nullptr);
}

json CountsToJson(const core::request_counts& counts) {
  json value = {{"total", counts.Total()}};
  for (const auto& [fate, name] : core::kSloOutcomeNames) {
    value[std::string(name)] = counts[fate];
  }
  return value;
}

json UseToJson(const budget_use& use) {
  json rates = json::array();
  for (const double rate : use.rates) {
    rates.push_back(Number(rate));
  }
  return {{"allowed", use.allowed},
          {"failed", use.failed},
          {"left", Number(use.left)},
          {"burn_rates", rates},
          {"exhausted_in_us",
           use.exhausted_in ? json(use.exhausted_in->count()) : json(nullptr)}};
}

json ClassToJson(const class_report& item) {
  json windows = json::array();
  for (const window_report& window : item.windows) {
    windows.push_back({{"window_us", window.window.count()},
                       {"counts", CountsToJson(window.counts)}});
  }
  json hours = json::array();
  for (const core::request_counts& counts : item.hours) {
    hours.push_back(CountsToJson(counts));
  }
  return {{"class", item.target.name.value()},
          {"service", item.target.service.value()},
          {"served", item.target.served},
          {"unavailability", item.target.unavailability},
          {"within_us", item.target.within.count()},
          {"window_us", item.target.window.count()},
          {"in_time", UseToJson(UseOf(item, burn_target::kInTime))},
          {"available", UseToJson(UseOf(item, burn_target::kAvailable))},
          {"windows", windows},
          {"hours", hours}};
}

}  // namespace

std::string ToJson(const burn_report& report) {
  json classes = json::array();
  for (const class_report& item : report.classes) {
    classes.push_back(ClassToJson(item));
  }
  const json whole = {{"at", TimeText(report.at)}, {"classes", classes}};
  constexpr int kIndent = 2;
  return whole.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace plantainhead::observe
