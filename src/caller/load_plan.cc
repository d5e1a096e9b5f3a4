#include "caller/load_plan.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

namespace plantainhead::caller {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<bool> ParseBool(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return std::nullopt;
}

// Reads "800ms" or "2s".
std::optional<milliseconds> ParseDuration(const std::string& text) {
  const auto digits = text.find_first_not_of("0123456789");
  const auto value = ParseNumber<std::int64_t>(text.substr(0, digits));
  const std::string unit =
      digits == std::string::npos ? "" : text.substr(digits);
  if (!value || (unit != "ms" && unit != "s")) {
    return std::nullopt;
  }
  return unit == "ms" ? milliseconds(*value)
                      : milliseconds(std::chrono::seconds(*value));
}

template <typename Value>
bool Store(const std::optional<Value>& read, bool in_range, Value* value) {
  if (!read || !in_range) {
    return false;
  }
  *value = *read;
  return true;
}

// Puts one part into a class. Returns false when the text doesn't fit.
using part_reader = std::function<bool(const std::string&, load_class*)>;

const std::map<std::string, part_reader>& PartReaders() {
  static const std::map<std::string, part_reader> kReaders = {
      {"service",
       [](const std::string& text, load_class* to) {
         to->service = text;
         return !text.empty();
       }},
      {"class",
       [](const std::string& text, load_class* to) {
         to->name = text;
         return true;
       }},
      {"method",
       [](const std::string& text, load_class* to) {
         to->method = text;
         return !text.empty();
       }},
      {"path",
       [](const std::string& text, load_class* to) {
         to->path = text;
         return text.rfind('/', 0) == 0;
       }},
      {"rate",
       [](const std::string& text, load_class* to) {
         const auto value = ParseNumber<double>(text);
         return Store(value, value > 0.0, &to->rate);
       }},
      {"repeat",
       [](const std::string& text, load_class* to) {
         const auto value = ParseNumber<double>(text);
         return Store(value, value >= 0.0 && value <= 1.0, &to->repeat);
       }},
      {"deadline",
       [](const std::string& text, load_class* to) {
         const auto value = ParseDuration(text);
         return Store(value, value > milliseconds::zero(), &to->deadline);
       }},
      {"idempotent",
       [](const std::string& text, load_class* to) {
         return Store(ParseBool(text), true, &to->idempotent);
       }},
      {"keys",
       [](const std::string& text, load_class* to) {
         return Store(ParseBool(text), true, &to->keys);
       }},
      {"body", [](const std::string& text, load_class* to) {
         return Store(ParseNumber<std::size_t>(text), true, &to->body);
       }}};
  return kReaders;
}

json ToJson(const load_class& from) {
  return {{"service", from.service},
          {"class", from.name},
          {"rate", std::to_string(from.rate)},
          {"deadline", std::to_string(from.deadline.count()) + "ms"},
          {"method", from.method},
          {"path", from.path},
          {"idempotent", from.idempotent ? "true" : "false"},
          {"keys", from.keys ? "true" : "false"},
          {"body", std::to_string(from.body)},
          {"repeat", std::to_string(from.repeat)}};
}

std::string DescribeMisfit(const std::string& name, const std::string& text) {
  return "'" + name + "' can't be '" + text + "'";
}

[[noreturn]] void Fail(const core::source_location& place,
                       std::string message) {
  throw core::findings_error({{place, std::move(message)}});
}

}  // namespace

load_class ParseLoadClass(const std::map<std::string, std::string>& parts,
                          const core::source_location& place) {
  load_class built;
  std::vector<core::finding> findings;
  for (const auto& [name, text] : parts) {
    const auto reader = PartReaders().find(name);
    if (reader == PartReaders().end()) {
      findings.push_back({place, "a class has no '" + name + "'"});
    } else if (!reader->second(text, &built)) {
      findings.push_back({place, DescribeMisfit(name, text)});
    }
  }
  if (parts.count("service") == 0) {
    findings.push_back({place, "a class needs 'service'"});
  }
  if (built.repeat > 0 && !built.keys) {
    findings.push_back({place, "'repeat' needs 'keys=true'"});
  }
  if (!findings.empty()) {
    throw core::findings_error(std::move(findings));
  }
  return built;
}

load_class ParseLoadClass(const std::string& text) {
  const core::source_location place = {"--class " + text, 0, 0};
  std::map<std::string, std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      Fail(place, "'" + part + "' isn't NAME=VALUE");
    }
    parts[part.substr(0, equals)] = part.substr(equals + 1);
    begin = end + 1;
  }
  return ParseLoadClass(parts, place);
}

load_plan DrawPlan(std::vector<load_class> classes,
                   microseconds length,
                   std::uint64_t seed) {
  load_plan plan;
  std::mt19937_64 random(seed);
  for (std::size_t kind = 0; kind < classes.size(); ++kind) {
    std::exponential_distribution<double> gap(classes[kind].rate);
    std::bernoulli_distribution twice(classes[kind].repeat);
    double at = gap(random);
    while (at < std::chrono::duration<double>(length).count()) {
      const auto when = std::chrono::duration_cast<microseconds>(
          std::chrono::duration<double>(at));
      // Two entries with one number for now; numbered below.
      plan.arrivals.push_back({when, kind, twice(random) ? 2U : 1U});
      at += gap(random);
    }
  }
  std::stable_sort(
      plan.arrivals.begin(), plan.arrivals.end(),
      [](const arrival& a, const arrival& b) { return a.at < b.at; });
  std::vector<arrival> numbered;
  std::uint64_t number = 0;
  for (const arrival& item : plan.arrivals) {
    numbered.insert(numbered.end(), item.number, {item.at, item.kind, number});
    ++number;
  }
  plan.arrivals = std::move(numbered);
  plan.classes = std::move(classes);
  return plan;
}

void WriteTrace(const load_plan& plan, std::ostream& out) {
  json head;
  head["classes"] = json::array();
  for (const load_class& item : plan.classes) {
    head["classes"].push_back(ToJson(item));
  }
  out << head.dump() << "\n";
  for (const arrival& item : plan.arrivals) {
    const json line = {{"at_us", item.at.count()},
                       {"class", item.kind},
                       {"number", item.number}};
    out << line.dump() << "\n";
  }
}

load_plan ReadTrace(std::istream& in, const std::string& file) {
  load_plan plan;
  std::string line;
  core::source_location place = {file, 0, 1};
  while (std::getline(in, line)) {
    ++place.line;
    try {
      const json item = json::parse(line);
      if (place.line == 1) {
        for (const json& spec : item.at("classes")) {
          plan.classes.push_back(ParseLoadClass(
              spec.get<std::map<std::string, std::string>>(), place));
        }
        continue;
      }
      plan.arrivals.push_back(
          {microseconds(item.at("at_us").get<std::int64_t>()),
           item.at("class").get<std::size_t>(),
           item.at("number").get<std::uint64_t>()});
    } catch (const json::exception& error) {
      Fail(place, error.what());
    }
    if (plan.arrivals.back().kind >= plan.classes.size()) {
      Fail(place, "there is no such class");
    }
  }
  return plan;
}

}  // namespace plantainhead::caller
