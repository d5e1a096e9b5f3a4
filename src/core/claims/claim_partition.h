#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_PARTITION_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_PARTITION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/claims/claim_cursor.h"
#include "core/claims/claim_index.h"
#include "core/claims/claim_watermarks.h"
#include "core/claims/claim_writer.h"
#include "core/requests/answer_store.h"
#include "plantainhead/core/claims/claims.h"

namespace plantainhead::core {

/// The state that all partitions of one entry share.
struct claim_partition_context {
  const claim_options* options = nullptr;
  incarnation self = incarnation::kNone;
  append_ids* ids = nullptr;
  answer_store* answers = nullptr;
  claim_stats* stats = nullptr;
};

/// Handles the claims on the keys of one stream; see `claims`. Thread safety:
/// none.
class claim_partition {
 public:
  using decision_list = std::vector<claim_decision>;

  claim_partition(std::uint32_t number, const claim_partition_context& context);

  void SetCoordinator(bool is_coordinator, effects& out);
  void Acquire(const claim_key& key,
               request_id request,
               time_point deadline,
               time_point now,
               effects& out,
               decision_list& decisions);
  void Release(const claim_key& key,
               request_id request,
               time_point now,
               effects& out);
  void Complete(const claim_key& key,
                request_id request,
                const response& answer,
                time_point now);
  void OnLogRead(const log_read& read,
                 time_point now,
                 effects& out,
                 decision_list& decisions);
  void OnLogUnavailable(time_point now, effects& out, decision_list& decisions);
  bool OnAppendFinished(const append_finished& result,
                        time_point now,
                        effects& out);
  void OnTick(time_point now, effects& out, decision_list& decisions);

  const stream_name& stream() const { return stream_; }
  bool is_coordinator() const { return is_coordinator_; }
  std::size_t claims_held() const { return index_.size(); }
  std::size_t pending() const { return pending_.size(); }
  /// Returns how long new claims are refused; nothing if they are accepted.
  std::optional<duration> RefusalDelay(time_point now) const;

 private:
  /// A claim that was requested and is not decided yet.
  struct pending_claim {
    claim_key key;
    request_id request;
    time_point deadline;
    time_point requested_at;
    std::uint64_t record_number = 0;
  };
  using pending_map =
      std::unordered_map<key_hash, pending_claim, key_hash_hasher>;
  struct running_request {
    request_id request;
    time_point granted;
  };
  using running_map =
      std::unordered_map<key_hash, running_request, key_hash_hasher>;

  std::optional<claim_verdict> ExistingVerdict(const key_hash& hash) const;
  void Start(const key_hash& hash, pending_claim claim);
  void Resolve(const claim_request& claim,
               claim_status status,
               time_point now,
               time_point grant_time,
               decision_list& decisions);
  void Reject(pending_map::iterator it,
              claim_verdict verdict,
              duration retry_after,
              time_point now,
              decision_list& decisions);
  void RejectAll(duration retry_after,
                 time_point now,
                 decision_list& decisions);
  void RejectExpired(time_point now, decision_list& decisions);
  void RejectAlreadyClaimed(time_point now, decision_list& decisions);
  void AppendRelease(const claim_key& key, request_id request, time_point now);
  void AddDecision(request_id request,
                   claim_verdict verdict,
                   duration retry_after,
                   decision_list& decisions);

  void ApplyEntries(const log_read& read,
                    time_point now,
                    decision_list& decisions);
  void RejectIfBlocked(time_point now, effects& out, decision_list& decisions);
  void Apply(const record_body& body,
             time_point now,
             time_point grant_time,
             decision_list& decisions);
  void ExpireClaims(time_point now);
  void Follow(effects& out);
  void UnfollowIfDone(effects& out);
  void Flush(time_point now, effects& out);
  /// Returns how long a claim is kept. A retry that arrives at the end of the
  /// window may be granted up to the claim timeout later, by a clock that may
  /// differ.
  duration Retention() const {
    return options_.window + options_.clock_skew + options_.claim_timeout;
  }

  const stream_name stream_;
  const claim_partition_context context_;
  const claim_options& options_;
  claim_writer writer_;
  claim_index index_;
  claim_cursor cursor_;
  claim_watermarks watermarks_;

  bool is_coordinator_ = false;
  bool is_following_ = false;
  pending_map pending_;
  /// The earliest time at which a pending claim times out.
  time_point next_timeout_ = time_point::max();
  /// Keys granted here whose requests have not completed.
  running_map running_;
  time_point next_running_check_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_PARTITION_H_
