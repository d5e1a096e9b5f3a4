#ifndef PLANTAINHEAD_TESTS_CORE_CLAIMS_CLAIMS_FIXTURE_H_
#define PLANTAINHEAD_TESTS_CORE_CLAIMS_CLAIMS_FIXTURE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/log/model_log.h"
#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

/// Options without an append interval, so that tests need no ticks.
inline claim_options UnthrottledOptions() {
  claim_options options;
  options.append_interval = duration::zero();
  return options;
}

/// Runs one entry's claims and plays the part of the log adapter: keeps appends
/// until the test decides their outcome, and reads when the test asks for it.
class claims_entry {
 public:
  claims_entry(std::uint64_t self,
               model_log* log,
               claim_options options = UnthrottledOptions())
      : self_(static_cast<incarnation>(self)),
        log_(log),
        claims_(options, self_, &ids_) {}

  /// Makes this entry the coordinator of all partitions, or of none.
  void SetCoordinator(bool is_coordinator, time_point now) {
    fleet_state state;
    state.members[self_].who = self_;
    std::set<incarnation> excluded;
    if (!is_coordinator) {
      excluded.insert(self_);
    }
    claims_.OnViewChanged(state, excluded, now, out_);
    Collect();
  }

  void Acquire(const claim_key& key,
               std::uint64_t sequence,
               time_point now,
               duration timeout = std::chrono::seconds(30)) {
    claims_.Acquire(key, Request(sequence), now + timeout, now, out_,
                    decisions_);
    Collect();
  }

  void Release(const claim_key& key, std::uint64_t sequence, time_point now) {
    claims_.Release(key, Request(sequence), now, out_);
    Collect();
  }

  void Finish(const claim_key& key, std::uint64_t sequence, time_point now) {
    response answer;
    answer.status = 201;
    answer.result = outcome::kDone;
    claims_.Complete(key, Request(sequence), answer, now);
  }

  void Tick(time_point now) {
    claims_.OnTick(now, out_, decisions_);
    Collect();
  }

  /// Applies the oldest append to the log, and reports `result` as its outcome.
  void CompleteAppend(time_point now,
                      append_result result = append_result::kAppended) {
    const append_records append = TakeAppend();
    const log_offset first = log_->Append(append.stream, append.records);
    End(append, result, first, now);
  }

  /// Ends the oldest append without effect on the log.
  void FailAppend(time_point now,
                  append_result result = append_result::kUnknown) {
    End(TakeAppend(), result, 0, now);
  }

  /// Completes all appends to streams other than `stream`.
  void CompleteAppendsExcept(const stream_name& stream, time_point now) {
    const std::vector<append_records> pending = std::exchange(appends_, {});
    for (const append_records& append : pending) {
      if (append.stream == stream) {
        appends_.push_back(append);
      } else {
        const log_offset first = log_->Append(append.stream, append.records);
        End(append, append_result::kAppended, first, now);
      }
    }
  }

  append_records TakeAppend() {
    append_records append = std::move(appends_.at(0));
    appends_.erase(appends_.begin());
    return append;
  }

  void End(const append_records& append,
           append_result result,
           log_offset first,
           time_point now) {
    claims_.OnAppendFinished({append.append, result, first}, now, out_);
    Collect();
  }

  /// Reads all records of the followed streams.
  void Read(time_point now) {
    for (const auto& [stream, after] : std::map(followed_)) {
      ReadSome(stream, kReadAll, now);
    }
  }

  /// Reads at most `most` records. Precondition: `stream` is followed.
  void ReadSome(const stream_name& stream, std::size_t most, time_point now) {
    const log_read read = log_->Read(stream, followed_.at(stream), most);
    if (!read.entries.empty()) {
      followed_[stream] = read.entries.back().offset;
    }
    ApplyRead(read, now);
  }

  void ApplyRead(const log_read& read, time_point now) {
    claims_.OnLogRead(read, now, out_, decisions_);
    Collect();
  }

  void LogUnavailable(time_point now) {
    for (const auto& [stream, after] : std::map(followed_)) {
      claims_.OnLogUnavailable({stream, "down"}, now, out_, decisions_);
    }
    Collect();
  }

  /// Completes appends and reads until there is nothing left to do.
  void Settle(time_point now) {
    do {
      while (!appends_.empty()) {
        CompleteAppend(now);
      }
      Read(now);
    } while (!appends_.empty());
  }

  /// Removes and returns the decision on a request; nothing while there is
  /// none.
  std::optional<claim_decision> Take(std::uint64_t sequence) {
    for (auto it = decisions_.begin(); it != decisions_.end(); ++it) {
      if (it->request == Request(sequence)) {
        claim_decision decision = *it;
        decisions_.erase(it);
        return decision;
      }
    }
    return std::nullopt;
  }

  request_id Request(std::uint64_t sequence) const { return {self_, sequence}; }
  incarnation self() const { return self_; }
  std::vector<append_records>& appends() { return appends_; }
  std::vector<claim_decision>& decisions() { return decisions_; }
  const std::map<stream_name, log_offset>& followed() const {
    return followed_;
  }
  const claims& core() const { return claims_; }

 private:
  static constexpr std::size_t kReadAll = 1000000;

  void Collect() {
    const action_list actions = std::exchange(out_.actions, {});
    for (const action& item : actions) {
      std::visit(overloaded{[&](const append_records& append) {
                              appends_.push_back(append);
                            },
                            [&](const follow_stream& follow) {
                              followed_[follow.stream] = follow.after;
                            },
                            [&](const unfollow_stream& unfollow) {
                              followed_.erase(unfollow.stream);
                            },
                            [](const auto&) {}},
                 item);
    }
  }

  const incarnation self_;
  model_log* const log_;
  append_ids ids_;
  claims claims_;
  effects out_;
  std::vector<claim_decision> decisions_;
  std::vector<append_records> appends_;
  std::map<stream_name, log_offset> followed_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_CLAIMS_CLAIMS_FIXTURE_H_
