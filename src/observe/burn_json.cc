#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "observe/burn_words.h"
#include "plantainhead/observe/burn_formats.h"

namespace plantainhead::observe {
namespace {

using json = nlohmann::ordered_json;

// JSON has no infinity; null stands for it.
json Number(double value) {
  return std::isfinite(value) ? json(value) : json(nullptr);
}

json CountsToJson(const request_counts& counts) {
  json causes = json::object();
  for (const auto& [cause, count] : counts.causes) {
    causes[std::string(core::NameOf(cause))] = count;
  }
  return {{"total", counts.total},
          {"late", counts.late},
          {"unserved", counts.unserved},
          {"causes", causes}};
}

request_counts CountsFromJson(const json& value) {
  request_counts counts;
  counts.total = value.at("total");
  counts.late = value.at("late");
  counts.unserved = value.at("unserved");
  for (const auto& [name, count] : value.at("causes").items()) {
    const auto cause = core::FromName<burn_cause>(name);
    if (cause) {
      counts.causes[*cause] = count;
    }
  }
  return counts;
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

json ClassToJson(const class_report& item, core::duration counted_for) {
  json windows = json::array();
  for (const window_report& window : item.windows) {
    windows.push_back({{"window_us", window.window.count()},
                       {"counts", CountsToJson(window.counts)}});
  }
  json series = json::array();
  for (const request_counts& counts : item.series) {
    series.push_back(CountsToJson(counts));
  }
  return {
      {"class", item.target.name.value()},
      {"service", item.target.service.value()},
      {"served", item.target.served},
      {"unavailability", item.target.unavailability},
      {"within_us", item.target.within.count()},
      {"window_us", item.target.window.count()},
      {"in_time", UseToJson(UseOf(item, burn_target::kInTime, counted_for))},
      {"available",
       UseToJson(UseOf(item, burn_target::kAvailable, counted_for))},
      {"windows", windows},
      {"last_6h", series}};
}

class_report ClassFromJson(const json& value) {
  constexpr std::size_t kWindowCount = 4;
  class_report item;
  item.target.name = core::class_name(value.at("class"));
  item.target.service = core::service_name(value.at("service"));
  item.target.served = value.at("served");
  item.target.unavailability = value.at("unavailability");
  item.target.within =
      core::duration(value.at("within_us").get<std::int64_t>());
  item.target.window =
      core::duration(value.at("window_us").get<std::int64_t>());
  for (const json& window : value.at("windows")) {
    item.windows.push_back(
        {core::duration(window.at("window_us").get<std::int64_t>()),
         CountsFromJson(window.at("counts"))});
  }
  if (item.windows.size() != kWindowCount) {
    throw std::invalid_argument("a burn report needs four windows a class");
  }
  for (const json& counts : value.at("last_6h")) {
    item.series.push_back(CountsFromJson(counts));
  }
  return item;
}

core::time_point TimeFromJson(const json& value) {
  return core::time_point(core::duration(value.get<std::int64_t>()));
}

}  // namespace

std::string ToJson(const burn_report& report) {
  json classes = json::array();
  for (const class_report& item : report.classes) {
    classes.push_back(ClassToJson(item, report.at - report.since));
  }
  const json whole = {{"at", TimeText(report.at)},
                      {"at_us", report.at.time_since_epoch().count()},
                      {"since", TimeText(report.since)},
                      {"since_us", report.since.time_since_epoch().count()},
                      {"entries", report.entries},
                      {"classes", classes}};
  constexpr int kIndent = 2;
  return whole.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

burn_report ParseBurnReport(const std::string& text) {
  try {
    const json whole = json::parse(text);
    burn_report report;
    report.at = TimeFromJson(whole.at("at_us"));
    report.since = TimeFromJson(whole.at("since_us"));
    report.entries = whole.at("entries");
    for (const json& item : whole.at("classes")) {
      report.classes.push_back(ClassFromJson(item));
    }
    return report;
  } catch (const json::exception& error) {
    throw std::invalid_argument(std::string("not a burn report: ") +
                                error.what());
  }
}

}  // namespace plantainhead::observe
