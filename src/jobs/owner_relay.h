#ifndef PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_
#define PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "jobs/caller_request.h"
#include "peers/owner_client.h"
#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::jobs {

struct relay_counts {
  /// Passed on to an owner, and of those the ones that it didn't answer.
  std::uint64_t passed_on = 0;
  std::uint64_t owner_failures = 0;
};

/// Tells which pools this process owns, and passes callers' requests on to the
/// owners of the others.
/// Not thread-safe.
class owner_relay {
 public:
  struct dependencies {
    /// Outlives the object.
    peers::owner_client* owners = nullptr;
    /// The epoch under which this process schedules the pools of a partition; 0
    /// when it doesn't.
    std::function<std::uint64_t(std::uint32_t pool_partition)> epoch_of;
    /// Whether that surely hasn't passed on to another process.
    std::function<bool()> is_sure;
  };
  /// `may_land`: the owner may have done what was asked for, or may yet.
  using unsettled_handler = std::function<void(bool may_land)>;

  /// Of the time that a request has left, an owner gets `owner_share` to answer
  /// it. Precondition: `owner_share` is from 0 to 1.
  owner_relay(const dependencies& dependencies, double owner_share);
  owner_relay(const owner_relay&) = delete;
  owner_relay& operator=(const owner_relay&) = delete;
  /// Requests that are under way end without their handlers being called.
  ~owner_relay();

  /// Returns whether this process schedules the pool, as far as it knows.
  bool Schedules(const core::jobs::pool_id& pool) const;
  /// Returns whether it does, and surely no other process.
  bool Owns(const core::jobs::pool_id& pool) const;

  /// Passes the request on to the pool's owner. Responds with the owner's
  /// answer if that settles the request. Otherwise calls `otherwise` once: at
  /// once when there is nobody to ask.
  void Ask(const caller_request& asked,
           const core::jobs::pool_id& pool,
           const unsettled_handler& otherwise);

  /// The reference is valid as long as the object.
  const relay_counts& counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_
