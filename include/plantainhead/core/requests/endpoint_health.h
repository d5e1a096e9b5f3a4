#ifndef PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_
#define PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Takes endpoints that keep failing out of use for a while.
/// Thread safety: none.
class endpoint_health {
 public:
  /// Failures in a row that eject an endpoint.
  static constexpr std::uint32_t kFailuresToEject = 5;
  /// The first ejection lasts this long, each further one twice as long.
  static constexpr duration kInitialEjection = std::chrono::seconds(1);
  static constexpr duration kMaxEjection = std::chrono::seconds(32);
  /// Never more than this share of a service's slots is ejected: when most
  /// endpoints fail, the fault isn't theirs, and ejecting them would put the
  /// whole load on the few that are left.
  static constexpr double kMaxEjectedShare = 1.0 / 3;

  /// An endpoint gave an answer that isn't an error of its own.
  void OnSuccess(const vm_id& vm);

  /// An endpoint failed or answered with an error of its own. `service_slots`
  /// are all slots of its service, `ejected_slots` those that any owner has
  /// ejected, `slots` its own. Returns true if it is ejected by this failure.
  bool OnFailure(const vm_id& vm,
                 time_point now,
                 std::uint32_t service_slots,
                 std::uint32_t ejected_slots,
                 std::uint32_t slots);

  /// The endpoint refused since its slots are taken; none is tried before
  /// `until`. This happens after a change of owners, when calls of the former
  /// owner are still running.
  void OnFull(const vm_id& vm, time_point until);

  bool IsFull(const vm_id& vm, time_point now) const;

  /// How many calls may be in flight at an endpoint with `slots`: 0 while
  /// ejected, 1 until it has answered again after that.
  std::uint32_t AllowedCalls(const vm_id& vm,
                             time_point now,
                             std::uint32_t slots) const;

 private:
  struct record {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until;
    time_point full_until;
    /// Ejected before and not yet proved well.
    bool is_probing = false;
  };

  std::unordered_map<vm_id, record> records_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_
