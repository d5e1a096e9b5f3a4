#ifndef PLANTAINHEAD_CORE_REQUESTS_CALL_COUNTS_H_
#define PLANTAINHEAD_CORE_REQUESTS_CALL_COUNTS_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/requests/endpoint_table.h"

namespace plantainhead::core {

/// Counts the calls in flight at each endpoint. For the endpoints that this
/// entry owns it caches pointers to the counters: a lookup by VM name took most
/// of the time of a routing decision, and the cost grew with the number of
/// owned endpoints. Thread safety: none, also for the const methods.
class call_counts {
 public:
  void Add(const vm_id& vm) { counts_[vm] += 1; }

  /// Precondition: a call to `vm` was added and has not been removed.
  void Remove(const vm_id& vm) { counts_.at(vm) -= 1; }

  std::uint32_t CountOf(const vm_id& vm) const;

  /// Returns pointers to the counters of `routes.owned`, in that order. They
  /// are valid until the next `RemoveUnused`.
  const std::vector<const std::uint32_t*>& OwnedCounts(
      const service_routes& routes) const;

  /// Returns the VMs with calls in flight, ordered by name.
  std::vector<vm_in_flight> NonZeroCounts() const;

  /// Removes the counters of VMs without calls. Call it after the endpoint
  /// table was rebuilt.
  void RemoveUnused();

 private:
  struct owned_counters {
    std::uint64_t version = 0;
    std::vector<const std::uint32_t*> counters;
  };

  /// Both are mutable since the const methods insert missing entries.
  mutable std::unordered_map<vm_id, std::uint32_t> counts_;
  mutable std::unordered_map<service_name, owned_counters> owned_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_CALL_COUNTS_H_
