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

// Returns the words of a text whose words are separated by spaces.
std::vector<std::string> WordsOf(const std::string& text) {
  std::istringstream words(text);
  std::string word;
  std::vector<std::string> found;
  while (words >> word) {
    found.push_back(word);
  }
  return found;
}

// A line on one VM has `vm`. One on several lists them: `vms` has their names,
// `tasks` items such as "vm-1:0-3,7".
std::vector<std::string> VmsOf(const json& fields) {
  std::vector<std::string> vms = WordsOf(TextOf(fields, "vms"));
  for (const std::string& item : WordsOf(TextOf(fields, "tasks"))) {
    vms.push_back(item.substr(0, item.rfind(':')));
  }
  const std::string vm = TextOf(fields, "vm");
  if (!vm.empty()) {
    vms.push_back(vm);
  }
  return vms;
}

// The same for jobs: `job` and `jobs`.
std::vector<std::string> JobsOf(const json& fields) {
  std::vector<std::string> jobs = WordsOf(TextOf(fields, "jobs"));
  const std::string job = TextOf(fields, "job");
  if (!job.empty()) {
    jobs.push_back(job);
  }
  return jobs;
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
    if (!JobsOf(line.fields).empty()) {
      return false;
    }
    const std::vector<std::string> its_vms = VmsOf(line.fields);
    if (!its_vms.empty()) {
      return std::any_of(
          its_vms.begin(), its_vms.end(),
          [this](const std::string& vm) { return vms.count(vm) != 0; });
    }
    return processes.count(line.process) != 0 && line.fields.count("host") == 0;
  }
};

bool Names(const parsed_line& line, const std::string& job) {
  const std::vector<std::string> jobs = JobsOf(line.fields);
  return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
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
    const std::vector<std::string> vms = VmsOf(line.fields);
    found->vms.insert(vms.begin(), vms.end());
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
