// Measures the claims over a log of limited rate, in virtual time: claims a
// second, time to a grant, appends, bytes read, processor time and memory.
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(500000)};
constexpr int kAppendsPerSecond = 300;
constexpr std::size_t kEntries = 9;
// What a record takes on the wire beside its key and id: type, author,
// incarnation, request, time and the framing of the log.
constexpr std::size_t kRecordOverhead = 64;

/// Who claims a key.
enum class claimant_choice { kHomeOfPartition, kEachEntryForItself };

struct bench_case {
  claimant_choice choice = claimant_choice::kHomeOfPartition;
  int claims_per_second = 0;
  duration least_latency{};
  duration longest_latency{};
  /// The log refuses everything in between.
  duration outage_begin{};
  duration outage_end{};
  duration run = seconds(20);
};

class claims_bench {
 public:
  explicit claims_bench(const bench_case& what) : what_(what) {
    fleet_state state;
    for (std::size_t i = 0; i < kEntries; ++i) {
      const auto who = static_cast<incarnation>((i + 1) * 7919);
      state.members[who].who = who;
      entries_.push_back(std::make_unique<entry>(who));
    }
    for (const auto& entry : entries_) {
      fleet_state own;
      own.members[entry->self].who = entry->self;
      const bool for_itself = what.choice != claimant_choice::kHomeOfPartition;
      entry->core.OnViewChanged(for_itself ? own : state, {}, now_, entry->out);
      CarryOut(*entry);
    }
    for (std::uint32_t i = 0; i < kClaimPartitions; ++i) {
      homes_.push_back(CoordinatorOf(i, state, {}));
    }
  }

  void Run() {
    At(now_, [this] { Arrive(); });
    At(now_, [this] { TickAll(); });
    while (!steps_.empty() && steps_.top().at < kStart + what_.run) {
      now_ = steps_.top().at;
      const auto what = steps_.top().what;
      steps_.pop();
      what();
    }
    if (what_.outage_end > duration::zero()) {
      PrintOutage();
    } else {
      Print();
    }
  }

 private:
  struct entry {
    explicit entry(incarnation who)
        : self(who), core(claim_options(), who, &ids) {}

    incarnation self;
    append_ids ids;
    claims core;
    effects out;
    std::vector<claim_decision> decisions;
    std::map<stream_name, log_offset> read_to;
    std::set<stream_name> reading;
    std::uint64_t bytes_read = 0;
    std::clock_t spent = 0;
  };
  struct step {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> what;

    bool operator<(const step& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void At(time_point at, std::function<void()> what) {
    steps_.push({at, ++last_step_, std::move(what)});
  }

  duration Latency() {
    return duration(std::uniform_int_distribution<std::int64_t>(
        what_.least_latency.count(), what_.longest_latency.count())(random_));
  }

  // Runs `what` on an entry and adds its processor time.
  template <typename Callable>
  void On(entry& at, Callable what) {
    const std::clock_t before = std::clock();
    what();
    at.spent += std::clock() - before;
    CarryOut(at);
  }

  void Arrive() {
    const claim_key key("bench-caller/" + std::to_string(random_()) + "-" +
                        std::to_string(++asked_));
    const std::size_t via = random_() % kEntries;
    entry* at = entries_[via].get();
    if (what_.choice == claimant_choice::kHomeOfPartition) {
      const incarnation home = homes_[PartitionOf(key)];
      at = std::find_if(entries_.begin(), entries_.end(), [&](const auto& e) {
             return e->self == home;
           })->get();
    }
    const request_id request{at->self, asked_};
    asked_at_.push_back(now_);
    keys_.push_back(key);
    On(*at, [&] {
      at->core.Acquire(key, request, now_ + seconds(30), now_, at->out,
                       at->decisions);
    });
    std::exponential_distribution<double> gap(what_.claims_per_second);
    At(now_ + duration(static_cast<std::int64_t>(gap(random_) * 1e6)),
       [this] { Arrive(); });
  }

  void TickAll() {
    for (const auto& entry : entries_) {
      On(*entry,
         [&] { entry->core.OnTick(now_, entry->out, entry->decisions); });
    }
    At(now_ + kTickInterval, [this] { TickAll(); });
  }

  void CarryOut(entry& at) {
    for (const action& item : std::exchange(at.out.actions, {})) {
      std::visit(
          overloaded{[&](const append_records& append) { Append(at, append); },
                     [&](const follow_stream& follow) {
                       at.read_to[follow.stream] = follow.after;
                       Read(at, follow.stream);
                     },
                     [](const auto&) {}},
          item);
    }
    for (const claim_decision& decision : std::exchange(at.decisions, {})) {
      if (decision.verdict == claim_verdict::kGranted) {
        const auto waited = now_ - asked_at_[decision.request.sequence - 1];
        grant_times_.push_back(static_cast<double>(waited.count()) / 1000.0);
        Finish(at, decision.request);
        if (now_ >= kStart + what_.outage_end) {
          first_grant_after_ = std::min(first_grant_after_, now_);
        }
      } else {
        ++refused_;
        const auto waited = now_ - asked_at_[decision.request.sequence - 1];
        longest_refusal_ = std::max(longest_refusal_, waited);
        last_refusal_ = now_;
      }
    }
  }

  // Ends a granted request with a small answer.
  void Finish(entry& at, request_id request) {
    response answer;
    answer.status = 200;
    answer.result = outcome::kDone;
    answer.body = body_;
    On(at, [&] {
      at.core.Complete(keys_[request.sequence - 1], request, answer, now_);
    });
  }

  // The log takes one append after the other at its rate.
  void Append(entry& at, const append_records& append) {
    log_free_ =
        std::max(log_free_, now_) + duration(seconds(1)) / kAppendsPerSecond;
    const time_point landed = log_free_ + Latency();
    ++appends_;
    if (IsOut()) {
      At(landed, [this, &at, append] {
        On(at, [&] {
          at.core.OnAppendFinished({append.append, append_result::kUnknown, 0},
                                   now_, at.out);
        });
      });
      return;
    }
    At(landed, [this, &at, append] {
      auto& records = log_[append.stream];
      const log_offset first = records.size() + 1;
      records.insert(records.end(), append.records.begin(),
                     append.records.end());
      for (const auto& entry : entries_) {
        if (entry->read_to.count(append.stream) > 0) {
          Read(*entry, append.stream);
        }
      }
      On(at, [&] {
        at.core.OnAppendFinished(
            {append.append, append_result::kAppended, first}, now_, at.out);
      });
    });
  }

  // A read that waits for records returns them after a latency.
  void Read(entry& at, const stream_name& stream) {
    if (!at.reading.insert(stream).second) {
      return;
    }
    At(now_ + Latency(), [this, &at, stream] {
      at.reading.erase(stream);
      if (IsOut()) {
        On(at, [&] {
          at.core.OnLogUnavailable({stream, "out"}, now_, at.out, at.decisions);
        });
        Read(at, stream);
        return;
      }
      const std::vector<record>& records = log_[stream];
      log_offset& read_to = at.read_to[stream];
      log_read read;
      read.stream = stream;
      read.begin = 1;
      read.end = records.size();
      for (; read_to < read.end; ++read_to) {
        read.entries.push_back({read_to + 1, records[read_to]});
        at.bytes_read += BytesOf(records[read_to]);
      }
      On(at, [&] { at.core.OnLogRead(read, now_, at.out, at.decisions); });
    });
  }

  bool IsOut() const {
    return now_ >= kStart + what_.outage_begin &&
           now_ < kStart + what_.outage_end;
  }

  static std::size_t BytesOf(const record& item) {
    const auto* claim = std::get_if<claim_request>(&item.body);
    const std::size_t key = claim == nullptr ? 0 : claim->key.value().size();
    return kRecordOverhead + item.id.value().size() + key;
  }

  double GrantTime(double share) {
    if (grant_times_.empty()) {
      return 0;
    }
    std::sort(grant_times_.begin(), grant_times_.end());
    const auto last = static_cast<double>(grant_times_.size() - 1);
    return grant_times_[static_cast<std::size_t>(last * share)];
  }

  void PrintOutage() {
    const auto ms = [](duration time) {
      return static_cast<double>(time.count()) / 1000.0;
    };
    const time_point back = kStart + what_.outage_end;
    const duration out = what_.outage_end - what_.outage_begin;
    const double share =
        static_cast<double>(refused_) / static_cast<double>(asked_);
    std::printf(
        "outage of %.0f s in %.0f s at %d/s: refused %.1f%%, longest wait for "
        "a refusal %.0f ms, first grant %.0f ms and last refusal %.0f ms after "
        "the log was back\n",
        ms(out) / 1000, ms(what_.run) / 1000, what_.claims_per_second,
        100 * share, ms(longest_refusal_), ms(first_grant_after_ - back),
        ms(last_refusal_ - back));
  }

  void Print() {
    const double run = std::chrono::duration<double>(what_.run).count();
    double spent = 0;
    double most_bytes = 0;
    for (const auto& entry : entries_) {
      spent += static_cast<double>(entry->spent) / CLOCKS_PER_SEC;
      most_bytes = std::max(most_bytes, static_cast<double>(entry->bytes_read));
    }
    const bool by_home = what_.choice == claimant_choice::kHomeOfPartition;
    std::printf(
        "%-8s latency %2lld-%2lld ms  asked %6.0f/s  granted %6.0f/s  refused "
        "%5.1f%%  appends %4.0f/s  p50 %4.0f ms  p99 %5.0f ms  cpu %5.1f "
        "us/claim  read by busiest entry %6.0f KB/s\n",
        by_home ? "home" : "each",
        static_cast<long long>(what_.least_latency.count() / 1000),
        static_cast<long long>(what_.longest_latency.count() / 1000),
        static_cast<double>(asked_) / run,
        static_cast<double>(grant_times_.size()) / run,
        100.0 * static_cast<double>(refused_) / static_cast<double>(asked_),
        static_cast<double>(appends_) / run, GrantTime(0.5), GrantTime(0.99),
        spent * 1e6 / static_cast<double>(asked_), most_bytes / 1000 / run);
  }

  const bench_case what_;
  time_point now_ = kStart;
  std::mt19937_64 random_{42};
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<incarnation> homes_;
  std::map<stream_name, std::vector<record>> log_;
  time_point log_free_ = kStart;
  std::priority_queue<step> steps_;
  std::uint64_t last_step_ = 0;
  std::uint64_t asked_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t appends_ = 0;
  duration longest_refusal_{};
  time_point first_grant_after_ = time_point::max();
  time_point last_refusal_;
  std::vector<time_point> asked_at_;
  std::vector<claim_key> keys_;
  const shared_body body_ = std::make_shared<const std::string>(200, 'a');
  std::vector<double> grant_times_;
};

// Reads a stream full of others' claims, as a home that takes over does.
void MeasureTakeover() {
  constexpr std::size_t kClaims = 100000;
  constexpr std::size_t kBatch = 1000;
  std::vector<log_read> reads;
  for (std::size_t i = 0; i < kClaims; ++i) {
    if (i % kBatch == 0) {
      reads.emplace_back();
      reads.back().stream = ClaimStream(0);
      reads.back().begin = 1;
      reads.back().end = kClaims;
    }
    const auto other = static_cast<incarnation>(2);
    log_entry entry;
    entry.offset = i + 1;
    entry.content.body =
        claim_request{claim_key("bench-caller/" + std::to_string(i)),
                      other,
                      {other, i},
                      kStart};
    reads.back().entries.push_back(std::move(entry));
  }
  append_ids ids;
  const auto self = static_cast<incarnation>(1);
  claims core(claim_options(), self, &ids);
  fleet_state state;
  state.members[self].who = self;
  effects out;
  std::vector<claim_decision> decisions;
  core.OnViewChanged(state, {}, kStart, out);
  const std::size_t memory = mallinfo2().uordblks;
  const std::clock_t before = std::clock();
  for (const log_read& read : reads) {
    core.OnLogRead(read, kStart, out, decisions);
  }
  const double spent =
      static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  const std::size_t grown = mallinfo2().uordblks - memory;
  std::printf(
      "takeover: %zu claims read in %.1f ms, %.2f us and %.0f bytes "
      "of memory a claim\n",
      core.stats(kStart).claims_held, spent * 1e3, spent * 1e6 / kClaims,
      static_cast<double>(grown) / kClaims);
}

// What the timers cost an entry that has nothing to claim.
void MeasureIdle() {
  constexpr int kTicks = 1000000;
  append_ids ids;
  const auto self = static_cast<incarnation>(1);
  claims core(claim_options(), self, &ids);
  effects out;
  std::vector<claim_decision> decisions;
  const std::clock_t before = std::clock();
  for (int i = 0; i < kTicks; ++i) {
    core.OnTick(kStart + kTickInterval * i, out, decisions);
  }
  const double spent =
      static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  std::printf("idle: %.2f us a tick\n", spent * 1e6 / kTicks);
}

}  // namespace
}  // namespace plantainhead::core

int main() {
  using plantainhead::core::bench_case;
  using plantainhead::core::claimant_choice;
  using std::chrono::milliseconds;
  plantainhead::core::MeasureTakeover();
  plantainhead::core::MeasureIdle();
  for (const auto choice : {claimant_choice::kHomeOfPartition,
                            claimant_choice::kEachEntryForItself}) {
    for (const int rate : {100, 1000, 10000}) {
      const bench_case what{choice, rate, milliseconds(10), milliseconds(50)};
      plantainhead::core::claims_bench(what).Run();
    }
  }
  const bench_case twice{claimant_choice::kHomeOfPartition, 20000,
                         milliseconds(10), milliseconds(50)};
  plantainhead::core::claims_bench(twice).Run();
  bench_case outage{claimant_choice::kHomeOfPartition, 100, milliseconds(10),
                    milliseconds(50)};
  outage.run = std::chrono::seconds(120);
  outage.outage_begin = std::chrono::seconds(30);
  for (const int length : {1, 10, 60}) {
    outage.outage_end = outage.outage_begin + std::chrono::seconds(length);
    plantainhead::core::claims_bench(outage).Run();
  }
}
