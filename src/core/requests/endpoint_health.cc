#include "plantainhead/core/requests/endpoint_health.h"

#include <algorithm>

namespace plantainhead::core {

void endpoint_health::OnSuccess(const vm_id& vm) {
  const auto found = records_.find(vm);
  if (found == records_.end()) {
    return;
  }
  record& known = found->second;
  known.failures = 0;
  if (known.on_trial) {
    known.on_trial = false;
    return;
  }
  // A second answer after the trial: the fault is over, and the next ejection
  // is a short one again.
  known.ejections = 0;
}

bool endpoint_health::OnFailure(const vm_id& vm,
                                time_point now,
                                std::uint32_t service_slots,
                                std::uint32_t lost_slots,
                                std::uint32_t slots) {
  record& known = records_[vm];
  known.failures += 1;
  const bool enough = known.on_trial || known.failures >= kFailuresToEject;
  if (!enough || now < known.ejected_until) {
    return false;
  }
  if (lost_slots + slots > service_slots * kMostEjected) {
    return false;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(known.ejections, 5);
  const duration length =
      std::min(kLongestEjection, kFirstEjection * (1 << doublings));
  known.ejected_until = now + length;
  known.ejections += 1;
  known.failures = 0;
  known.on_trial = true;
  return true;
}

void endpoint_health::OnFull(const vm_id& vm, time_point until) {
  records_[vm].full_until = until;
}

std::uint32_t endpoint_health::Allowed(const vm_id& vm,
                                       time_point now,
                                       std::uint32_t slots) const {
  if (records_.empty()) {
    return slots;
  }
  const auto found = records_.find(vm);
  if (found == records_.end()) {
    return slots;
  }
  const record& known = found->second;
  if (now < known.ejected_until) {
    return 0;
  }
  return known.on_trial ? std::min<std::uint32_t>(1, slots) : slots;
}

bool endpoint_health::IsFull(const vm_id& vm, time_point now) const {
  if (records_.empty()) {
    return false;
  }
  const auto found = records_.find(vm);
  return found != records_.end() && now < found->second.full_until;
}

}  // namespace plantainhead::core
