#include "plantainhead/core/fleet/task_history.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string>

namespace plantainhead::core {
namespace {

/// Maximum number of failures kept for each worker.
constexpr std::size_t kMaxFailures = 8;
/// Weight of a new measurement in the moving averages.
constexpr double kAverageWeight = 0.2;
/// Jobs are allotted this factor times their observed use.
constexpr double kHeadroom = 1.2;
/// Bounds of the correction of declared sizes. Memory is never reduced below
/// the declared size until the job itself has been observed, because too little
/// memory ends the task.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4.0;

double Average(double known, double seen) {
  return known <= 0 ? seen : known + kAverageWeight * (seen - known);
}

std::uint32_t RoundUp(double value) {
  return static_cast<std::uint32_t>(std::ceil(value - 1e-9));
}

}  // namespace

operation_id WithSize(const operation_id& start, const job_size& size) {
  return operation_id(start.value() + ":" + std::to_string(size.processors) +
                      "x" + std::to_string(size.memory_mb) + "x" +
                      std::to_string(size.accelerators));
}

std::optional<job_size> ParseSize(const operation_id& start) {
  const std::size_t begin = start.value().rfind(':');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  std::istringstream text(start.value().substr(begin + 1));
  job_size size;
  char first = 0;
  char second = 0;
  text >> size.processors >> first >> size.memory_mb >> second >>
      size.accelerators;
  const bool is_size = !text.fail() && first == 'x' && second == 'x';
  return is_size ? std::optional<job_size>(size) : std::nullopt;
}

void task_history::Observe(const std::vector<task_listing>& tasks,
                           const fleet_state& state) {
  std::set<operation_id> listed;
  for (const task_listing& task : tasks) {
    const bool has_ended = task.state == task_state::kFailed ||
                           task.state == task_state::kFinished;
    if (has_ended && !counted_.contains(task.started_by)) {
      CountTaskEnd(task);
    }
    if (has_ended) {
      listed.insert(task.started_by);
    }
    const auto job = state.jobs.find(task.job);
    if (task.state == task_state::kRunning && job != state.jobs.end()) {
      LearnUsage(task, job->second.spec);
    }
  }
  counted_ = std::move(listed);
  std::erase_if(used_, [&](const auto& item) {
    return !state.jobs.contains(item.first);
  });
  std::erase_if(failed_on_, [&](const auto& item) {
    return !state.jobs.contains(item.first);
  });
  std::erase_if(refusals_, [&](const auto& item) {
    return !state.jobs.contains(item.first);
  });
  std::erase_if(failures_, [&](const auto& item) {
    return !state.vms.contains(item.first);
  });
}

void task_history::CountTaskEnd(const task_listing& task) {
  if (task.state == task_state::kFinished) {
    failures_.erase(task.vm);
    return;
  }
  std::deque<job_id>& failures = failures_[task.vm];
  if (std::find(failures.begin(), failures.end(), task.job) == failures.end()) {
    failures.push_back(task.job);
  }
  if (failures.size() > kMaxFailures) {
    failures.pop_front();
  }
  failed_on_[task.job].insert(task.vm);
}

void task_history::LearnUsage(const task_listing& task,
                              const job_requirements& spec) {
  if (task.processors_used == 0 && task.memory_used_mb == 0) {
    return;
  }
  usage& used = used_[task.job];
  used.processors = Average(used.processors, task.processors_used);
  used.memory_mb =
      std::max(used.memory_mb, static_cast<double>(task.memory_used_mb));
  usage& ratio = ratios_[spec.team];
  if (spec.processors > 0) {
    ratio.processors =
        Average(ratio.processors, used.processors / spec.processors);
  }
  if (spec.memory_mb > 0) {
    ratio.memory_mb = Average(ratio.memory_mb, used.memory_mb / spec.memory_mb);
  }
}

bool task_history::FailsAllTasks(const vm_id& vm,
                                 std::size_t consecutive) const {
  const auto found = failures_.find(vm);
  if (found == failures_.end()) {
    return false;
  }
  // A job that also fails on other workers is no evidence against this worker.
  const auto only_here = std::count_if(
      found->second.begin(), found->second.end(),
      [&](const job_id& job) { return FailedOn(job).size() <= 1; });
  return static_cast<std::size_t>(only_here) >= consecutive;
}

const std::set<vm_id>& task_history::FailedOn(const job_id& job) const {
  static const std::set<vm_id> kNowhere;
  const auto found = failed_on_.find(job);
  return found == failed_on_.end() ? kNowhere : found->second;
}

void task_history::CountRefusal(const job_id& job,
                                const vm_id& vm,
                                time_point now) {
  refusals& known = refusals_[job];
  ++known.count;
  known.last[vm] = now;
}

bool task_history::WasRefused(const job_id& job,
                              const vm_id& vm,
                              time_point since) const {
  const auto found = refusals_.find(job);
  if (found == refusals_.end()) {
    return false;
  }
  const auto last = found->second.last.find(vm);
  return last != found->second.last.end() && last->second >= since;
}

std::uint32_t task_history::RefusalCount(const job_id& job) const {
  const auto found = refusals_.find(job);
  return found == refusals_.end() ? 0 : found->second.count;
}

void task_history::ClearFailures(const vm_id& vm) {
  failures_.erase(vm);
}

void task_history::ClearFailures(const job_id& job) {
  failed_on_.erase(job);
}

job_size task_history::SizeOf(const job_requirements& spec) const {
  job_size size{spec.processors, spec.memory_mb, spec.accelerators};
  const auto used = used_.find(spec.name);
  if (used != used_.end()) {
    size.processors =
        std::max(1U, RoundUp(used->second.processors * kHeadroom));
    size.memory_mb = RoundUp(used->second.memory_mb * kHeadroom);
    return size;
  }
  const auto ratio = ratios_.find(spec.team);
  if (ratio == ratios_.end()) {
    return size;
  }
  if (ratio->second.processors > 0) {
    size.processors =
        std::max(1U, RoundUp(spec.processors *
                             std::clamp(ratio->second.processors * kHeadroom,
                                        kMinRatio, kMaxRatio)));
  }
  if (ratio->second.memory_mb > 1.0) {
    size.memory_mb =
        RoundUp(spec.memory_mb * std::min(ratio->second.memory_mb, kMaxRatio));
  }
  return size;
}

}  // namespace plantainhead::core
