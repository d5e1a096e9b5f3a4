#ifndef PLANTAINHEAD_FAKES_FLEET_MODEL_H_
#define PLANTAINHEAD_FAKES_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "change_feed.h"
#include "operation_answer.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/time.h"
#include "task_model.h"

namespace plantainhead::fakes {

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

/// VMs in racks and pools, and the operations on them and on their tasks.
/// Every method takes the time, which never goes back. Thread safety: none.
class fleet_model {
 public:
  using vm_view = change_feed<core::vm_id, core::vm_listing>::view;

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
  /// Without effect for a VM that isn't there.
  void SetBehaviour(const core::vm_id& vm, const vm_behaviour& behaviour);

  task_model& tasks() { return tasks_; }

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
  task_model::view ReadTasks(std::uint64_t since, core::time_point now) {
    return tasks_.Read(since, now, list_lag_);
  }

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

  struct known_operation {
    core::platform_operation what;
    operation_answer answer;
  };

  // Brings back the VMs whose reboot had ended by `now`.
  void Advance(core::time_point now);
  void Publish(const vm& item, core::time_point at);
  vm* FindVm(const core::vm_id& name);
  void Remember(const core::operation_id& id, known_operation known);

  operation_step Start(const core::operation_id& id,
                       const core::platform_operation& operation,
                       core::time_point now);
  operation_step StartDrain(const core::drain_vm& what);
  operation_step StartReboot(const core::reboot_vm& what, core::time_point now);
  operation_step Move(const core::move_vm& what, core::time_point now);
  operation_answer StartTask(const core::operation_id& id,
                             const core::start_task& what,
                             core::time_point now);
  operation_step Continue(const known_operation& known);

  core::duration list_lag_{};
  core::duration reboot_time_ = std::chrono::seconds(2);
  task_model tasks_;
  std::map<core::vm_id, vm> vms_;
  std::map<core::operation_id, known_operation> known_;
  std::deque<core::operation_id> known_order_;
  std::map<core::vm_id, std::uint64_t> reboots_;
  std::map<std::string, std::uint64_t> operations_;
  change_feed<core::vm_id, core::vm_listing> feed_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_FLEET_MODEL_H_
