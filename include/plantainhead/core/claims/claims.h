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

/// Limits of the claims. The window and the skew must be equal at all entries.
struct claim_options {
  /// How long a key is remembered after it was claimed. Retries must come
  /// within it. The log must keep the claim streams at least twice as long.
  duration window = std::chrono::minutes(10);
  /// The most that the clocks of two entries may differ. A claim is kept that
  /// much longer than the window.
  duration clock_skew = std::chrono::minutes(1);
  /// A claim that isn't settled after this time is given up: the log is taken
  /// for unavailable.
  duration claim_timeout = std::chrono::seconds(2);
  /// What callers are told when the log is unavailable or the key in progress.
  duration retry_after = std::chrono::seconds(1);
  /// Least time between two appends to one stream. With `kClaimPartitions`
  /// streams the default keeps the claims under 300 appends a second.
  duration append_interval = std::chrono::milliseconds(60);
  /// First and longest wait after an append that failed; doubles in between.
  duration initial_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(1);
  /// Most records in one append.
  std::size_t append_records = 1000;
  /// Claims kept in memory over all partitions. At the limit new claims are
  /// refused; forgetting a claim early could let its key run twice.
  std::size_t max_claims = 250000;
  /// Bytes of stored answers, and of the largest answer that is stored.
  std::size_t max_stored_bytes = 8u << 20;
  std::size_t max_answer_bytes = 64u << 10;
};

/// What the claims have done and hold, for metrics. Counts since the start.
struct claim_stats {
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t stored_answers = 0;
  std::uint64_t already_run = 0;
  std::uint64_t too_old = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t released = 0;
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  /// Times that records of the claim window could not be read.
  std::uint64_t unreadable_gaps = 0;
  /// Now, not counts: claims in memory, bytes of answers, claims in the making.
  std::size_t claims_held = 0;
  std::size_t answer_bytes = 0;
  std::size_t pending = 0;
  /// Partitions whose home is here, and those of them that refuse claims.
  std::size_t coordinated_partitions = 0;
  std::size_t refusing = 0;
};

/// Lets a request that isn't idempotent run at most once for each key.
///
/// A key's claims are records on one stream of the log. A claim is granted only
/// by the entry that wrote it, once it has read it back and found no earlier
/// claim of that key that still stands. So the order of the log alone decides;
/// which entry is the home of a partition, who is frozen and which append was
/// repeated doesn't matter. docs/design/claims.md has the reasoning.
///
/// A key stands for `claim_options::window` after its claim, at least. A grant
/// is valid until the request's deadline; the user of this class must cap the
/// deadline of a request with a key at its arrival plus `MaxRequestTimeout`,
/// and check it again right before dispatch. A key that ends in a UUID of
/// version 7 tells its own age and is refused once older than the window; for
/// other keys the callers must stop their retries in time.
///
/// Each `Acquire` gets exactly one decision, from the call itself or a later
/// one. Thread safety: none; owned by the thread of the decisions.
class claims {
 public:
  /// `ids` must outlive this object. Precondition: `self` isn't `kNone`.
  claims(claim_options options, incarnation self, append_ids* ids);
  ~claims();
  claims(const claims&) = delete;
  claims& operator=(const claims&) = delete;

  /// Asks for leave to dispatch `request`. Preconditions: `key` isn't empty;
  /// a request is asked for once (again while it waits: ignored).
  void Acquire(const claim_key& key,
               request_id request,
               time_point deadline,
               time_point now,
               effects& out,
               std::vector<claim_decision>& decisions);

  /// Gives a granted claim back, so that a retry may run. Precondition: the
  /// request was never dispatched and never will be. Ignored for a request that
  /// is finished or doesn't hold the key.
  void Release(const claim_key& key,
               request_id request,
               time_point now,
               effects& out);

  /// Keeps the final answer of a granted request for retries, if it isn't too
  /// large. Precondition: the answer isn't `kNotRun`; use `Release` for that.
  void Complete(const claim_key& key,
                request_id request,
                const response& answer,
                time_point now);

  /// Takes over and hands over partitions. Claims in the making are completed.
  void OnViewChanged(const fleet_state& state,
                     const std::set<incarnation>& excluded,
                     time_point now,
                     effects& out);

  /// Applies what was read from a claim stream; grants what came back first.
  /// Like the next two, returns whether the event was one for the claims.
  bool OnLogRead(const log_read& read,
                 time_point now,
                 effects& out,
                 std::vector<claim_decision>& decisions);

  /// Gives up the claims in the making of a stream that can't be read.
  /// Precondition: reading is tried on, without another `follow_stream`.
  bool OnLogUnavailable(const log_unavailable& failure,
                        time_point now,
                        effects& out,
                        std::vector<claim_decision>& decisions);

  /// Goes on with what waits, or appends again what may not have landed.
  bool OnAppendFinished(const append_finished& result,
                        time_point now,
                        effects& out);

  /// Gives up what took too long, appends again, forgets old claims.
  void OnTick(time_point now,
              effects& out,
              std::vector<claim_decision>& decisions);

  /// Longest time to its deadline that a request with a key may have: half of
  /// the window, so that a caller that waited to its end and heard nothing has
  /// the other half for retries.
  duration MaxRequestTimeout() const { return options_.window / 2; }

  /// Returns the figures at `now`. Looks at all partitions; cheap.
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
