#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/claims/claims_fixture.h"
#include "plantainhead/core/claims/claims.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(500000)};
constexpr std::size_t kEntries = 3;

// Returns keys of one partition, so that conflicts occur within few steps.
std::vector<claim_key> KeysOfOnePartition() {
  std::vector<claim_key> keys;
  for (int i = 0; keys.size() < 4; ++i) {
    claim_key key("appeal-" + std::to_string(i));
    if (keys.empty() || PartitionOf(key) == PartitionOf(keys.front())) {
      keys.push_back(std::move(key));
    }
  }
  return keys;
}

const std::vector<claim_key> kKeys = KeysOfOnePartition();
const stream_name kStream = ClaimStream(PartitionOf(kKeys.front()));

claim_options ShortWindow() {
  claim_options options = UnthrottledOptions();
  options.window = seconds(60);
  options.clock_skew = seconds(4);
  return options;
}

// Returns a uniformly distributed value of the range; a plain `inRange` starts
// with small values.
template <typename T>
T AnyIn(T least, T bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, bound));
}

// A request from its caller's point of view.
struct client_request {
  std::size_t key = 0;
  time_point requested_at;
  bool is_decided = false;
  bool is_granted = false;
  bool is_released = false;
  bool is_finished = false;
};

// One incarnation of an entry, with its own clock.
struct entry_instance {
  entry_instance(std::uint64_t self, model_log* log, duration ahead)
      : entry(self, log, ShortWindow()), clock_ahead(ahead) {}

  claims_entry entry;
  duration clock_ahead{};
  bool is_frozen = false;
  std::map<std::uint64_t, client_request> requests;
};

// The faults that a run may inject.
struct fault_options {
  bool kills = true;
  bool cuts = true;
  /// Maximum time step.
  duration max_step = seconds(40);
};

// Drives several entries over one log by random steps.
class claims_run {
 public:
  explicit claims_run(fault_options allowed) : allowed_(allowed) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      instances_.push_back(NewInstance());
    }
  }

  void Step() {
    // Mostly steps that make progress, occasionally a fault.
    const int what = *rc::gen::weightedElement<int>({{8, 0},
                                                     {12, 1},
                                                     {12, 2},
                                                     {4, 3},
                                                     {2, 4},
                                                     {3, 5},
                                                     {2, 6},
                                                     {1, 7},
                                                     {1, 8},
                                                     {1, 9},
                                                     {1, 10},
                                                     {1, 11}});
    entry_instance& instance = *instances_[Below(kEntries)];
    if (instance.is_frozen) {
      instance.is_frozen = Below(10) > 0;
      return;
    }
    const time_point now = now_ + instance.clock_ahead;
    switch (what) {
      case 0:
        Acquire(instance, now);
        break;
      case 1:
        EndAppend(instance, now);
        break;
      case 2:
        Read(instance, now);
        break;
      case 3:
        instance.entry.Tick(now);
        break;
      case 4:
        AdvanceTime();
        break;
      case 5:
        EndRequest(instance, now);
        break;
      case 6:
        instance.entry.SetCoordinator(Below(3) > 0, now);
        break;
      case 7:
        instance.entry.LogUnavailable(now);
        break;
      case 8:
        instance.is_frozen = true;
        break;
      case 9:
        Kill(instance);
        break;
      case 10:
        CompleteDelayedAppend();
        break;
      default:
        Cut();
    }
    CheckDecisions();
  }

  /// Ends all faults, then checks that each key without an active run can be
  /// run.
  void CheckFreeKeys() {
    for (auto& [stream, records] : std::exchange(delayed_appends_, {})) {
      log_.Append(stream, records);
    }
    for (int round = 0; round < 4; ++round) {
      for (const auto& instance : instances_) {
        instance->entry.SetCoordinator(true, now_ + instance->clock_ahead);
        instance->entry.Settle(now_ + instance->clock_ahead);
        instance->entry.Tick(now_ + instance->clock_ahead);
        instance->entry.Settle(now_ + instance->clock_ahead);
      }
      now_ += seconds(1);
    }
    CheckDecisions();
    for (std::size_t key = 0; key < kKeys.size(); ++key) {
      const bool is_run = !unreleased_[key].empty();
      entry_instance& instance = *instances_[key % kEntries];
      AcquireFor(instance, key, now_ + instance.clock_ahead);
      instance.entry.Settle(now_ + instance.clock_ahead);
      CheckDecisions();
      const client_request& request = instance.requests.at(last_sequence_);
      RC_ASSERT(request.is_decided);
      RC_ASSERT(request.is_granted != is_run);
    }
  }

  std::size_t grants() const { return grants_; }

 private:
  static std::size_t Below(std::size_t bound) {
    return AnyIn<std::size_t>(0, bound);
  }

  // Clocks differ by at most the skew.
  std::unique_ptr<entry_instance> NewInstance() {
    const auto half = ShortWindow().clock_skew.count() / 2;
    const duration ahead(AnyIn(-half, half));
    auto instance =
        std::make_unique<entry_instance>(++last_incarnation_, &log_, ahead);
    instance->entry.SetCoordinator(true, now_ + ahead);
    return instance;
  }

  void Acquire(entry_instance& instance, time_point now) {
    AcquireFor(instance, Below(kKeys.size()), now);
  }

  void AcquireFor(entry_instance& instance, std::size_t key, time_point now) {
    instance.requests[++last_sequence_] = {key, now_};
    instance.entry.Acquire(kKeys[key], last_sequence_, now);
  }

  // Ends an append: usually it succeeds; otherwise it is rejected, or its
  // result is unknown and it takes effect now or later.
  void EndAppend(entry_instance& instance, time_point now) {
    instance.entry.CompleteAppendsExcept(kStream, now);
    if (instance.entry.appends().empty()) {
      return;
    }
    switch (Below(6)) {
      case 0:
        instance.entry.CompleteAppend(now, append_result::kUnknown);
        break;
      case 1:
        instance.entry.FailAppend(now, append_result::kRejected);
        break;
      case 2: {
        const append_records lost = instance.entry.TakeAppend();
        delayed_appends_.emplace_back(lost.stream, lost.records);
        instance.entry.End(lost, append_result::kUnknown, 0, now);
        break;
      }
      default:
        instance.entry.CompleteAppend(now);
    }
  }

  void Read(entry_instance& instance, time_point now) {
    const auto it = instance.entry.followed().find(kStream);
    if (it != instance.entry.followed().end()) {
      instance.entry.ReadSome(kStream, 1 + Below(5), now);
    }
  }

  void AdvanceTime() {
    ends_.emplace_back(now_, log_.End(kStream));
    const bool is_long = Below(6) == 0;
    const duration most = is_long ? allowed_.max_step : milliseconds(900);
    now_ += duration(AnyIn<std::int64_t>(0, most.count()));
  }

  // Completes a granted request, or releases it without dispatch.
  void EndRequest(entry_instance& instance, time_point now) {
    for (auto& [sequence, request] : instance.requests) {
      if (!request.is_granted || request.is_released || request.is_finished) {
        continue;
      }
      if (Below(2) == 0) {
        request.is_released = true;
        std::erase(unreleased_[request.key], request.requested_at);
        instance.entry.Release(kKeys[request.key], sequence, now);
      } else {
        request.is_finished = true;
        instance.entry.Finish(kKeys[request.key], sequence, now);
      }
      return;
    }
  }

  void Kill(entry_instance& instance) {
    if (!allowed_.kills) {
      return;
    }
    for (append_records& append : instance.entry.appends()) {
      delayed_appends_.emplace_back(append.stream, append.records);
    }
    const auto it = std::find_if(
        instances_.begin(), instances_.end(),
        [&](const auto& candidate) { return candidate.get() == &instance; });
    *it = NewInstance();
  }

  void CompleteDelayedAppend() {
    if (delayed_appends_.empty()) {
      return;
    }
    const std::size_t which = Below(delayed_appends_.size());
    log_.Append(delayed_appends_[which].first, delayed_appends_[which].second);
    // The same append may take effect more than once.
    if (Below(2) == 0) {
      delayed_appends_.erase(delayed_appends_.begin() +
                             static_cast<std::ptrdiff_t>(which));
    }
  }

  void Cut() {
    if (!allowed_.cuts) {
      return;
    }
    if (Below(8) == 0) {
      log_.Cut(kStream, 1 + Below(log_.End(kStream) + 1));
      return;
    }
    // The platform guarantees that the records of two windows are retained.
    for (const auto& [at, end] : ends_) {
      if (at + ShortWindow().window * 2 <= now_) {
        log_.Cut(kStream, end + 1);
      }
    }
  }

  void CheckDecisions() {
    for (const auto& instance : instances_) {
      for (const claim_decision& decision :
           std::exchange(instance->entry.decisions(), {})) {
        client_request& request =
            instance->requests.at(decision.request.sequence);
        // Each request is decided once: one that was reported as not run is
        // never granted, and one that was granted is never reported as not run.
        RC_ASSERT(!request.is_decided);
        request.is_decided = true;
        if (decision.verdict == claim_verdict::kGranted) {
          request.is_granted = true;
          CheckGrant(request);
        }
      }
    }
  }

  // Any other grant that was not released is older than the window, so this
  // request was not a retry of it.
  void CheckGrant(const client_request& request) {
    ++grants_;
    for (const time_point& other : unreleased_[request.key]) {
      const duration apart =
          std::max(request.requested_at - other, other - request.requested_at);
      RC_ASSERT(apart >= ShortWindow().window);
    }
    unreleased_[request.key].push_back(request.requested_at);
  }

  const fault_options allowed_;
  model_log log_;
  time_point now_ = kStart;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::size_t grants_ = 0;
  std::vector<std::unique_ptr<entry_instance>> instances_;
  std::vector<std::pair<stream_name, std::vector<record>>> delayed_appends_;
  /// The end offset of the stream at different times, for retention.
  std::vector<std::pair<time_point, log_offset>> ends_;
  /// Request times of the active grants, by key.
  std::map<std::size_t, std::vector<time_point>> unreleased_;
};

// Entries that all act as the coordinator claim the same keys at the same time,
// while answers are lost, appends take effect late and twice, entries are
// paused, crash and restart, clocks differ and the stream is truncated
// anywhere. In any order of these events, the retry of a key never runs
// alongside an active run.
TEST_CASE("No key runs twice under random faults") {
  const bool holds = rc::check([] {
    claims_run run((fault_options()));
    const int steps = AnyIn(300, 1000);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
    RC_TAG(std::min<std::size_t>(run.grants(), 10));
  });
  CHECK(holds);
}

// Not-run must lead to progress: without crashes and truncation, each claim
// that was rejected or released ends, and a later request runs.
TEST_CASE("After random faults a key without an active run can be run") {
  const bool holds = rc::check([] {
    fault_options mild;
    mild.kills = false;
    mild.cuts = false;
    mild.max_step = milliseconds(900);
    claims_run run(mild);
    const int steps = AnyIn(20, 200);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
    run.CheckFreeKeys();
  });
  CHECK(holds);
}

}  // namespace
}  // namespace plantainhead::core
