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
  if (known.is_probing) {
    known.is_probing = false;
    return;
  }
  // A second success after the ejection: the endpoint has recovered, so the
  // next ejection is short again.
  known.ejections = 0;
}

bool endpoint_health::OnFailure(const vm_id& vm,
                                time_point now,
                                std::uint32_t service_slots,
                                std::uint32_t ejected_slots,
                                std::uint32_t slots) {
  record& known = records_[vm];
  known.failures += 1;
  const bool enough = known.is_probing || known.failures >= kFailuresToEject;
  if (!enough || now < known.ejected_until) {
    return false;
  }
  if (ejected_slots + slots > service_slots * kMaxEjectedShare) {
    return false;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(known.ejections, 5);
  const duration length =
      std::min(kMaxEjection, kInitialEjection * (1 << doublings));
  known.ejected_until = now + length;
  known.ejections += 1;
  known.failures = 0;
  known.is_probing = true;
  return true;
}

void endpoint_health::OnFull(const vm_id& vm, time_point until) {
  records_[vm].full_until = until;
}

std::uint32_t endpoint_health::AllowedCalls(const vm_id& vm,
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
  return known.is_probing ? std::min<std::uint32_t>(1, slots) : slots;
}

bool endpoint_health::IsFull(const vm_id& vm, time_point now) const {
  if (records_.empty()) {
    return false;
  }
  const auto found = records_.find(vm);
  return found != records_.end() && now < found->second.full_until;
}

}  // namespace plantainhead::core
