// Compares ways in which entries watch one another: bytes for each node, time
// to suspect and to expel a dead entry, false suspicions under a freeze. Many
// memberships run against one fold in virtual time; frames are really encoded.
//
//     build/membership_bench [ENTRIES]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/core/membership/membership.h"
#include "plantainhead/core/random.h"
#include "plantainhead/entry/frame_codec.h"

namespace plantainhead {
namespace {

using core::duration;
using core::incarnation;
using core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 3;
constexpr int kServices = 5;
constexpr int kRuns = 20;
// IPv4 and TCP with timestamps, for a frame and for its acknowledgement.
constexpr std::size_t kSegmentOverhead = 52;
// From the append of a record until all have read it back.
constexpr duration kLogDelay = milliseconds(60);
const time_point kStart{std::chrono::hours(24 * 365 * 55)};

// A number that belongs to one entry process.
incarnation Who(std::size_t index) {
  return incarnation{1000 + index * 7919};
}

core::entry_member MakeMember(std::size_t index) {
  core::entry_member member;
  member.who = Who(index);
  member.name = core::entry_id("entry-" + std::to_string(index));
  member.zone = core::zone_id("zone-" + std::to_string(index % kZones));
  member.host = "10.0.0." + std::to_string(index);
  member.peer_port = 7400;
  return member;
}

struct simulated_entry {
  explicit simulated_entry(std::size_t index,
                           const core::membership_options& options)
      : self(MakeMember(index), options) {}

  core::membership self;
  time_point next_tick;
  // Neither ticks nor reads before this.
  time_point frozen_until;
  std::deque<core::peer_frame> unread;
  std::size_t frames = 0;
  std::size_t bytes = 0;
};

class simulation {
 public:
  simulation(std::size_t size,
             const core::membership_options& options,
             unsigned seed)
      : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      entries_.push_back(std::make_unique<simulated_entry>(i, options));
      entries_[i]->next_tick = now_ + duration(random_() % 20000);
    }
    contents_.ready = true;
    contents_.caught_up = true;
    contents_.digest = 0x123456789abcdef0;
    for (int i = 0; i < kServices; ++i) {
      contents_.load.push_back(
          {core::service_name("service-" + std::to_string(i)), 48, 17, 3});
    }
    // A fault hits at any point between two heartbeats.
    Run(seconds(10) + duration(random_() % 200000));
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(1);
      DeliverDue();
      for (auto& item : entries_) {
        Step(*item);
      }
    }
  }

  // Runs until `done` holds; returns the time that it took, or nothing.
  template <typename Condition>
  std::optional<duration> RunUntil(duration limit, Condition done) {
    const time_point from = now_;
    while (now_ - from < limit) {
      if (done()) {
        return now_ - from;
      }
      Run(milliseconds(5));
    }
    return std::nullopt;
  }

  void Freeze(std::size_t index, duration time) {
    entries_[index]->frozen_until = now_ + time;
  }

  // Loses what this entry is sent, and what it sends if `both_ways`. It still
  // reaches the log.
  void Cut(std::size_t index, bool both_ways) {
    deaf_ = Who(index);
    mute_ = both_ways ? deaf_ : incarnation::kNone;
  }

  bool IsMember(std::size_t index) const {
    return fleet_.members.contains(Who(index));
  }

  std::size_t Suspecters(std::size_t of) const {
    std::size_t count = 0;
    for (const auto& item : entries_) {
      count += item->frozen_until <= now_ && item->self.Suspects(Who(of));
    }
    return count;
  }

  std::size_t size() const { return entries_.size(); }
  std::size_t records() const { return records_; }
  simulated_entry& entry(std::size_t index) { return *entries_[index]; }

 private:
  struct flying_frame {
    incarnation to = incarnation::kNone;
    core::peer_frame frame;
  };

  void Step(simulated_entry& entry) {
    if (entry.frozen_until > now_) {
      return;
    }
    while (!entry.unread.empty()) {
      entry.self.OnFrame(entry.unread.front(), now_);
      entry.unread.pop_front();
    }
    if (now_ < entry.next_tick) {
      return;
    }
    entry.next_tick = now_ + core::kTickInterval;
    contents_.offset = fleet_.offset;
    core::effects out;
    entry.self.OnTick(fleet_, contents_, now_, out);
    for (core::record_body& body : out.records) {
      appended_.emplace_back(now_ + kLogDelay, std::move(body));
      ++records_;
    }
    for (core::action& item : out.actions) {
      if (auto* frame = std::get_if<core::send_frame>(&item)) {
        Send(entry, *frame);
      }
    }
  }

  void Send(simulated_entry& from, core::send_frame& item) {
    ++from.frames;
    from.bytes += entry::EncodeFrame(item.frame, now_).size();
    if (item.to == deaf_ || item.frame.from == mute_) {
      return;
    }
    const duration latency = milliseconds(1) + duration(random_() % 1000);
    flying_.emplace(now_ + latency,
                    flying_frame{item.to, std::move(item.frame)});
  }

  void DeliverDue() {
    while (!flying_.empty() && flying_.begin()->first <= now_) {
      flying_frame& item = flying_.begin()->second;
      const std::size_t index =
          (static_cast<std::uint64_t>(item.to) - 1000) / 7919;
      entries_[index]->unread.push_back(std::move(item.frame));
      flying_.erase(flying_.begin());
    }
    while (!appended_.empty() && appended_.front().first <= now_) {
      core::log_entry entry;
      entry.offset = fleet_.offset + 1;
      entry.content.id = core::record_id(std::to_string(entry.offset));
      entry.content.body = std::move(appended_.front().second);
      core::Apply(fleet_, entry);
      appended_.pop_front();
    }
  }

  core::random_source random_;
  time_point now_ = kStart;
  core::fleet_state fleet_;
  core::heartbeat_contents contents_;
  std::vector<std::unique_ptr<simulated_entry>> entries_;
  std::multimap<time_point, flying_frame> flying_;
  std::deque<std::pair<time_point, core::record_body>> appended_;
  std::size_t records_ = 0;
  incarnation deaf_ = incarnation::kNone;
  incarnation mute_ = incarnation::kNone;
};

struct watch_way {
  const char* name;
  core::membership_options options;
};

// Prints the least, median and greatest of `values` in milliseconds.
std::string Spread(std::vector<duration> values, int missing) {
  if (values.empty()) {
    return "never";
  }
  std::sort(values.begin(), values.end());
  const auto ms = [](duration value) {
    return std::to_string(value.count() / 1000);
  };
  std::string text = ms(values.front()) + "/" + ms(values[values.size() / 2]) +
                     "/" + ms(values.back());
  return missing == 0 ? text : text + " +" + std::to_string(missing) + " never";
}

void MeasureBytes(std::size_t size, const watch_way& way) {
  constexpr int kSeconds = 30;
  simulation run(size, way.options, 1);
  for (std::size_t i = 0; i < size; ++i) {
    run.entry(i).frames = 0;
    run.entry(i).bytes = 0;
  }
  const auto before = std::chrono::steady_clock::now();
  run.Run(seconds(kSeconds));
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - before;
  std::size_t frames = 0;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < size; ++i) {
    frames += run.entry(i).frames;
    bytes += run.entry(i).bytes;
  }
  const double nodes = static_cast<double>(size) * kSeconds;
  const double each = bytes / nodes;
  const double per_second = frames / nodes;
  std::printf(
      "%3zu %-12s %7.1f frames/s %8.0f B/s  with TCP/IP and acks %8.0f B/s  "
      "%6.3f%% core\n",
      size, way.name, per_second, each,
      each + 2 * kSegmentOverhead * per_second, 100 * spent.count() / nodes);
}

void MeasureCrash(std::size_t size, const watch_way& way) {
  std::vector<duration> suspected;
  std::vector<duration> expelled;
  int missing = 0;
  std::size_t records = 0;
  for (int seed = 1; seed <= kRuns; ++seed) {
    simulation run(size, way.options, seed);
    const std::size_t victim = size / 2;
    const std::size_t before = run.records();
    run.Freeze(victim, std::chrono::hours(1));
    const auto first = run.RunUntil(
        seconds(20), [&] { return run.Suspecters(victim) * 2 >= size - 1; });
    const auto gone =
        run.RunUntil(seconds(20), [&] { return !run.IsMember(victim); });
    if (!first || !gone) {
      ++missing;
      continue;
    }
    suspected.push_back(*first);
    expelled.push_back(*first + *gone);
    records += run.records() - before;
  }
  std::printf(
      "%3zu %-12s crash: half suspect %s ms, expelled %s ms, %zu "
      "records a crash\n",
      size, way.name, Spread(suspected, missing).c_str(),
      Spread(expelled, missing).c_str(), records / kRuns);
}

void MeasureZoneLoss(std::size_t size, const watch_way& way) {
  std::vector<duration> expelled;
  int missing = 0;
  for (int seed = 1; seed <= kRuns; ++seed) {
    simulation run(size, way.options, seed);
    std::set<std::size_t> lost;
    for (std::size_t i = 0; i < size; i += kZones) {
      run.Freeze(i, std::chrono::hours(1));
      lost.insert(i);
    }
    const auto gone = run.RunUntil(seconds(30), [&] {
      return std::none_of(lost.begin(), lost.end(),
                          [&](std::size_t i) { return run.IsMember(i); });
    });
    if (gone) {
      expelled.push_back(*gone);
    } else {
      ++missing;
    }
  }
  std::printf("%3zu %-12s zone loss: all expelled %s ms\n", size, way.name,
              Spread(expelled, missing).c_str());
}

void MeasureFreeze(std::size_t size, const watch_way& way, duration time) {
  std::size_t suspecters = 0;
  std::size_t records = 0;
  int expelled = 0;
  int others_expelled = 0;
  for (int seed = 1; seed <= kRuns; ++seed) {
    simulation run(size, way.options, seed);
    const std::size_t victim = size / 2;
    const std::size_t before = run.records();
    run.Freeze(victim, time);
    std::size_t most = 0;
    run.RunUntil(time + seconds(8), [&] {
      most = std::max(most, run.Suspecters(victim));
      return false;
    });
    suspecters += most;
    records += run.records() - before;
    expelled += !run.IsMember(victim);
    for (std::size_t i = 0; i < size; ++i) {
      others_expelled += i != victim && !run.IsMember(i);
    }
  }
  std::printf(
      "%3zu %-12s freeze %4lld ms: suspected by %.1f, %.1f records, "
      "expelled in %d of %d runs, others expelled %d\n",
      size, way.name, static_cast<long long>(time.count() / 1000),
      static_cast<double>(suspecters) / kRuns,
      static_cast<double>(records) / kRuns, expelled, kRuns, others_expelled);
}

void MeasureCut(std::size_t size, const watch_way& way, bool both_ways) {
  int expelled = 0;
  int others_expelled = 0;
  std::size_t records = 0;
  for (int seed = 1; seed <= kRuns; ++seed) {
    simulation run(size, way.options, seed);
    const std::size_t victim = size / 2;
    const std::size_t before = run.records();
    run.Cut(victim, both_ways);
    run.Run(seconds(10));
    records += run.records() - before;
    expelled += !run.IsMember(victim);
    for (std::size_t i = 0; i < size; ++i) {
      others_expelled += i != victim && !run.IsMember(i);
    }
  }
  std::printf(
      "%3zu %-12s %s: expelled in %d of %d runs, others expelled %d, "
      "%.1f records\n",
      size, way.name, both_ways ? "cut off" : "deaf", expelled, kRuns,
      others_expelled, static_cast<double>(records) / kRuns);
}

void MeasureAll(std::size_t size) {
  std::vector<watch_way> ways;
  watch_way all{"all-to-all", {}};
  all.options.watchers = size;
  ways.push_back(all);
  for (const auto& [name, watchers] :
       {std::pair{"ring of 2", 2}, {"ring of 3", 3}, {"ring of 4", 4}}) {
    watch_way ring{name, {}};
    ring.options.watchers = watchers;
    ways.push_back(ring);
  }
  watch_way patient{"3, after 4 s", {}};
  patient.options.suspicion_timeout = seconds(4);
  ways.push_back(patient);
  for (const watch_way& way : ways) {
    MeasureBytes(size, way);
    MeasureCrash(size, way);
    MeasureZoneLoss(size, way);
    MeasureFreeze(size, way, milliseconds(800));
    MeasureFreeze(size, way, seconds(3));
    MeasureCut(size, way, false);
    MeasureCut(size, way, true);
  }
}

void PrintSizes() {
  core::heartbeat beat;
  beat.sequence = 123456;
  beat.offset = 123456;
  beat.digest = 0x123456789abcdef0;
  beat.ready = true;
  beat.complete = false;
  core::peer_frame frame{Who(1), 123456, beat};
  const std::size_t small = entry::EncodeFrame(frame, kStart).size();
  beat.complete = true;
  for (int i = 0; i < kServices; ++i) {
    beat.load.push_back(
        {core::service_name("service-" + std::to_string(i)), 48, 17, 3});
  }
  frame.message = beat;
  const std::size_t complete = entry::EncodeFrame(frame, kStart).size();
  std::printf("heartbeat: small %zu B, complete with %d services %zu B\n",
              small, kServices, complete);
  for (const std::size_t size : {9, 33, 99}) {
    std::printf("complete to all every 200 ms, computed: %zu entries %zu B/s\n",
                size, (size - 1) * 5 * complete);
  }
}

}  // namespace
}  // namespace plantainhead

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc > 1) {
    plantainhead::MeasureAll(std::strtoul(argv[1], nullptr, 10));
    return 0;
  }
  plantainhead::PrintSizes();
  for (const std::size_t size : {9, 33, 99}) {
    plantainhead::MeasureAll(size);
  }
}
