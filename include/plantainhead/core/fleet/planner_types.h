#ifndef PLANTAINHEAD_CORE_FLEET_PLANNER_TYPES_H_
#define PLANTAINHEAD_CORE_FLEET_PLANNER_TYPES_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/time.h"

/// Inputs and options of the planner.
namespace plantainhead::core {

/// Demand on one service, as measured by the entries.
struct service_demand {
  double arrivals_per_second = 0;
  /// Mean time that a request occupies a slot.
  duration mean_service_time{};
};

/// Consumption of the error budget of a class.
struct class_burn {
  /// Spent share of the budget of the class's window; 0 if nothing is spent.
  double spent = 0;
  /// Burn rate: how many times faster than its window allows the budget is
  /// being spent.
  double rate = 0;
};

/// Inputs of the planner at one point in time.
struct planner_inputs {
  /// All three arguments must outlive this object.
  planner_inputs(const fleet_state& fleet,
                 const std::vector<vm_listing>& listed_vms,
                 const std::vector<task_listing>& listed_tasks)
      : state(fleet), vms(listed_vms), tasks(listed_tasks) {}

  const fleet_state& state;
  /// True while this entry can rely on holding the planner lease.
  bool holds_lease = false;
  /// The epoch of the planner lease that this entry holds.
  lease_epoch epoch = 0;
  /// The latest list of VMs that was read from the platform.
  const std::vector<vm_listing>& vms;
  const std::vector<task_listing>& tasks;
  /// When the list was read; 1970-01-01 if it was never read.
  time_point listed_at;
  /// The lowest offset that the latest heartbeats of all live members,
  /// including this entry, report as applied.
  log_offset reported_offset = 0;
  /// For each VM, the sum of its requests in flight in the same heartbeats. A
  /// VM that is not in the map has none.
  std::map<vm_id, std::uint32_t> in_flight;
  /// Demand by service; services with unknown demand are absent.
  std::map<service_name, service_demand> demand;
  std::map<class_name, class_burn> budgets;
  /// VMs whose endpoint is ejected or fails its health check.
  std::set<vm_id> unhealthy;
};

/// Time limits and thresholds of the planner. The defaults are suitable for
/// both current deployments.
struct planner_options {
  /// Time between two plans. Short compared with the 2.1 s within which urgent
  /// jobs must start.
  duration plan_interval = std::chrono::milliseconds(200);
  /// Time between two plans of the pools, which change more slowly.
  duration pool_interval = std::chrono::seconds(1);
  /// A record that has not been read back after this time is appended again.
  duration record_timeout = std::chrono::seconds(5);
  /// An operation without a result after this time is sent again under the same
  /// id.
  duration operation_resend_after = std::chrono::seconds(30);
  /// Delay before an operation whose result is unknown is sent again.
  duration operation_retry_delay = std::chrono::seconds(1);
  /// The planner does not act on a list that is older than this.
  duration max_list_age = std::chrono::seconds(15);
  /// Maximum delay with which the list reflects the actual state.
  duration list_lag = std::chrono::seconds(5);
  /// A VM that has been missing from the list for this time is removed from the
  /// fleet.
  duration forget_after = std::chrono::seconds(60);

  /// Time constants with which the estimated load follows a rise and a fall.
  duration demand_rise = std::chrono::seconds(10);
  duration demand_fall = std::chrono::minutes(2);
  /// How long a pool must lack VMs for its demand, or spare VMs, and how long
  /// another pool must have a surplus, before a VM is moved.
  duration demand_shortage_delay = std::chrono::seconds(5);
  duration spare_shortage_delay = std::chrono::minutes(1);
  duration surplus_delay = std::chrono::minutes(5);
  /// Minimum time that a VM stays in a pool before it is moved again, unless
  /// the demand of another pool cannot be served without it.
  duration min_dwell_time = std::chrono::minutes(10);
  /// Half-life of the recorded peak size of a pool. Pools at or below their
  /// peak are chosen as donors last, because they are likely to need their VMs
  /// again.
  duration peak_half_life = std::chrono::hours(48);
  /// How long a zone that has lost all its VMs is treated as an outage and not
  /// as removed.
  duration outage_retention = std::chrono::hours(6);

  /// Time for request owners to stop sending requests to a draining VM.
  duration drain_notice = std::chrono::seconds(2);
  /// The longest deadline that a caller may request. Requests of a lost entry
  /// have ended after this time.
  duration max_deadline = std::chrono::seconds(60);
  /// A VM that has not drained after this time returns to service and is
  /// reported.
  duration drain_timeout = std::chrono::minutes(15);
  /// A VM that has not returned after this time is reported as lost.
  duration return_timeout = std::chrono::minutes(15);
  /// Delay before a VM that did not drain in time is drained again.
  duration drain_retry_delay = std::chrono::minutes(30);
  /// Waves pause when the burn rate of a budget exceeds `pause_burn_rate`. They
  /// resume once it has stayed at or below `resume_burn_rate` for
  /// `resume_after`.
  double pause_burn_rate = 2.0;
  double resume_burn_rate = 1.0;
  duration resume_after = std::chrono::seconds(30);
  /// Lease of a task, renewed at a third of this time. A longer lease needs
  /// fewer messages but delays the restart of a lost job.
  duration task_lease = std::chrono::minutes(2);
  /// Added to a lease before its task is considered ended: a renewal may still
  /// be in transit, and clocks differ.
  duration lease_margin = std::chrono::seconds(15);
  /// Time for which a job is not offered again to a worker that refused it.
  duration refusal_backoff = std::chrono::minutes(1);
  /// A worker is quarantined once its last tasks, of `quarantine_failures`
  /// different jobs, have all failed. At most `max_quarantine_share` of all VMs
  /// are quarantined at once.
  std::size_t quarantine_failures = 3;
  double max_quarantine_share = 0.1;
  duration quarantine_duration = std::chrono::hours(1);
  /// A job is parked once it has failed on `park_failures` different workers,
  /// was started `park_starts` times without an end, or no worker was large
  /// enough for it for `unplaceable_delay`.
  std::size_t park_failures = 3;
  std::uint32_t park_starts = 10;
  duration unplaceable_delay = std::chrono::seconds(30);

  /// Assumed duration of one reboot, used to compute its cost to an error
  /// budget.
  duration expected_reboot_time = std::chrono::minutes(5);
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_PLANNER_TYPES_H_
