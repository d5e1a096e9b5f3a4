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

/// What the planner is given and how it is tuned.
namespace plantainhead::core {

/// How much of one service callers ask for, as the entries measured it.
struct service_demand {
  double arrivals_per_second = 0;
  /// Time that one request holds a slot.
  duration mean_service_time{};
};

/// How a class stands against its availability budget.
struct class_burn {
  /// Share of the budget of the window that is spent, from 0.
  double spent = 0;
  /// How many times faster than the window allows the budget is being spent.
  double rate = 0;
};

/// All that the planner sees at one moment.
struct planner_inputs {
  /// All three must outlive the inputs.
  planner_inputs(const fleet_state& fleet,
                 const std::vector<vm_listing>& listed_vms,
                 const std::vector<task_listing>& listed_tasks)
      : state(fleet), vms(listed_vms), tasks(listed_tasks) {}

  const fleet_state& state;
  /// True while this entry may count on holding the planner lease.
  bool holds_lease = false;
  /// The epoch under which this entry holds it.
  lease_epoch epoch = 0;
  /// The newest list of the platform.
  const std::vector<vm_listing>& vms;
  const std::vector<task_listing>& tasks;
  /// When the list was read; 1970-01-01 when it never was.
  time_point listed_at;
  /// The least offset that the newest heartbeats of all live members, this
  /// entry among them, say to have applied.
  log_offset reported_offset = 0;
  /// For each VM the sum of the requests in flight in those same heartbeats. A
  /// VM that is missing has none.
  std::map<vm_id, std::uint32_t> in_flight;
  /// Empty for services of which nothing is known.
  std::map<service_name, service_demand> demand;
  std::map<class_name, class_burn> budgets;
  /// VMs whose endpoint is ejected or fails its health check.
  std::set<vm_id> unhealthy;
};

/// How the planner acts; the defaults fit both users.
struct planner_options {
  /// Time between two plans. Small against the 2.1 s in which urgent work
  /// starts.
  duration plan_interval = std::chrono::milliseconds(200);
  /// Time between two plans of the pools, which change more slowly.
  duration pool_interval = std::chrono::seconds(1);
  /// A record that has not been read back after this is appended again.
  duration record_timeout = std::chrono::seconds(5);
  /// An operation that has not ended after this is sent again under its id.
  duration operation_resend_after = std::chrono::seconds(30);
  /// Wait before an operation whose end is unknown is sent again.
  duration operation_retry_delay = std::chrono::seconds(1);
  /// A list older than this is not acted upon.
  duration max_list_age = std::chrono::seconds(15);
  /// How far the list may lag behind what happens.
  duration list_lag = std::chrono::seconds(5);
  /// A VM that has been off the list for this long is forgotten.
  duration forget_after = std::chrono::seconds(60);

  /// Time constants with which a learned load follows a rise and a fall.
  duration demand_rise = std::chrono::seconds(10);
  duration demand_fall = std::chrono::minutes(2);
  /// How long a pool must lack VMs for its demand, or for its spare, and how
  /// long another must have too many, before one is moved.
  duration demand_shortage_delay = std::chrono::seconds(5);
  duration spare_shortage_delay = std::chrono::minutes(1);
  duration surplus_delay = std::chrono::minutes(5);
  /// Time that a VM stays in a pool before it moves again, unless the demand of
  /// another pool can't be served without it.
  duration min_dwell_time = std::chrono::minutes(10);
  /// Time in which the remembered peak of a pool loses half. Pools at or below
  /// their peak give VMs away last: they will want them back.
  duration peak_half_life = std::chrono::hours(48);
  /// How long a zone that lost all its VMs counts as out and not as gone.
  duration outage_retention = std::chrono::hours(6);

  /// Time that owners are given to stop sending to a draining VM.
  duration drain_notice = std::chrono::seconds(2);
  /// The greatest patience that a caller may ask for; requests of an entry that
  /// has gone have ended after it.
  duration max_deadline = std::chrono::seconds(60);
  /// A VM that has not drained after this goes back to serving and is reported.
  duration drain_timeout = std::chrono::minutes(15);
  /// A VM that has not come back after this is reported as lost.
  duration return_timeout = std::chrono::minutes(15);
  /// Wait before a VM that didn't drain is tried again.
  duration drain_retry_delay = std::chrono::minutes(30);
  /// A budget that burns this many times too fast pauses waves; at or below the
  /// second rate, kept for `resume_after`, they resume.
  double pause_burn_rate = 2.0;
  double resume_burn_rate = 1.0;
  duration resume_after = std::chrono::seconds(30);
  /// Lease under which tasks run; renewed at a third of it. Longer leases cost
  /// fewer messages and make the restart of a lost job later.
  duration task_lease = std::chrono::minutes(2);
  /// Added to a lease before its task is taken for ended: a renewal may still
  /// be on its way, and clocks differ.
  duration lease_margin = std::chrono::seconds(15);
  /// A job isn't offered again for this long to a worker that refused it.
  duration refusal_backoff = std::chrono::minutes(1);
  /// A worker is quarantined once its last tasks, of this many different jobs,
  /// have all failed; never more than this share of all VMs at once.
  std::size_t quarantine_failures = 3;
  double max_quarantine_share = 0.1;
  duration quarantine_duration = std::chrono::hours(1);
  /// A job is parked once it failed on this many different workers, or was
  /// started this often without an end, or no worker could hold it for this
  /// long.
  std::size_t park_failures = 3;
  std::uint32_t park_starts = 10;
  duration unplaceable_delay = std::chrono::seconds(30);

  /// What one reboot is taken to last, for what it costs of a budget.
  duration expected_reboot_time = std::chrono::minutes(5);
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_PLANNER_TYPES_H_
