#ifndef PLANTAINHEAD_FAKES_FLEET_MODEL_H_
#define PLANTAINHEAD_FAKES_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "change_feed.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::fakes {

/// How far an operation has come.
enum class operation_progress { kDone, kRunning, kRefused };

inline constexpr core::name_table<operation_progress, 3>
    kOperationProgressNames = {{
        {operation_progress::kDone, "done"},
        {operation_progress::kRunning, "running"},
        {operation_progress::kRefused, "refused"},
    }};
inline constexpr const auto& NamesOf(operation_progress) {
  return kOperationProgressNames;
}

struct operation_answer {
  operation_progress progress = operation_progress::kDone;
  std::string detail;
  /// Requests that a draining VM still runs.
  std::optional<std::uint32_t> in_flight;
};

/// A call that the platform makes to a VM's runner.
struct runner_call {
  std::string host;
  std::uint16_t port = 0;
  std::string path;
  /// True when the operation waits for the answer (`FinishDrain`).
  bool is_drain = false;
};

struct operation_step {
  operation_answer answer;
  std::optional<runner_call> call;
};

/// How a VM behaves, for faults.
struct vm_behaviour {
  /// Every task that is started here fails.
  bool fails_tasks = false;
  /// Length of its reboots.
  std::optional<core::duration> reboot_time;
};

/// How a job's tasks behave, whatever was declared.
struct job_behaviour {
  /// Never ends by itself without it.
  std::optional<core::duration> run_time;
  bool fails = false;
  std::uint32_t processors_used = 1;
  std::uint32_t memory_used_mb = 0;
};

/// VMs in racks and pools, tasks under leases, and the operations on them.
/// Every method takes the time, which never goes back. Thread safety: none.
class fleet_model {
 public:
  using vm_view = change_feed<core::vm_id, core::vm_listing>::view;
  using task_view = change_feed<core::job_id, core::task_listing>::view;

  void set_list_lag(core::duration lag) { list_lag_ = lag; }
  core::duration list_lag() const { return list_lag_; }
  void set_reboot_time(core::duration time) { reboot_time_ = time; }
  core::duration reboot_time() const { return reboot_time_; }

  /// Adds a VM or replaces what is known of it.
  void Register(const core::vm_listing& vm, core::time_point now);
  /// Returns false for a VM that isn't there.
  bool SetState(const core::vm_id& vm,
                core::vm_listing_state state,
                core::time_point now);
  /// Takes a VM away for good; its tasks are lost. False if it isn't there.
  bool Remove(const core::vm_id& vm, core::time_point now);
  /// Ends a running task as `state`. False if there is none.
  bool EndTask(const core::job_id& job,
               core::task_state state,
               const std::string& detail,
               core::time_point now);

  void SetBehaviour(const core::vm_id& vm, const vm_behaviour& behaviour);
  void SetBehaviour(const core::job_id& job, const job_behaviour& behaviour);

  /// Starts the operation, or tells how far it is when `id` was seen before.
  /// `answer` holds unless `call` is a drain, whose answer `FinishDrain` gives.
  operation_step Run(const core::operation_id& id,
                     const core::platform_operation& operation,
                     core::time_point now);

  /// Takes the runner's count of requests in flight: nothing when it could not
  /// be asked.
  operation_answer FinishDrain(const core::operation_id& id,
                               std::optional<std::uint32_t> in_flight);

  /// What the lagging lists show.
  vm_view ReadVms(std::uint64_t since, core::time_point now);
  task_view ReadTasks(std::uint64_t since, core::time_point now);

  const std::map<core::vm_id, std::uint64_t>& reboots() const {
    return reboots_;
  }
  const std::map<std::string, std::uint64_t>& operations() const {
    return operations_;
  }

 private:
  struct vm {
    core::vm_listing listing;
    vm_behaviour behaviour;
    std::optional<core::time_point> live_again;
  };

  struct task {
    core::task_listing listing;
    core::start_task asked;
    core::time_point lease_until;
    // Work done before `since`; work goes on at `percent` of its speed.
    core::duration done{};
    core::time_point since;
    std::uint32_t percent = 100;
  };

  struct known_operation {
    core::platform_operation what;
    operation_answer answer;
  };

  // What may end a task, and when.
  struct task_end {
    core::time_point at;
    core::task_state state = core::task_state::kLapsed;
    const char* detail = "";
  };

  // Lets happen what was due by `now`.
  void Advance(core::time_point now);
  task_end NextEnd(const task& item) const;
  void End(task* item,
           core::task_state state,
           const std::string& detail,
           core::time_point at);
  void EndAllOn(const core::vm_id& vm,
                const std::string& detail,
                core::time_point at);
  void Publish(const vm& item, core::time_point at);
  void Publish(const task& item, core::time_point at);
  void SetUsage(task* item) const;
  static core::duration WorkDone(const task& item, core::time_point now);
  bool HasRoom(const core::start_task& asked) const;

  vm* FindVm(const core::vm_id& name);
  task* FindTask(const core::job_id& job, const core::vm_id& vm);
  job_behaviour BehaviourOf(const core::job_id& job) const;
  void Remember(const core::operation_id& id, known_operation known);

  operation_step Start(const core::operation_id& id,
                       const core::drain_vm& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::reboot_vm& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::move_vm& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::start_task& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::renew_task& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::checkpoint_task& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::throttle_task& what,
                       core::time_point now);
  operation_step Start(const core::operation_id& id,
                       const core::stop_task& what,
                       core::time_point now);
  operation_step Continue(const known_operation& known);

  core::duration list_lag_{};
  core::duration reboot_time_ = std::chrono::seconds(2);
  std::map<core::vm_id, vm> vms_;
  std::map<core::job_id, task> tasks_;
  std::map<core::job_id, job_behaviour> behaviours_;
  std::map<core::operation_id, known_operation> known_;
  std::deque<core::operation_id> known_order_;
  std::map<core::vm_id, std::uint64_t> reboots_;
  std::map<std::string, std::uint64_t> operations_;
  change_feed<core::vm_id, core::vm_listing> vm_feed_;
  change_feed<core::job_id, core::task_listing> task_feed_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_FLEET_MODEL_H_
