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

// Formats indices as sorted ranges, for example "0-3,7".
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

void event_aggregator::AddTask(job_event event,
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
  event_group* events = FindOrCreate(event, subject::kTask, common, now);
  events->job = target.task.job;
  events->items[target.vm].push_back(target.task.index);
  ++events->count;
}

void event_aggregator::AddVm(job_event event,
                             const core::jobs::vm_id& vm,
                             const observe::log_fields& common,
                             core::time_point now) {
  AddItem(event, subject::kVm, vm, common, now);
}

void event_aggregator::AddJob(job_event event,
                              const core::jobs::job_id& job,
                              const observe::log_fields& common,
                              core::time_point now) {
  AddItem(event, subject::kJob, job, common, now);
}

std::vector<aggregated_line> event_aggregator::TakeDue(core::time_point now) {
  return TakeIf([now](const event_group& events) {
    return events.count >= kMaxEventsPerLine ||
           now - events.first_at >= kAggregationDelay;
  });
}

std::vector<aggregated_line> event_aggregator::TakeForJob(
    const core::jobs::job_id& job) {
  return TakeIf([&job](const event_group& events) {
    return events.job == job ||
           (events.kind == subject::kJob && events.items.count(job) != 0);
  });
}

std::vector<aggregated_line> event_aggregator::TakeAll() {
  return TakeIf([](const event_group& /*events*/) { return true; });
}

std::vector<aggregated_line> event_aggregator::TakeIf(
    const std::function<bool(const event_group&)>& is_taken) {
  std::vector<aggregated_line> lines;
  std::vector<event_group> rest;
  for (event_group& events : event_groups_) {
    if (is_taken(events)) {
      lines.push_back(ToLine(events));
    } else {
      rest.push_back(std::move(events));
    }
  }
  event_groups_ = std::move(rest);
  return lines;
}

void event_aggregator::AddItem(job_event event,
                               subject kind,
                               const std::string& item,
                               const observe::log_fields& common,
                               core::time_point now) {
  event_group* events = FindOrCreate(event, kind, common, now);
  events->items.try_emplace(item);
  events->count = events->items.size();
}

event_aggregator::event_group* event_aggregator::FindOrCreate(
    job_event event,
    subject kind,
    const observe::log_fields& common,
    core::time_point now) {
  const auto found = std::find_if(event_groups_.begin(), event_groups_.end(),
                                  [&](const event_group& events) {
                                    return events.event == event &&
                                           events.kind == kind &&
                                           events.count < kMaxEventsPerLine &&
                                           events.common == common;
                                  });
  if (found != event_groups_.end()) {
    return &*found;
  }
  event_groups_.push_back({event, kind, common, now, {}, {}, 0});
  return &event_groups_.back();
}

aggregated_line event_aggregator::ToLine(const event_group& events) {
  aggregated_line line{events.event, events.common};
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
  for (const auto& [name, task_indices] : events.items) {
    Append(&list, ' ',
           events.kind == subject::kTask ? name + ":" + ToRanges(task_indices)
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
