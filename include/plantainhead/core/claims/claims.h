#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIMS_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include "plantainhead/core/claims/claim_coordinator.h"
#include "plantainhead/core/claims/claim_decision.h"
#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/append_ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

class answer_store;
class claim_partition;

/// Time and size limits of `claims`. The window and the skew must be equal at
/// all entries.
struct claim_options {
  /// How long a key is remembered after it was claimed. Retries must come
  /// within this time. The log must retain the claim streams at least twice as
  /// long.
  duration window = std::chrono::minutes(10);
  /// Maximum difference between the clocks of two entries. A claim is kept that
  /// much longer than the window.
  duration clock_skew = std::chrono::minutes(1);
  /// A claim that is not decided after this time is rejected, and the log is
  /// considered unavailable.
  duration claim_timeout = std::chrono::seconds(2);
  /// The retry delay returned to callers if the log is unavailable or the key
  /// is in progress.
  duration retry_after = std::chrono::seconds(1);
  /// Minimum time between two appends to one stream. With `kClaimPartitions`
  /// streams the default keeps the claims below 300 appends per second.
  duration append_interval = std::chrono::milliseconds(60);
  /// Backoff after a failed append: starts at the first value and doubles up to
  /// the second.
  duration initial_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(1);
  /// Maximum number of records in one append.
  std::size_t append_records = 1000;
  /// Maximum number of claims in memory over all partitions. At the limit new
  /// claims are refused; evicting a claim early could let its key run twice.
  std::size_t max_claims = 250000;
  /// Maximum size in bytes of all stored answers, and of a single one.
  std::size_t max_stored_bytes = 8u << 20;
  std::size_t max_answer_bytes = 64u << 10;
};

/// Statistics of `claims` for metrics: counters since the start, then current
/// values.
struct claim_stats {
  std::uint64_t requested = 0;
  std::uint64_t granted = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t stored_answers = 0;
  std::uint64_t already_run = 0;
  std::uint64_t too_old = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t released = 0;
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  /// Number of times that records of the claim window could not be read.
  std::uint64_t unreadable_gaps = 0;
  /// Current values: claims in memory, bytes of stored answers, pending claims.
  std::size_t claims_held = 0;
  std::size_t answer_bytes = 0;
  std::size_t pending = 0;
  /// Partitions that this entry coordinates, and how many of them refuse
  /// claims.
  std::size_t coordinated_partitions = 0;
  std::size_t refusing = 0;
};

/// Ensures that a request that is not idempotent runs at most once for each
/// idempotency key.
///
/// The claims of a key are records on one stream of the log. A claim is granted
/// only by the entry that wrote it, after it has read the record back and found
/// no earlier active claim of that key. So only the order of the log decides;
/// it does not matter which entry coordinates a partition, which process was
/// paused and which append was repeated. docs/design/claims.md explains the
/// reasoning.
///
/// A key stays claimed for at least `claim_options::window` after its claim. A
/// grant is valid until the request's deadline; the user of this class must
/// limit the deadline of a request with a key to its arrival plus
/// `MaxRequestTimeout`, and check the deadline again right before dispatch. A
/// key that ends in a UUID of version 7 contains its own creation time and is
/// refused once it is older than the window; for other keys the callers must
/// stop their retries in time.
///
/// Each `Acquire` results in exactly one decision, from the call itself or a
/// later one. Thread safety: none; used only by the thread that runs
/// `entry_core`.
class claims {
 public:
  /// `ids` must outlive this object. Precondition: `self` is not `kNone`.
  claims(claim_options options, incarnation self, append_ids* ids);
  ~claims();
  claims(const claims&) = delete;
  claims& operator=(const claims&) = delete;

  /// Requests permission to dispatch `request`. Preconditions: `key` is not
  /// empty; each request is passed only once (a repeated call is ignored while
  /// the request is pending).
  void Acquire(const claim_key& key,
               request_id request,
               time_point deadline,
               time_point now,
               effects& out,
               std::vector<claim_decision>& decisions);

  /// Releases a granted claim, so that a retry may run. Precondition: the
  /// request was never dispatched and never will be. Ignored for a request that
  /// has completed or does not hold the key.
  void Release(const claim_key& key,
               request_id request,
               time_point now,
               effects& out);

  /// Stores the final answer of a granted request for retries, if it is not too
  /// large. Precondition: the result of the answer is not `kNotRun`; use
  /// `Release` in that case.
  void Complete(const claim_key& key,
                request_id request,
                const response& answer,
                time_point now);

  /// Starts and stops coordinating partitions after a change of the view.
  /// Pending claims are completed.
  void OnViewChanged(const fleet_state& state,
                     const std::set<incarnation>& excluded,
                     time_point now,
                     effects& out);

  /// Applies records that were read from a claim stream, and grants own claims
  /// that are first. Like the next two functions, it returns whether the event
  /// belongs to the claims.
  bool OnLogRead(const log_read& read,
                 time_point now,
                 effects& out,
                 std::vector<claim_decision>& decisions);

  /// Rejects the pending claims of a stream that cannot be read. Precondition:
  /// reading is retried without another `follow_stream`.
  bool OnLogUnavailable(const log_unavailable& failure,
                        time_point now,
                        effects& out,
                        std::vector<claim_decision>& decisions);

  /// Continues with queued records, or repeats an append that failed or whose
  /// outcome is unknown.
  bool OnAppendFinished(const append_finished& result,
                        time_point now,
                        effects& out);

  /// Rejects claims that have timed out, repeats appends and evicts old claims.
  void OnTick(time_point now,
              effects& out,
              std::vector<claim_decision>& decisions);

  /// Returns the maximum time from arrival to deadline for a request with a
  /// key: half of the window, so that a caller that received no answer by the
  /// deadline has the other half for retries.
  duration MaxRequestTimeout() const { return options_.window / 2; }

  /// Returns the statistics at `now`. Iterates over all partitions, which is
  /// cheap.
  claim_stats stats(time_point now) const;

 private:
  void Count(const std::vector<claim_decision>& decisions, std::size_t from);
  std::uint64_t& CounterOf(claim_verdict verdict);
  claim_partition& PartitionFor(const claim_key& key);
  claim_partition* FindStream(const stream_name& stream);

  const claim_options options_;
  const incarnation self_;
  claim_stats stats_;
  std::unique_ptr<answer_store> answers_;
  std::vector<std::unique_ptr<claim_partition>> partitions_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIMS_H_
