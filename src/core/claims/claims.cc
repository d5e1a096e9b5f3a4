#include "plantainhead/core/claims/claims.h"

#include <algorithm>

#include "core/claims/claim_key_time.h"
#include "core/claims/claim_partition.h"
#include "core/requests/answer_store.h"

namespace plantainhead::core {

claims::claims(claim_options options, incarnation self, append_ids* ids)
    : options_(options),
      self_(self),
      answers_(std::make_unique<answer_store>(options.max_stored_bytes,
                                              options.max_answer_bytes)) {
  const claim_partition_context context{&options_, self_, ids, answers_.get(),
                                        &stats_};
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    partitions_.push_back(std::make_unique<claim_partition>(number, context));
  }
}

claims::~claims() = default;

void claims::Acquire(const claim_key& key,
                     request_id request,
                     time_point deadline,
                     time_point now,
                     effects& out,
                     std::vector<claim_decision>& decisions) {
  ++stats_.requested;
  const std::size_t before = decisions.size();
  if (const response* stored = answers_->Find(HashOf(key))) {
    decisions.push_back({request, claim_verdict::kStoredAnswer, *stored, {}});
  } else if (const std::optional<time_point> made = KeyTime(key);
             made && *made + options_.window <= now) {
    decisions.push_back({request, claim_verdict::kTooOld, std::nullopt, {}});
  } else {
    PartitionFor(key).Acquire(key, request, deadline, now, out, decisions);
  }
  Count(decisions, before);
}

void claims::Release(const claim_key& key,
                     request_id request,
                     time_point now,
                     effects& out) {
  PartitionFor(key).Release(key, request, now, out);
}

void claims::Complete(const claim_key& key,
                      request_id request,
                      const response& answer,
                      time_point now) {
  PartitionFor(key).Complete(key, request, answer, now);
}

void claims::OnViewChanged(const fleet_state& state,
                           const std::set<incarnation>& excluded,
                           time_point,
                           effects& out) {
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    partitions_[number]->SetCoordinator(
        CoordinatorOf(number, state, excluded) == self_, out);
  }
}

bool claims::OnLogRead(const log_read& read,
                       time_point now,
                       effects& out,
                       std::vector<claim_decision>& decisions) {
  claim_partition* partition = FindStream(read.stream);
  if (partition == nullptr) {
    return false;
  }
  const std::size_t before = decisions.size();
  partition->OnLogRead(read, now, out, decisions);
  Count(decisions, before);
  return true;
}

bool claims::OnLogUnavailable(const log_unavailable& failure,
                              time_point now,
                              effects& out,
                              std::vector<claim_decision>& decisions) {
  claim_partition* partition = FindStream(failure.stream);
  if (partition == nullptr) {
    return false;
  }
  const std::size_t before = decisions.size();
  partition->OnLogUnavailable(now, out, decisions);
  Count(decisions, before);
  return true;
}

bool claims::OnAppendFinished(const append_finished& result,
                              time_point now,
                              effects& out) {
  return std::any_of(partitions_.begin(), partitions_.end(),
                     [&](const auto& partition) {
                       return partition->OnAppendFinished(result, now, out);
                     });
}

void claims::OnTick(time_point now,
                    effects& out,
                    std::vector<claim_decision>& decisions) {
  const std::size_t before = decisions.size();
  std::size_t held = 0;
  for (const auto& partition : partitions_) {
    partition->OnTick(now, out, decisions);
    held += partition->claims_held();
  }
  stats_.claims_held = held;
  answers_->EvictOlderThan(now - options_.window);
  Count(decisions, before);
}

claim_stats claims::stats(time_point now) const {
  claim_stats result = stats_;
  result.claims_held = 0;
  result.answer_bytes = answers_->bytes();
  for (const auto& partition : partitions_) {
    result.claims_held += partition->claims_held();
    result.pending += partition->pending();
    result.coordinated_partitions += partition->is_coordinator() ? 1 : 0;
    const bool is_refusing =
        partition->is_coordinator() && partition->RefusalDelay(now);
    result.refusing += is_refusing ? 1 : 0;
  }
  return result;
}

void claims::Count(const std::vector<claim_decision>& decisions,
                   std::size_t from) {
  for (std::size_t i = from; i < decisions.size(); ++i) {
    ++CounterOf(decisions[i].verdict);
  }
}

std::uint64_t& claims::CounterOf(claim_verdict verdict) {
  switch (verdict) {
    case claim_verdict::kGranted:
      return stats_.granted;
    case claim_verdict::kInProgress:
      return stats_.in_progress;
    case claim_verdict::kStoredAnswer:
      return stats_.stored_answers;
    case claim_verdict::kAlreadyRun:
      return stats_.already_run;
    case claim_verdict::kTooOld:
      return stats_.too_old;
    case claim_verdict::kLogUnavailable:
      break;
  }
  return stats_.unavailable;
}

claim_partition& claims::PartitionFor(const claim_key& key) {
  return *partitions_[PartitionOf(key)];
}

claim_partition* claims::FindStream(const stream_name& stream) {
  const auto it = std::find_if(
      partitions_.begin(), partitions_.end(),
      [&](const auto& partition) { return partition->stream() == stream; });
  return it == partitions_.end() ? nullptr : it->get();
}

}  // namespace plantainhead::core
