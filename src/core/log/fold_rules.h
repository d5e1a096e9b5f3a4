#ifndef PLANTAINHEAD_SRC_CORE_LOG_FOLD_RULES_H_
#define PLANTAINHEAD_SRC_CORE_LOG_FOLD_RULES_H_

#include <string>

#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/core/log/records.h"

/// Functions that apply one record to the fleet state, one for each kind of
/// record. `state.offset` is already the offset of the record.
namespace plantainhead::core::fold_rules {

inline fold_result Applied() {
  return {};
}
inline fold_result Conflict(std::string in_force) {
  return {fold_outcome::kConflict, std::move(in_force)};
}
inline fold_result Ignored(std::string why) {
  return {fold_outcome::kIgnored, std::move(why)};
}

/// Returns true if `epoch` is the epoch of the current planner.
bool IsPlanner(const fleet_state& state, lease_epoch epoch);

/// Returns the conflict for a record of a planner that is no longer the current
/// one.
fold_result StalePlanner(const fleet_state& state, lease_epoch epoch);

/// Returns the conflict for a record that expects a different generation of
/// `what`.
fold_result WrongGeneration(const std::string& what,
                            generation in_force,
                            generation expected,
                            const std::string& description,
                            const std::string& author);

// fold_members.cc
fold_result ApplyRecord(fleet_state& state, const join_entry& body);
fold_result ApplyRecord(fleet_state& state, const leave_entry& body);
fold_result ApplyRecord(fleet_state& state, const accuse_entry& body);
fold_result ApplyRecord(fleet_state& state, const withdraw_accusation& body);
fold_result ApplyRecord(fleet_state& state, const take_planner_lease& body);
fold_result ApplyRecord(fleet_state& state, const renew_planner_lease& body);

// fold_budget.cc
fold_result ApplyRecord(fleet_state& state, const count_requests& body);

// fold_vms.cc
fold_result ApplyRecord(fleet_state& state,
                        const assign_vm& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const set_vm_phase& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const forget_vm& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const set_quarantine& body,
                        const std::string& author);

// fold_work.cc
fold_result ApplyRecord(fleet_state& state,
                        const publish_configuration& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const start_wave& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const set_wave_state& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const submit_job& body,
                        const std::string& author);
fold_result ApplyRecord(fleet_state& state,
                        const set_job_state& body,
                        const std::string& author);

}  // namespace plantainhead::core::fold_rules

#endif  // PLANTAINHEAD_SRC_CORE_LOG_FOLD_RULES_H_
