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

// Keys of one partition, so that few steps make them meet.
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
  claim_options options = UnpacedOptions();
  options.window = seconds(60);
  options.clock_skew = seconds(4);
  return options;
}

// Any value of a range with like chance; a plain `inRange` starts out small.
template <typename T>
T AnyIn(T least, T bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, bound));
}

// A request as its caller sees it.
struct asked_request {
  std::size_t key = 0;
  time_point asked;
  bool is_decided = false;
  bool is_granted = false;
  bool is_released = false;
  bool is_finished = false;
};

// One life of an entry, with its own clock.
struct entry_life {
  entry_life(std::uint64_t self, model_log* log, duration ahead)
      : entry(self, log, ShortWindow()), clock_ahead(ahead) {}

  claims_entry entry;
  duration clock_ahead{};
  bool is_frozen = false;
  std::map<std::uint64_t, asked_request> requests;
};

// What a run may meet.
struct hazards {
  bool kills = true;
  bool cuts = true;
  /// Longest step of the time.
  duration longest_step = seconds(40);
};

// Several entries over one log, driven by random steps.
class claims_run {
 public:
  explicit claims_run(hazards allowed) : allowed_(allowed) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      lives_.push_back(NewLife());
    }
  }

  void Step() {
    // Mostly what keeps requests moving, now and then a fault.
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
    entry_life& life = *lives_[Below(kEntries)];
    if (life.is_frozen) {
      life.is_frozen = Below(10) > 0;
      return;
    }
    const time_point now = now_ + life.clock_ahead;
    switch (what) {
      case 0:
        Ask(life, now);
        break;
      case 1:
        EndAppend(life, now);
        break;
      case 2:
        Read(life, now);
        break;
      case 3:
        life.entry.Tick(now);
        break;
      case 4:
        Pass();
        break;
      case 5:
        EndRequest(life, now);
        break;
      case 6:
        life.entry.SetHome(Below(3) > 0, now);
        break;
      case 7:
        life.entry.LogUnavailable(now);
        break;
      case 8:
        life.is_frozen = true;
        break;
      case 9:
        Kill(life);
        break;
      case 10:
        LandLate();
        break;
      default:
        Cut();
    }
    CheckDecisions();
  }

  /// All faults end; then each key that nobody runs can be run.
  void CheckFreeKeys() {
    for (auto& [stream, records] : std::exchange(limbo_, {})) {
      log_.Append(stream, records);
    }
    for (int round = 0; round < 4; ++round) {
      for (const auto& life : lives_) {
        life->entry.SetHome(true, now_ + life->clock_ahead);
        life->entry.Settle(now_ + life->clock_ahead);
        life->entry.Tick(now_ + life->clock_ahead);
        life->entry.Settle(now_ + life->clock_ahead);
      }
      now_ += seconds(1);
    }
    CheckDecisions();
    for (std::size_t key = 0; key < kKeys.size(); ++key) {
      const bool is_run = !unreleased_[key].empty();
      entry_life& life = *lives_[key % kEntries];
      AskFor(life, key, now_ + life.clock_ahead);
      life.entry.Settle(now_ + life.clock_ahead);
      CheckDecisions();
      const asked_request& request = life.requests.at(last_sequence_);
      RC_ASSERT(request.is_decided);
      RC_ASSERT(request.is_granted != is_run);
    }
  }

  std::size_t grants() const { return grants_; }

 private:
  static std::size_t Below(std::size_t bound) {
    return AnyIn<std::size_t>(0, bound);
  }

  // Clocks differ by up to the skew.
  std::unique_ptr<entry_life> NewLife() {
    const auto half = ShortWindow().clock_skew.count() / 2;
    const duration ahead(AnyIn(-half, half));
    auto life = std::make_unique<entry_life>(++last_incarnation_, &log_, ahead);
    life->entry.SetHome(true, now_ + ahead);
    return life;
  }

  void Ask(entry_life& life, time_point now) {
    AskFor(life, Below(kKeys.size()), now);
  }

  void AskFor(entry_life& life, std::size_t key, time_point now) {
    life.requests[++last_sequence_] = {key, now_};
    life.entry.Ask(kKeys[key], last_sequence_, now);
  }

  // An append ends in one of five ways; two of them lie about the stream.
  void EndAppend(entry_life& life, time_point now) {
    life.entry.LandAllBut(kStream, now);
    if (life.entry.appends().empty()) {
      return;
    }
    switch (Below(6)) {
      case 0:
        life.entry.Land(now, append_result::kUnknown);
        break;
      case 1:
        life.entry.Lose(now, append_result::kRejected);
        break;
      case 2: {
        const append_records lost = life.entry.TakeAppend();
        limbo_.emplace_back(lost.stream, lost.records);
        life.entry.End(lost, append_result::kUnknown, 0, now);
        break;
      }
      default:
        life.entry.Land(now);
    }
  }

  void Read(entry_life& life, time_point now) {
    const auto place = life.entry.followed().find(kStream);
    if (place != life.entry.followed().end()) {
      life.entry.ReadSome(kStream, 1 + Below(5), now);
    }
  }

  void Pass() {
    ends_.emplace_back(now_, log_.End(kStream));
    const bool is_long = Below(6) == 0;
    const duration most = is_long ? allowed_.longest_step : milliseconds(900);
    now_ += duration(AnyIn<std::int64_t>(0, most.count()));
  }

  // Runs a granted request to its end, or gives it back undispatched.
  void EndRequest(entry_life& life, time_point now) {
    for (auto& [sequence, request] : life.requests) {
      if (!request.is_granted || request.is_released || request.is_finished) {
        continue;
      }
      if (Below(2) == 0) {
        request.is_released = true;
        std::erase(unreleased_[request.key], request.asked);
        life.entry.Release(kKeys[request.key], sequence, now);
      } else {
        request.is_finished = true;
        life.entry.Finish(kKeys[request.key], sequence, now);
      }
      return;
    }
  }

  void Kill(entry_life& life) {
    if (!allowed_.kills) {
      return;
    }
    for (append_records& append : life.entry.appends()) {
      limbo_.emplace_back(append.stream, append.records);
    }
    const auto place = std::find_if(
        lives_.begin(), lives_.end(),
        [&](const auto& candidate) { return candidate.get() == &life; });
    *place = NewLife();
  }

  void LandLate() {
    if (limbo_.empty()) {
      return;
    }
    const std::size_t which = Below(limbo_.size());
    log_.Append(limbo_[which].first, limbo_[which].second);
    // It may land more than once.
    if (Below(2) == 0) {
      limbo_.erase(limbo_.begin() + static_cast<std::ptrdiff_t>(which));
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
    // What the platform promises: records of two windows are kept.
    for (const auto& [at, end] : ends_) {
      if (at + ShortWindow().window * 2 <= now_) {
        log_.Cut(kStream, end + 1);
      }
    }
  }

  void CheckDecisions() {
    for (const auto& life : lives_) {
      for (const claim_decision& decision :
           std::exchange(life->entry.decisions(), {})) {
        asked_request& request = life->requests.at(decision.request.sequence);
        // Each request is decided once: one that was told "not run" is never
        // granted, one that was granted is never told "not run".
        RC_ASSERT(!request.is_decided);
        request.is_decided = true;
        if (decision.verdict == claim_verdict::kGranted) {
          request.is_granted = true;
          CheckGrant(request);
        }
      }
    }
  }

  // Another grant that wasn't released is older than the window, so that this
  // request was no retry of it.
  void CheckGrant(const asked_request& request) {
    ++grants_;
    for (const time_point& other : unreleased_[request.key]) {
      const duration apart =
          std::max(request.asked - other, other - request.asked);
      RC_ASSERT(apart >= ShortWindow().window);
    }
    unreleased_[request.key].push_back(request.asked);
  }

  const hazards allowed_;
  model_log log_;
  time_point now_ = kStart;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::size_t grants_ = 0;
  std::vector<std::unique_ptr<entry_life>> lives_;
  std::vector<std::pair<stream_name, std::vector<record>>> limbo_;
  /// The stream's end at some times, for retention.
  std::vector<std::pair<time_point, log_offset>> ends_;
  /// When the grants that stand were asked for, by key.
  std::map<std::size_t, std::vector<time_point>> unreleased_;
};

// Entries that all take themselves for the home claim the same keys at once,
// while answers are lost, appends land late and twice, entries freeze, die and
// come back, clocks differ and the stream is cut anywhere. Whatever the order,
// a key's retry never runs beside a run that stands.
TEST_CASE("Random faults never let a key run twice") {
  const bool holds = rc::check([] {
    claims_run run((hazards()));
    const int steps = AnyIn(300, 1000);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
    RC_TAG(std::min<std::size_t>(run.grants(), 10));
  });
  CHECK(holds);
}

// "Not run" must be of use: without deaths and cuts, each claim that was not
// granted or was given back ends, and a later request runs.
TEST_CASE("After random faults a key that nobody ran can be run") {
  const bool holds = rc::check([] {
    hazards mild;
    mild.kills = false;
    mild.cuts = false;
    mild.longest_step = milliseconds(900);
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
