#ifndef PLANTAINHEAD_FAKES_TASK_MODEL_H_
#define PLANTAINHEAD_FAKES_TASK_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "change_feed.h"
#include "operation_answer.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::fakes {

/// How a job's tasks behave, whatever was declared.
struct job_behaviour {
  /// Never ends by itself without it.
  std::optional<core::duration> run_time;
  bool fails = false;
  std::uint32_t processors_used = 1;
  std::uint32_t memory_used_mb = 0;
};

/// Tasks under leases. Every method takes the time, which never goes back.
/// Thread safety: none.
class task_model {
 public:
  using view = change_feed<core::job_id, core::task_listing>::view;

  void SetBehaviour(const core::job_id& job, const job_behaviour& behaviour) {
    behaviours_[job] = behaviour;
  }

  /// Starts a task as `id` on a live VM. `vm_fails` tells that this VM fails
  /// every task.
  operation_answer Start(const core::operation_id& id,
                         const core::start_task& what,
                         const core::vm_listing& vm,
                         bool vm_fails,
                         core::time_point now);
  operation_answer Run(const core::renew_task& what, core::time_point now);
  operation_answer Run(const core::checkpoint_task& what, core::time_point now);
  operation_answer Run(const core::throttle_task& what, core::time_point now);
  operation_answer Run(const core::stop_task& what, core::time_point now);

  /// Ends a running task as `state`. False if there is none.
  bool EndTask(const core::job_id& job,
               core::task_state state,
               const std::string& detail,
               core::time_point now);
  /// Fails all that runs on a VM.
  void EndAllOn(const core::vm_id& vm,
                const std::string& detail,
                core::time_point now);

  /// What a list shows that lags behind by `lag`.
  view Read(std::uint64_t since, core::time_point now, core::duration lag);

 private:
  struct task {
    core::task_listing listing;
    core::start_task asked;
    core::time_point lease_until;
    bool vm_fails = false;
    // Work done before `since`; work goes on at `percent` of its speed.
    core::duration done{};
    core::time_point since;
    std::uint32_t percent = 100;

    bool IsRunning() const {
      return listing.state == core::task_state::kRunning;
    }
  };

  // What may end a task, and when.
  struct task_end {
    core::time_point at;
    core::task_state state = core::task_state::kLeaseExpired;
    const char* detail = "";
  };

  // Ends the tasks whose time had come by `now`.
  void Advance(core::time_point now);
  task_end NextEnd(const task& item) const;
  void End(task* item,
           core::task_state state,
           const std::string& detail,
           core::time_point at);
  void Publish(const task& item, core::time_point at);
  void SetUsage(task* item) const;
  static core::duration WorkDone(const task& item, core::time_point now);
  bool HasRoom(const core::start_task& asked, const core::vm_listing& vm) const;
  // Returns the job's task if it is on that VM.
  task* Find(const core::job_id& job, const core::vm_id& vm);
  // The same if it runs.
  task* FindRunning(const core::job_id& job, const core::vm_id& vm);
  job_behaviour BehaviourOf(const core::job_id& job) const;

  std::map<core::job_id, task> tasks_;
  std::map<core::job_id, job_behaviour> behaviours_;
  change_feed<core::job_id, core::task_listing> feed_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_TASK_MODEL_H_
