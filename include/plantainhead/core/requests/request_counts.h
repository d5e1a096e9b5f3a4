#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "plantainhead/core/names.h"

namespace plantainhead::core {

/// What became of a request in terms of its class's target.
enum class slo_outcome {
  /// Answered whole and in time.
  kServed,
  /// Answered whole, but later than the class's `within`. It counts against the
  /// share that must be served, not against the unavailability.
  kLate,
  /// Not served because there was too much work.
  kOverload,
  /// The same, while maintenance kept VMs of its service from work.
  kMaintenance,
  /// An endpoint, an entry or the log was lost.
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

/// Numbers of requests by their fate. Thread safety: none.
struct request_counts {
  std::array<std::uint64_t, kSloOutcomeNames.size()> by_fate{};

  std::uint64_t& operator[](slo_outcome fate) {
    return by_fate[static_cast<std::size_t>(fate)];
  }
  std::uint64_t operator[](slo_outcome fate) const {
    return by_fate[static_cast<std::size_t>(fate)];
  }

  std::uint64_t Total() const {
    std::uint64_t total = 0;
    for (const std::uint64_t count : by_fate) {
      total += count;
    }
    return total;
  }
  /// Returns the requests that went unserved: they spend the budget of
  /// unavailability.
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
  /// Precondition: no count of `other` is greater than this one's.
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
