#include "plantainhead/core/requests/request_queue.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <queue>
#include <random>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

const work_class kTight =
    MakeClass(class_name("tight"), milliseconds(200), false);
const work_class kLoose =
    MakeClass(class_name("loose"), milliseconds(1000), false);
const work_class kDeferrable =
    MakeClass(class_name("waits"), seconds(600), true);

/// Simulates one service with `kSlots` slots in virtual time. Requests of three
/// classes arrive in a Poisson process; service times are exponentially
/// distributed with a mean of 20 ms.
class overload_simulation {
 public:
  static constexpr std::uint32_t kSlots = 16;
  static constexpr double kMeanMs = 20;
  static constexpr double kCapacity = kSlots * 1000 / kMeanMs;

  struct class_stats {
    int offered = 0;
    int refused_at_once = 0;
    int refused_later = 0;
    int in_time = 0;
    int late = 0;
  };

  /// Runs for `time` with an offered load of `load` times the capacity; `tight`
  /// and `deferrable` are the shares of these two classes.
  void Run(double load, double tight, double deferrable, duration time) {
    const time_point end = now_ + time;
    std::exponential_distribution<double> gap(load * kCapacity / 1e6);
    std::uniform_real_distribution<double> part(0, 1);
    time_point next = now_;
    while (next < end) {
      ServeUntil(next);
      now_ = next;
      const double drawn = part(random_);
      Arrive(drawn < tight                ? kTight
             : drawn < tight + deferrable ? kDeferrable
                                          : kLoose);
      next += duration(1 + static_cast<std::int64_t>(gap(random_)));
    }
    ServeUntil(end);
    now_ = end;
  }

  int InTime() const {
    int sum = 0;
    for (const auto& [name, count] : by_class) {
      sum += count.in_time;
    }
    return sum;
  }

  std::map<class_name, class_stats> by_class;
  duration max_wait{};

 private:
  struct item {
    const work_class* work = nullptr;
    time_point arrival;
  };
  struct served {
    time_point end;
    time_point start;
    item what;
    bool operator>(const served& other) const { return end > other.end; }
  };

  void Arrive(const work_class& work) {
    last_id_ += 1;
    by_class[work.name].offered += 1;
    const auto free = static_cast<std::uint32_t>(kSlots - running_.size());
    const time_point deadline =
        now_ + (work.can_wait ? seconds(600) : seconds(2));
    const admission result =
        queue_.Offer({last_id_, now_, deadline}, work, kSlots, free, now_);
    if (!result.admitted) {
      by_class[work.name].refused_at_once += 1;
      return;
    }
    waiting_[last_id_] = {&work, now_};
    Start();
  }

  void Start() {
    std::exponential_distribution<double> time(1 / (kMeanMs * 1000));
    while (running_.size() < kSlots) {
      std::vector<std::uint64_t> refused;
      const auto id = queue_.Pop(now_, refused);
      for (const std::uint64_t gone : refused) {
        const item what = waiting_.at(gone);
        by_class[what.work->name].refused_later += 1;
        queue_.OnUnserved(*what.work);
        waiting_.erase(gone);
      }
      if (!id.has_value()) {
        return;
      }
      const item what = waiting_.at(*id);
      waiting_.erase(*id);
      const duration took(1 + static_cast<std::int64_t>(time(random_)));
      running_.push({now_ + took, now_, what});
    }
  }

  void ServeUntil(time_point until) {
    while (!running_.empty() && running_.top().end <= until) {
      const served done = running_.top();
      running_.pop();
      now_ = done.end;
      const work_class& work = *done.what.work;
      const bool in_time = now_ - done.what.arrival <= work.within;
      class_stats& count = by_class[work.name];
      count.in_time += in_time ? 1 : 0;
      count.late += in_time ? 0 : 1;
      queue_.OnServed(work, now_ - done.start, in_time);
      Start();
    }
  }

  request_queue queue_;
  std::mt19937_64 random_{7};
  time_point now_{std::chrono::hours(1)};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, item> waiting_;
  std::priority_queue<served, std::vector<served>, std::greater<served>>
      running_;
};

// The offered load is two or five times the capacity. If requests that cannot
// be served in time were admitted, they would waste slots, and callers of the
// tight class would wait behind them.
TEST_CASE("Overload reduces neither the goodput nor the tight class") {
  const double load = GENERATE(2.0, 5.0);
  overload_simulation harness;
  harness.Run(load, 0.1, 0, seconds(60));

  INFO("load " << load);
  CHECK(harness.InTime() >= 0.95 * overload_simulation::kCapacity * 60);
  const auto& tight = harness.by_class[kTight.name];
  CHECK(tight.in_time >= kTight.served * tight.offered);
  const auto& loose = harness.by_class[kLoose.name];
  CHECK(loose.late <= 0.01 * loose.in_time);
  CHECK(loose.refused_later <= 0.05 * loose.refused_at_once);
}

TEST_CASE("Requests that can wait finish while other classes are overloaded") {
  overload_simulation harness;
  harness.Run(3.0, 0.1, 0.01, seconds(60));
  const auto& deferrable = harness.by_class[kDeferrable.name];
  CHECK(deferrable.in_time >= 0.9 * deferrable.offered);
  const auto& tight = harness.by_class[kTight.name];
  CHECK(tight.in_time >= kTight.served * tight.offered);
}

TEST_CASE("Nothing is refused while there is capacity") {
  overload_simulation harness;
  harness.Run(0.7, 0.3, 0.2, seconds(30));
  for (const auto& [name, count] : harness.by_class) {
    INFO(name.value());
    CHECK(count.refused_at_once + count.refused_later == 0);
    CHECK(count.late <= 0.001 * count.offered);
  }
}

TEST_CASE("The queue orders its requests") {
  request_queue queue;
  const time_point now(std::chrono::hours(1));
  std::vector<std::uint64_t> refused;
  std::uint64_t last = 0;
  const auto add = [&](const work_class& work, duration age = {}) {
    last += 1;
    queue.Requeue({last, now - age, now + seconds(900)}, work);
    return last;
  };

  SECTION("by the earliest target") {
    const std::uint64_t loose = add(kLoose);
    const std::uint64_t tight = add(kTight);
    const std::uint64_t old = add(kLoose, milliseconds(900));
    CHECK(queue.Pop(now, refused) == old);
    CHECK(queue.Pop(now, refused) == tight);
    CHECK(queue.Pop(now, refused) == loose);
    CHECK(queue.Pop(now, refused) == std::nullopt);
  }

  SECTION("with a class that consumes its budget slightly earlier") {
    const work_class other =
        MakeClass(class_name("other"), milliseconds(900), false);
    for (int i = 0; i < 100; ++i) {
      queue.OnUnserved(kLoose);
    }
    add(other);
    const std::uint64_t burning = add(kLoose);
    CHECK(queue.Pop(now, refused) == burning);
  }

  SECTION("and a class whose burn rate rises keeps its own order") {
    const std::uint64_t first = add(kLoose);
    for (int i = 0; i < 100; ++i) {
      queue.OnUnserved(kLoose);
    }
    add(kLoose);
    CHECK(queue.Pop(now, refused) == first);
  }

  SECTION("with a share for classes that can wait") {
    const std::uint64_t deferrable = add(kDeferrable);
    for (int i = 0; i < 100; ++i) {
      add(kLoose);
    }
    int turn = 1;
    while (queue.Pop(now, refused) != deferrable) {
      turn += 1;
    }
    CHECK(turn > 1);
    CHECK(turn <= 1 / request_queue::kMinDeferrableShare + 1);
  }

  SECTION("and leaves out removed requests") {
    const std::uint64_t first = add(kLoose);
    const std::uint64_t second = add(kLoose);
    CHECK(queue.Erase(first));
    CHECK_FALSE(queue.Erase(first));
    CHECK(queue.Pop(now, refused) == second);
  }

  SECTION("and refuses requests that cannot finish in time while others can") {
    const std::uint64_t hopeless = add(kTight, milliseconds(300));
    const std::uint64_t other = add(kTight);
    CHECK(queue.Pop(now, refused) == other);
    CHECK(refused == std::vector<std::uint64_t>{hopeless});
  }

  SECTION("but runs such a request late if nothing else is queued") {
    const std::uint64_t hopeless = add(kTight, milliseconds(300));
    CHECK(queue.Pop(now, refused) == hopeless);
  }
}

// After a tight class was published and removed again, the remaining loose
// class may wait as long as before.
TEST_CASE("A removed class does not affect admission") {
  request_queue queue;
  const time_point now(std::chrono::hours(1));
  queue.OnServed(kTight, milliseconds(10), true);
  std::uint64_t last = 0;
  const auto fill = [&] {
    std::size_t admitted = 0;
    while (queue.Offer({++last, now, now + seconds(9)}, kLoose, 1, 0, now)
               .admitted) {
      admitted += 1;
    }
    return admitted;
  };
  const std::size_t before = fill();
  CHECK(fill() == 0);
  queue.RetainClasses({kLoose});
  CHECK(fill() > before / 3);
}

TEST_CASE("A class whose target is shorter than its service time still runs") {
  request_queue queue;
  const time_point now(std::chrono::hours(1));
  for (int i = 0; i < 100; ++i) {
    queue.OnServed(kTight, seconds(1), false);
  }
  const queue_item item{1, now, now + seconds(10)};
  CHECK(queue.Offer(item, kTight, 1, 1, now).admitted);
  std::vector<std::uint64_t> refused;
  CHECK(queue.Pop(now, refused) == 1u);
}

}  // namespace
}  // namespace plantainhead::core
