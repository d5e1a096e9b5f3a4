#include "task_model.h"

#include <algorithm>
#include <utility>

namespace plantainhead::fakes {
namespace {

using core::task_state;

// A task that is bound to fail runs this long.
constexpr core::duration kTimeToFail = std::chrono::milliseconds(100);
constexpr int kWholePercent = 100;
constexpr char kNotRunning[] = "no such task runs";

}  // namespace

operation_answer task_model::Start(const core::operation_id& id,
                                   const core::start_task& what,
                                   const core::vm_listing& vm,
                                   bool vm_fails,
                                   core::time_point now) {
  Advance(now);
  task& started = tasks_[what.job];
  const bool is_known = !started.listing.job.empty();
  if (is_known && started.IsRunning()) {
    return Refused("the job has a running task");
  }
  if (!HasRoom(what, vm)) {
    if (!is_known) {
      tasks_.erase(what.job);
    }
    return Refused("the VM has no room for the task");
  }
  const bool was_checkpointed =
      started.listing.state == task_state::kCheckpointed;
  const core::duration done =
      was_checkpointed ? started.done : core::duration::zero();
  started = task();
  started.asked = what;
  started.done = done;
  started.since = now;
  started.lease_until = now + what.lease;
  started.vm_fails = vm_fails;
  started.listing.job = what.job;
  started.listing.vm = what.vm;
  started.listing.started_by = id;
  SetUsage(&started);
  Publish(started, now);
  return Done();
}

operation_answer task_model::Run(const core::renew_task& what,
                                 core::time_point now) {
  Advance(now);
  task* item = FindRunning(what.job, what.vm);
  if (item == nullptr) {
    return Refused(kNotRunning);
  }
  item->lease_until = now + what.lease;
  return Done();
}

operation_answer task_model::Run(const core::checkpoint_task& what,
                                 core::time_point now) {
  Advance(now);
  const task* known = Find(what.job, what.vm);
  if (known != nullptr && known->listing.state == task_state::kCheckpointed) {
    return Done();
  }
  task* item = FindRunning(what.job, what.vm);
  if (item == nullptr) {
    return Refused(kNotRunning);
  }
  item->done = WorkDone(*item, now);
  End(item, task_state::kCheckpointed, "", now);
  return Done();
}

operation_answer task_model::Run(const core::throttle_task& what,
                                 core::time_point now) {
  Advance(now);
  task* item = FindRunning(what.job, what.vm);
  if (item == nullptr) {
    return Refused(kNotRunning);
  }
  if (what.percent == 0 || what.percent > kWholePercent) {
    return Refused("a percentage from 1 to 100 is needed");
  }
  item->done = WorkDone(*item, now);
  item->since = now;
  item->percent = what.percent;
  SetUsage(item);
  Publish(*item, now);
  return Done();
}

operation_answer task_model::Run(const core::stop_task& what,
                                 core::time_point now) {
  Advance(now);
  if (Find(what.job, what.vm) != nullptr) {
    tasks_.erase(what.job);
    feed_.Set(now, what.job, std::nullopt);
  }
  return Done();
}

bool task_model::EndTask(const core::job_id& job,
                         task_state state,
                         const std::string& detail,
                         core::time_point now) {
  Advance(now);
  const auto found = tasks_.find(job);
  if (found == tasks_.end() || !found->second.IsRunning()) {
    return false;
  }
  End(&found->second, state, detail, now);
  return true;
}

void task_model::EndAllOn(const core::vm_id& vm,
                          const std::string& detail,
                          core::time_point now) {
  Advance(now);
  for (auto& [job, item] : tasks_) {
    if (item.listing.vm == vm && item.IsRunning()) {
      End(&item, task_state::kFailed, detail, now);
    }
  }
}

task_model::view task_model::Read(std::uint64_t since,
                                  core::time_point now,
                                  core::duration lag) {
  Advance(now);
  return feed_.Read(since, now - lag);
}

void task_model::Advance(core::time_point now) {
  for (auto& [job, item] : tasks_) {
    if (!item.IsRunning()) {
      continue;
    }
    const task_end end = NextEnd(item);
    if (end.at <= now) {
      End(&item, end.state, end.detail, end.at);
    }
  }
}

task_model::task_end task_model::NextEnd(const task& item) const {
  task_end next{item.lease_until, task_state::kLeaseExpired,
                "the lease lapsed"};
  const job_behaviour behaviour = BehaviourOf(item.listing.job);
  if (item.vm_fails || behaviour.fails) {
    const core::time_point at = item.since + kTimeToFail;
    if (at < next.at) {
      next = {at, task_state::kFailed,
              item.vm_fails ? "the worker failed it" : "the job failed"};
    }
  } else if (behaviour.run_time.has_value()) {
    const core::duration left =
        std::max(*behaviour.run_time - item.done, core::duration::zero());
    const core::time_point at =
        item.since + left * kWholePercent / item.percent;
    if (at < next.at) {
      next = {at, task_state::kFinished, ""};
    }
  }
  return next;
}

void task_model::End(task* item,
                     task_state state,
                     const std::string& detail,
                     core::time_point at) {
  item->listing.state = state;
  item->listing.detail = detail;
  item->listing.processors_used = 0;
  item->listing.memory_used_mb = 0;
  Publish(*item, at);
}

void task_model::Publish(const task& item, core::time_point at) {
  feed_.Set(at, item.listing.job, item.listing);
}

void task_model::SetUsage(task* item) const {
  const job_behaviour behaviour = BehaviourOf(item->listing.job);
  item->listing.processors_used =
      behaviour.processors_used * item->percent / kWholePercent;
  item->listing.memory_used_mb = behaviour.memory_used_mb;
}

core::duration task_model::WorkDone(const task& item, core::time_point now) {
  return item.done + (now - item.since) * item.percent / kWholePercent;
}

bool task_model::HasRoom(const core::start_task& asked,
                         const core::vm_listing& vm) const {
  std::uint64_t processors = asked.processors;
  std::uint64_t memory_mb = asked.memory_mb;
  std::uint64_t accelerators = asked.accelerators;
  for (const auto& [job, item] : tasks_) {
    if (item.listing.vm == vm.vm && item.IsRunning()) {
      processors += item.asked.processors;
      memory_mb += item.asked.memory_mb;
      accelerators += item.asked.accelerators;
    }
  }
  return processors <= vm.processors && memory_mb <= vm.memory_mb &&
         accelerators <= vm.accelerators;
}

task_model::task* task_model::Find(const core::job_id& job,
                                   const core::vm_id& vm) {
  const auto found = tasks_.find(job);
  const bool is_there = found != tasks_.end() && found->second.listing.vm == vm;
  return is_there ? &found->second : nullptr;
}

task_model::task* task_model::FindRunning(const core::job_id& job,
                                          const core::vm_id& vm) {
  task* item = Find(job, vm);
  return item != nullptr && item->IsRunning() ? item : nullptr;
}

job_behaviour task_model::BehaviourOf(const core::job_id& job) const {
  const auto found = behaviours_.find(job);
  return found == behaviours_.end() ? job_behaviour() : found->second;
}

}  // namespace plantainhead::fakes
