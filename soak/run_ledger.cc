#include "run_ledger.h"

#include <algorithm>

namespace plantainhead::soak {
namespace {

// A job may be given up when so many VMs have crashed under one of its tasks.
constexpr int kCrashesOfGivenUp = 2;
// Once three VMs have crashed under a task it may start twice more.
constexpr int kMostCrashingStarts = 5;

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void run_ledger::NoteSubmission(const std::string& job, std::size_t tasks) {
  jobs_[job].tasks = tasks;
}

void run_ledger::NoteAnswer(const std::string& job, job_answer answer) {
  job_note& note = jobs_[job];
  note.answer = answer;
  if (answer == job_answer::kRefused && note.has_started) {
    violations_.push_back("a refused job had started: " + job);
  }
}

void run_ledger::NoteCancelSent(const std::string& job) {
  jobs_[job].is_cancel_sent = true;
}

void run_ledger::NoteCompleted(const std::string& job) {
  job_note& note = jobs_[job];
  if (note.done.size() < note.tasks) {
    violations_.push_back("shown as completed with tasks left: " + job);
  }
  note.is_completed = true;
}

void run_ledger::NoteCrashing(const std::string& job) {
  jobs_[job].is_crashing = true;
}

void run_ledger::NoteFailed(const std::string& job) {
  const bool may_be_given_up =
      std::any_of(crashes_.begin(), crashes_.end(), [&job](const auto& entry) {
        return JobOf(entry.first) == job && entry.second >= kCrashesOfGivenUp;
      });
  if (!may_be_given_up) {
    violations_.push_back("shown as failed without cause: " + job);
  }
  jobs_[job].is_completed = true;
}

void run_ledger::NoteMissing(const std::string& job) {
  if (jobs_[job].answer == job_answer::kAccepted) {
    violations_.push_back("an accepted job isn't known: " + job);
  }
}

void run_ledger::NoteRun(const std::string& vm,
                         fakes::vm_event event,
                         const std::string& task,
                         std::uint32_t run) {
  using fakes::vm_event;
  const auto found = jobs_.find(JobOf(task));
  if (found == jobs_.end()) {
    violations_.push_back("a task of no job: " + task);
    return;
  }
  job_note& job = found->second;
  const std::string what = task + " run " + std::to_string(run) + " on " + vm;
  switch (event) {
    case vm_event::kStarted:
      ++starts_;
      job.has_started = true;
      if (is_calm_ && job.is_crashing &&
          ++starts_in_calm_[task] > kMostCrashingStarts) {
        violations_.push_back("goes on crashing VMs: " + what);
      }
      if (!running_[task].empty()) {
        violations_.push_back("two runs at once: " + what);
      }
      if (acknowledged_.count(task) != 0) {
        violations_.push_back("started after its end was acknowledged: " +
                              what);
      }
      if (job.answer == job_answer::kRefused) {
        violations_.push_back("a refused job starts: " + what);
      }
      running_[task].insert(vm);
      return;
    case vm_event::kDone:
      job.done.insert(task);
      running_[task].erase(vm);
      return;
    case vm_event::kStopped:
    case vm_event::kLapsed:
      running_[task].erase(vm);
      return;
    case vm_event::kAcknowledged:
      acknowledged_.insert(task);
      return;
  }
}

void run_ledger::NoteVmEnd(const std::string& vm) {
  for (auto& [task, vms] : running_) {
    crashes_[task] += static_cast<int>(vms.erase(vm));
  }
}

std::set<std::string> run_ledger::OpenJobs() const {
  std::set<std::string> open;
  for (const auto& [id, job] : jobs_) {
    if (job.answer == job_answer::kAccepted && !job.is_completed &&
        !job.is_cancel_sent) {
      open.insert(id);
    }
  }
  return open;
}

std::size_t run_ledger::accepted() const {
  std::size_t count = 0;
  for (const auto& [id, job] : jobs_) {
    count += job.answer == job_answer::kAccepted ? 1 : 0;
  }
  return count;
}

}  // namespace plantainhead::soak
