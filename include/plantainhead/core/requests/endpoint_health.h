#ifndef PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_
#define PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Detects outliers: ejects endpoints that fail repeatedly, with an
/// exponentially growing ejection time. Thread safety: none.
class endpoint_health {
 public:
  /// Number of consecutive failures that ejects an endpoint.
  static constexpr std::uint32_t kFailuresToEject = 5;
  /// Duration of the first ejection; each further one lasts twice as long.
  static constexpr duration kInitialEjection = std::chrono::seconds(1);
  static constexpr duration kMaxEjection = std::chrono::seconds(32);
  /// Maximum share of a service's slots that may be ejected at once. If most
  /// endpoints fail, the cause is probably not the endpoints, and ejecting them
  /// would put the whole load on the remaining few.
  static constexpr double kMaxEjectedShare = 1.0 / 3;

  /// Records an answer that is not an error of the endpoint itself.
  void OnSuccess(const vm_id& vm);

  /// Records a failure, or an answer that is an error of the endpoint itself.
  /// `service_slots` is the number of all slots of the service, `ejected_slots`
  /// the number that any owner has ejected, `slots` the number at this
  /// endpoint. Returns true if this failure ejects the endpoint.
  bool OnFailure(const vm_id& vm,
                 time_point now,
                 std::uint32_t service_slots,
                 std::uint32_t ejected_slots,
                 std::uint32_t slots);

  /// Records that the endpoint refused a call because all of its slots are in
  /// use; no call is sent to it before `until`. This happens after a change of
  /// owners, while calls of the previous owner are still running.
  void OnFull(const vm_id& vm, time_point until);

  bool IsFull(const vm_id& vm, time_point now) const;

  /// Returns how many calls may be in flight at an endpoint with `slots` slots:
  /// 0 while it is ejected, then 1 until a call has succeeded.
  std::uint32_t AllowedCalls(const vm_id& vm,
                             time_point now,
                             std::uint32_t slots) const;

 private:
  struct record {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until;
    time_point full_until;
    /// Set from an ejection until a call succeeds; only one call at a time is
    /// allowed meanwhile.
    bool is_probing = false;
  };

  std::unordered_map<vm_id, record> records_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_HEALTH_H_
