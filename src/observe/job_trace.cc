#include "plantainhead/observe/job_trace.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace plantainhead::observe {
namespace {

using json = nlohmann::json;

struct parsed_line {
  std::string time;
  std::string process;
  json fields;
};

std::string TextOf(const json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// Returns the last word before the JSON, which names the process where one file
// holds the lines of several.
std::string ProcessBefore(std::string_view prefix) {
  const auto last = prefix.find_last_not_of(" \t");
  if (last == std::string_view::npos) {
    return "";
  }
  const auto before = prefix.find_last_of(" \t", last);
  const auto begin = before == std::string_view::npos ? 0 : before + 1;
  return std::string(prefix.substr(begin, last + 1 - begin));
}

std::vector<parsed_line> Parse(const std::vector<process_log>& logs) {
  std::vector<parsed_line> lines;
  for (const process_log& log : logs) {
    std::istringstream text(log.text);
    std::string line;
    while (std::getline(text, line)) {
      const auto begin = line.find('{');
      if (begin == std::string::npos) {
        continue;
      }
      json fields = json::parse(line.substr(begin), nullptr, false);
      if (!fields.is_object()) {
        continue;
      }
      std::string process =
          ProcessBefore(std::string_view(line).substr(0, begin));
      lines.push_back({TextOf(fields, "time"),
                       process.empty() ? log.process : process,
                       std::move(fields)});
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const parsed_line& a, const parsed_line& b) {
                     return a.time < b.time;
                   });
  return lines;
}

trace_event ToEvent(const parsed_line& line) {
  trace_event event{line.time, line.process, TextOf(line.fields, "message"),
                    ""};
  for (const auto& [name, value] : line.fields.items()) {
    if (name == "time" || name == "message" || name == "level") {
      continue;
    }
    event.details += event.details.empty() ? "" : " ";
    event.details += name + "=";
    event.details +=
        value.is_string() ? value.get<std::string>() : value.dump();
  }
  return event;
}

/// What bears on the job besides the lines that name it.
struct surroundings {
  std::string begin;
  std::string end;
  std::set<std::string> vms;
  std::set<std::string> processes;

  bool Concern(const parsed_line& line) const {
    if (line.time < begin || line.time > end) {
      return false;
    }
    const std::string vm = TextOf(line.fields, "vm");
    if (!vm.empty()) {
      return vms.count(vm) != 0 && line.fields.count("job") == 0;
    }
    return processes.count(line.process) != 0 &&
           line.fields.count("job") == 0 && line.fields.count("host") == 0;
  }
};

bool Names(const parsed_line& line, const std::string& job) {
  return TextOf(line.fields, "job") == job;
}

std::optional<surroundings> FindSurroundings(
    const std::vector<parsed_line>& lines,
    const std::string& job) {
  std::optional<surroundings> found;
  for (const parsed_line& line : lines) {
    if (!Names(line, job)) {
      continue;
    }
    if (!found) {
      found.emplace();
      found->begin = line.time;
    }
    found->end = line.time;
    found->processes.insert(line.process);
    const std::string vm = TextOf(line.fields, "vm");
    if (!vm.empty()) {
      found->vms.insert(vm);
    }
  }
  return found;
}

}  // namespace

job_trace TraceJob(const std::string& job,
                   const std::vector<process_log>& logs) {
  const std::vector<parsed_line> lines = Parse(logs);
  const auto around = FindSurroundings(lines, job);
  job_trace trace;
  if (!around) {
    return trace;
  }
  for (const parsed_line& line : lines) {
    const bool is_named = Names(line, job);
    if (is_named || around->Concern(line)) {
      trace.events.push_back(ToEvent(line));
    }
    const std::string verdict =
        is_named ? TextOf(line.fields, "verdict") : std::string();
    if (!verdict.empty()) {
      trace.verdict = verdict;
    }
  }
  return trace;
}

std::string ToText(const job_trace& trace) {
  if (trace.events.empty()) {
    return "no line names this job\n";
  }
  std::string text;
  for (const trace_event& event : trace.events) {
    text += event.time + "  " + event.process + "  " + event.message + "  " +
            event.details + "\n";
  }
  text += "verdict: ";
  text += trace.verdict.empty() ? "its end isn't in these logs" : trace.verdict;
  text += "\n";
  return text;
}

}  // namespace plantainhead::observe
