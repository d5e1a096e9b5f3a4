#include "jobs/event_aggregator.h"

#include <algorithm>
#include <utility>

namespace plantainhead::jobs {
namespace {

void Append(std::string* text, char separator, const std::string& item) {
  if (!text->empty()) {
    *text += separator;
  }
  *text += item;
}

// Returns for instance "0-3,7".
std::string ToRanges(std::vector<std::uint32_t> indices) {
  std::sort(indices.begin(), indices.end());
  std::string text;
  for (std::size_t begin = 0; begin < indices.size();) {
    std::size_t end = begin + 1;
    while (end < indices.size() && indices[end] == indices[end - 1] + 1) {
      ++end;
    }
    std::string range = std::to_string(indices[begin]);
    if (end - begin > 1) {
      range += "-" + std::to_string(indices[end - 1]);
    }
    Append(&text, ',', range);
    begin = end;
  }
  return text;
}

}  // namespace

void line_gatherer::AddTask(job_event event,
                            const core::jobs::run_ref& target,
                            const observe::log_fields& outcome,
                            core::time_point now) {
  observe::log_fields common = {{"job", target.task.job},
                                {"step", std::to_string(target.task.step)},
                                {"run", std::to_string(target.run)}};
  if (target.task.occurrence > 0) {
    common.emplace_back("occurrence", std::to_string(target.task.occurrence));
  }
  common.insert(common.end(), outcome.begin(), outcome.end());
  group* events = FindOrBegin(event, subject::kTask, common, now);
  events->job = target.task.job;
  events->items[target.vm].push_back(target.task.index);
  ++events->count;
}

void line_gatherer::AddVm(job_event event,
                          const core::jobs::vm_id& vm,
                          const observe::log_fields& common,
                          core::time_point now) {
  AddItem(event, subject::kVm, vm, common, now);
}

void line_gatherer::AddJob(job_event event,
                           const core::jobs::job_id& job,
                           const observe::log_fields& common,
                           core::time_point now) {
  AddItem(event, subject::kJob, job, common, now);
}

std::vector<gathered_line> line_gatherer::TakeDue(core::time_point now) {
  return TakeIf([now](const group& events) {
    return events.count >= kMostEventsInLine ||
           now - events.first_at >= kGatherTime;
  });
}

std::vector<gathered_line> line_gatherer::TakeOf(
    const core::jobs::job_id& job) {
  return TakeIf([&job](const group& events) {
    return events.job == job ||
           (events.kind == subject::kJob && events.items.count(job) != 0);
  });
}

std::vector<gathered_line> line_gatherer::TakeAll() {
  return TakeIf([](const group& /*events*/) { return true; });
}

std::vector<gathered_line> line_gatherer::TakeIf(
    const std::function<bool(const group&)>& is_taken) {
  std::vector<gathered_line> lines;
  std::vector<group> rest;
  for (group& events : groups_) {
    if (is_taken(events)) {
      lines.push_back(ToLine(events));
    } else {
      rest.push_back(std::move(events));
    }
  }
  groups_ = std::move(rest);
  return lines;
}

void line_gatherer::AddItem(job_event event,
                            subject kind,
                            const std::string& item,
                            const observe::log_fields& common,
                            core::time_point now) {
  group* events = FindOrBegin(event, kind, common, now);
  events->items.try_emplace(item);
  events->count = events->items.size();
}

line_gatherer::group* line_gatherer::FindOrBegin(
    job_event event,
    subject kind,
    const observe::log_fields& common,
    core::time_point now) {
  const auto found =
      std::find_if(groups_.begin(), groups_.end(), [&](const group& events) {
        return events.event == event && events.kind == kind &&
               events.count < kMostEventsInLine && events.common == common;
      });
  if (found != groups_.end()) {
    return &*found;
  }
  groups_.push_back({event, kind, common, now, {}, {}, 0});
  return &groups_.back();
}

gathered_line line_gatherer::ToLine(const group& events) {
  gathered_line line{events.event, events.common};
  const auto& [first, indices] = *events.items.begin();
  if (events.count == 1) {
    if (events.kind == subject::kTask) {
      line.fields.emplace_back("index", std::to_string(indices.front()));
    }
    line.fields.emplace_back(events.kind == subject::kJob ? "job" : "vm",
                             first);
    return line;
  }
  std::string list;
  for (const auto& [name, its_indices] : events.items) {
    Append(&list, ' ',
           events.kind == subject::kTask ? name + ":" + ToRanges(its_indices)
                                         : name);
  }
  line.fields.emplace_back("count", std::to_string(events.count));
  switch (events.kind) {
    case subject::kTask:
      line.fields.emplace_back("tasks", list);
      break;
    case subject::kVm:
      line.fields.emplace_back("vms", list);
      break;
    case subject::kJob:
      line.fields.emplace_back("jobs", list);
      break;
  }
  return line;
}

}  // namespace plantainhead::jobs
