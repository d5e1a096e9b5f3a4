#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "plantainhead/core/names.h"

namespace plantainhead::core {

/// What became of a request in terms of its class's target.
enum class request_fate {
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

inline constexpr name_table<request_fate, 5> kRequestFateNames = {{
    {request_fate::kServed, "served"},
    {request_fate::kLate, "late"},
    {request_fate::kOverload, "overload"},
    {request_fate::kMaintenance, "maintenance"},
    {request_fate::kFailure, "failure"},
}};
inline constexpr const auto& NamesOf(request_fate) {
  return kRequestFateNames;
}

/// Numbers of requests by their fate. Thread safety: none.
struct request_counts {
  std::array<std::uint64_t, kRequestFateNames.size()> by_fate{};

  std::uint64_t& operator[](request_fate fate) {
    return by_fate[static_cast<std::size_t>(fate)];
  }
  std::uint64_t operator[](request_fate fate) const {
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
    return Total() - (*this)[request_fate::kServed] -
           (*this)[request_fate::kLate];
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
