#include "timed_promises.h"

#include <algorithm>

namespace plantainhead::soak {

using std::chrono::milliseconds;

namespace {

std::string Since(timed_promises::time_point then,
                  timed_promises::time_point now) {
  const auto past = std::chrono::duration_cast<milliseconds>(now - then);
  return std::to_string(past.count()) + " ms after ";
}

}  // namespace

void timed_promises::NoteDisturbed(time_point until) {
  disturbed_until_ = std::max(disturbed_until_, until);
}

bool timed_promises::IsCalm(time_point now) const {
  return now >= disturbed_until_ + bounds_.contact;
}

timed_promises::time_point timed_promises::CountsFrom(time_point at) const {
  return std::max(at, disturbed_until_ + bounds_.contact);
}

void timed_promises::NoteAccepted(const std::string& job,
                                  const std::string& queue,
                                  bool has_room,
                                  time_point now) {
  job_note& note = jobs_[job];
  note.queue = queue;
  note.has_room = has_room;
  note.accepted_at = now;
}

void timed_promises::NoteCancelSent(const std::string& job) {
  jobs_[job].is_cancel_sent = true;
}

void timed_promises::NoteCancelled(const std::string& job, time_point now) {
  job_note& note = jobs_[job];
  if (!note.cancelled_at) {
    note.cancelled_at = now;
  }
}

void timed_promises::NoteStarted(const std::string& vm,
                                 const std::string& job,
                                 const std::string& task,
                                 time_point now) {
  job_note& note = jobs_[job];
  note.has_started = true;
  runs_[{vm, task}] = {job, false};
  if (note.cancelled_at && now > *note.cancelled_at + bounds_.cancel &&
      IsCalm(now)) {
    violations_.push_back("started " + Since(*note.cancelled_at, now) +
                          "its job was cancelled: " + task + " on " + vm);
  }
}

void timed_promises::NoteEnded(const std::string& vm, const std::string& task) {
  const auto found = runs_.find({vm, task});
  if (found == runs_.end()) {
    return;
  }
  checked_cancels_ += jobs_[found->second.job].cancelled_at ? 1 : 0;
  runs_.erase(found);
}

void timed_promises::NoteCount(const std::string& process,
                               const std::string& queue,
                               std::size_t told,
                               time_point sent_at,
                               time_point now) {
  if (!IsCalm(now)) {
    return;
  }
  std::size_t waiting = 0;
  for (const auto& [id, job] : jobs_) {
    const bool waits = job.queue == queue && job.accepted_at &&
                       *job.accepted_at + bounds_.counted < sent_at &&
                       !job.is_cancel_sent && !job.has_started;
    waiting += waits ? 1 : 0;
  }
  checked_counts_ += waiting > 0 ? 1 : 0;
  const std::string what = process + " says that " + std::to_string(told) +
                           " jobs of " + queue + " wait, and " +
                           std::to_string(waiting) + " have for long";
  if (2 * told < waiting && reported_.insert(what).second) {
    violations_.push_back(what);
  }
}

void timed_promises::Check(time_point now) {
  CheckRuns(now);
  CheckWaiting(now);
}

void timed_promises::CheckRuns(time_point now) {
  for (auto& [where, run] : runs_) {
    const job_note& job = jobs_[run.job];
    const bool is_late =
        job.cancelled_at &&
        now > CountsFrom(*job.cancelled_at) + bounds_.cancel + bounds_.stop;
    if (is_late && !run.is_reported) {
      run.is_reported = true;
      violations_.push_back("runs on " + Since(*job.cancelled_at, now) +
                            "its job was cancelled: " + where.second + " on " +
                            where.first);
    }
  }
}

void timed_promises::CheckWaiting(time_point now) {
  for (const auto& [id, job] : jobs_) {
    const bool is_late = job.accepted_at && job.has_room && !job.has_started &&
                         !job.is_cancel_sent &&
                         now > CountsFrom(*job.accepted_at) + bounds_.start;
    if (is_late && reported_.insert(id).second) {
      violations_.push_back("not started " + Since(*job.accepted_at, now) +
                            "it was accepted: " + id);
    }
  }
}

}  // namespace plantainhead::soak
