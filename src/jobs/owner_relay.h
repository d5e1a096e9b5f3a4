#ifndef PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_
#define PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "jobs/caller_request.h"
#include "peers/owner_client.h"
#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::jobs {

/// Counts of forwarded requests.
struct relay_counts {
  std::uint64_t forwarded = 0;
  /// Forwarded requests that the owner did not answer.
  std::uint64_t owner_failures = 0;
};

/// Forwards callers' requests to the processes that own the pools, and reports
/// which pools this process owns. Not thread-safe.
class owner_relay {
 public:
  struct dependencies {
    /// Must outlive the object.
    peers::owner_client* owners = nullptr;
    /// Returns the epoch under which this process schedules the pools of a
    /// partition; 0 if it does not.
    std::function<std::uint64_t(std::uint32_t pool_partition)> epoch_of;
    /// Returns true if no other process can have become the owner in the
    /// meantime.
    std::function<bool()> is_ownership_confirmed;
  };
  /// `may_be_appended`: the owner may have executed the request, or may still
  /// do so.
  using fallback_handler = std::function<void(bool may_be_appended)>;

  /// `owner_time_share`: the fraction of a request's remaining time that an
  /// owner gets to answer it. Precondition: it is from 0 to 1.
  owner_relay(const dependencies& dependencies, double owner_time_share);
  owner_relay(const owner_relay&) = delete;
  owner_relay& operator=(const owner_relay&) = delete;
  /// The handlers of requests in progress are not called.
  ~owner_relay();

  /// Returns whether this process schedules the pool, to its knowledge.
  bool Schedules(const core::jobs::pool_id& pool) const;
  /// Returns whether this process schedules the pool, and it is certain that no
  /// other process does.
  bool Owns(const core::jobs::pool_id& pool) const;

  /// Forwards the request to the owner of the pool, and responds with the
  /// owner's answer if that is conclusive. Otherwise calls `fallback` once;
  /// during this call if there is no owner to forward to.
  void Forward(const caller_request& incoming,
               const core::jobs::pool_id& pool,
               const fallback_handler& fallback);

  /// The reference is valid as long as the object.
  const relay_counts& counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_OWNER_RELAY_H_
