#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "plantainhead/core/names.h"

namespace plantainhead::core {

/// The outcome of a request with respect to the service level objective (SLO)
/// of its class.
enum class slo_outcome {
  /// Answered completely and in time.
  kServed,
  /// Answered completely, but later than the class's `within`. It counts
  /// against the share that must be served in time, not against the
  /// unavailability.
  kLate,
  /// Not served because of overload.
  kOverload,
  /// Not served because of overload while maintenance kept VMs of the service
  /// out of use.
  kMaintenance,
  /// Not served because an endpoint, an entry or the log failed.
  kFailure,
};

inline constexpr name_table<slo_outcome, 5> kSloOutcomeNames = {{
    {slo_outcome::kServed, "served"},
    {slo_outcome::kLate, "late"},
    {slo_outcome::kOverload, "overload"},
    {slo_outcome::kMaintenance, "maintenance"},
    {slo_outcome::kFailure, "failure"},
}};
inline constexpr const auto& NamesOf(slo_outcome) {
  return kSloOutcomeNames;
}

/// Number of requests for each SLO outcome. Thread safety: none.
struct request_counts {
  std::array<std::uint64_t, kSloOutcomeNames.size()> by_fate{};

  std::uint64_t& operator[](slo_outcome outcome_kind) {
    return by_fate[static_cast<std::size_t>(outcome_kind)];
  }
  std::uint64_t operator[](slo_outcome outcome_kind) const {
    return by_fate[static_cast<std::size_t>(outcome_kind)];
  }

  std::uint64_t Total() const {
    std::uint64_t total = 0;
    for (const std::uint64_t count : by_fate) {
      total += count;
    }
    return total;
  }
  /// Returns the number of requests that were not served; they consume the
  /// unavailability budget.
  std::uint64_t Unserved() const {
    return Total() - (*this)[slo_outcome::kServed] -
           (*this)[slo_outcome::kLate];
  }

  request_counts& operator+=(const request_counts& other) {
    for (std::size_t i = 0; i < by_fate.size(); ++i) {
      by_fate[i] += other.by_fate[i];
    }
    return *this;
  }
  /// Precondition: no count of `other` is greater than the corresponding one
  /// here.
  request_counts& operator-=(const request_counts& other) {
    for (std::size_t i = 0; i < by_fate.size(); ++i) {
      by_fate[i] -= other.by_fate[i];
    }
    return *this;
  }

  friend bool operator==(const request_counts&,
                         const request_counts&) = default;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_
