#ifndef PLANTAINHEAD_SOAK_RUN_LEDGER_H_
#define PLANTAINHEAD_SOAK_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "site_vm.h"

namespace plantainhead::soak {

/// What callers were told of a job.
enum class job_answer { kUnknown, kAccepted, kRefused };

/// Checks the promises about jobs and their runs, from what callers and VMs
/// see. Not thread-safe.
class run_ledger {
 public:
  /// A caller sends the job; it has this many tasks in all.
  void NoteSubmission(const std::string& job, std::size_t tasks);
  void NoteAnswer(const std::string& job, job_answer answer);
  /// A caller sends its cancellation, so that it needn't complete.
  void NoteCancelSent(const std::string& job);
  /// A process says that the job is completed.
  void NoteCompleted(const std::string& job);
  /// The job has a task that crashes the VMs that start it, so that it must be
  /// shown as failed instead.
  void NoteCrashing(const std::string& job);
  /// A process says that the job has failed.
  void NoteFailed(const std::string& job);
  /// No fault has come for a while: all processes are in touch.
  void NoteCalm() { is_calm_ = true; }
  /// A process says that there is no such job.
  void NoteMissing(const std::string& job);
  void NoteRun(const std::string& vm,
               fakes::vm_event event,
               const std::string& task,
               std::uint32_t run);
  /// The VM's life is over, and what ran there with it.
  void NoteVmEnd(const std::string& vm);

  /// Returns the accepted jobs that no process has shown as completed.
  std::set<std::string> OpenJobs() const;
  std::size_t accepted() const;
  std::size_t starts() const { return starts_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct job_note {
    std::size_t tasks = 0;
    job_answer answer = job_answer::kUnknown;
    bool is_crashing = false;
    bool is_completed = false;
    bool is_cancel_sent = false;
    bool has_started = false;
    std::set<std::string> done;
  };

  std::map<std::string, job_note> jobs_;
  /// VMs on which a task runs now.
  std::map<std::string, std::set<std::string>> running_;
  std::set<std::string> acknowledged_;
  /// Lives of VMs that ended under the task.
  std::map<std::string, int> crashes_;
  std::map<std::string, int> starts_in_calm_;
  bool is_calm_ = false;
  std::size_t starts_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_RUN_LEDGER_H_
