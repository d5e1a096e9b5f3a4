#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "owner_model.h"
#include "routing_models.h"

/// Compares ways of routing on the same recorded arrivals in virtual time, and
/// measures how long one decision takes.
namespace plantainhead::bench {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr duration kLength = seconds(20);
constexpr duration kFaultAt = seconds(8);
/// The entry that the fault befalls.
constexpr std::size_t kFaulty = 4;

double Milliseconds(duration time) {
  return static_cast<double>(time.count()) / 1000;
}

double Percentile(std::vector<duration> waits, double part) {
  if (waits.empty()) {
    return 0;
  }
  const auto at =
      static_cast<std::ptrdiff_t>(part * static_cast<double>(waits.size() - 1));
  std::nth_element(waits.begin(), waits.begin() + at, waits.end());
  return Milliseconds(waits[static_cast<std::size_t>(at)]);
}

/// Returns the waits of what arrived in [from, to) after the start, at any
/// entry but `except`.
std::vector<duration> WaitsOf(const scene& at,
                              duration from,
                              duration to,
                              std::size_t except = kEntries) {
  std::vector<duration> waits;
  const time_point start = time_point(std::chrono::hours(1));
  for (std::size_t i = 0; i < at.arrivals.size(); ++i) {
    const duration since = at.arrivals[i].at - start;
    if (at.endings[i].started && since >= from && since < to &&
        at.arrivals[i].entry != except) {
      waits.push_back(at.endings[i].wait);
    }
  }
  return waits;
}

void Report(const std::string& name, const scene& at) {
  const std::vector<duration> waits = WaitsOf(at, duration(), kLength);
  std::uint64_t calls = 0;
  std::uint64_t overshoots = 0;
  for (const endpoint_model& endpoint : at.endpoints) {
    calls += endpoint.calls;
    overshoots += endpoint.overshoots;
  }
  int hops = 0;
  int refused = 0;
  int unknown = 0;
  int open = 0;
  for (const ending& end : at.endings) {
    hops += end.hops;
    refused += end.refused ? 1 : 0;
    unknown += end.unknown ? 1 : 0;
    open += end.done || end.refused || end.unknown ? 0 : 1;
  }
  std::printf(
      "%-28s overshoot %6.2f%%  wait ms p50 %7.2f p99 %7.2f p99.9 %7.2f  hops "
      "%.2f  refused %5d  unknown %4d  no answer %4d\n",
      name.c_str(),
      100.0 * static_cast<double>(overshoots) / static_cast<double>(calls),
      Percentile(waits, 0.5), Percentile(waits, 0.99), Percentile(waits, 0.999),
      static_cast<double>(hops) / static_cast<double>(at.endings.size()),
      refused, unknown, open);
}

template <typename Model>
void Play(scene& at, Model& model) {
  for (std::size_t i = 0; i < at.arrivals.size(); ++i) {
    at.time.At(at.arrivals[i].at, [&model, i] { model.Arrive(i); });
  }
  at.time.RunUntil(time_point(std::chrono::hours(1)) + kLength + seconds(10));
}

template <typename Model>
void Compare(const std::string& name, double load) {
  scene at(load, kLength, kSeed);
  Model model(&at);
  Play(at, model);
  Report(name, at);
}

using fault = void (*)(owner_model&);

void Disturb(const std::string& name, double load, fault what) {
  scene at(load, kLength, kSeed);
  owner_model model(&at);
  at.time.At(time_point(std::chrono::hours(1)) + kFaultAt,
             [&] { what(model); });
  Play(at, model);
  Report(name, at);
  for (const std::size_t except : {kEntries, kFaulty}) {
    std::printf("  p99 wait ms by 500 ms from the fault, %s:",
                except == kFaulty ? "other entries" : "all entries");
    for (int i = -1; i < 9; ++i) {
      const duration from = kFaultAt + i * milliseconds(500);
      const auto waits = WaitsOf(at, from, from + milliseconds(500), except);
      std::printf(" %.1f", Percentile(waits, 0.99));
    }
    std::printf("\n");
  }
}

// --- time of one decision
// ------------------------------------------------------

struct decision_figures {
  double arrival_ns = 0;
  double cycle_ns = 0;
  double rebuild_us = 0;
};

/// Returns the processor time of this thread, so that other programs on the
/// machine count as little as can be.
double ThreadNanoseconds() {
  timespec time;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

template <typename Step>
double Nanoseconds(const Step& step) {
  const double start = ThreadNanoseconds();
  step();
  return ThreadNanoseconds() - start;
}

/// One entry of a fleet of `workers` endpoints over `entries` entries.
class decision_probe {
 public:
  decision_probe(std::size_t workers, std::size_t entries) {
    for (std::size_t i = 0; i < kServices; ++i) {
      const core::service_name name("service-" + std::to_string(i));
      core::work_class work;
      work.name = core::class_name("class-" + std::to_string(i));
      work.service = name;
      fleet_.targets.services.push_back({name, {}});
      fleet_.targets.classes.push_back(work);
    }
    for (std::size_t i = 0; i < entries; ++i) {
      core::entry_member member;
      member.who = static_cast<core::incarnation>(i + 1);
      member.zone = core::zone_id("zone-" + std::to_string(i % kZones));
      fleet_.members[member.who] = member;
    }
    for (std::size_t i = 0; i < workers; ++i) {
      core::vm_listing listing;
      listing.vm = core::vm_id("vm-" + std::to_string(i));
      listing.zone = core::zone_id("zone-" + std::to_string(i % kZones));
      listing.port = 1;
      listing.slots = kSlots;
      listing.service = fleet_.targets.services[i % kServices].name;
      listings_.push_back(listing);
    }
  }

  decision_figures Measure() {
    constexpr int kRebuilds = 20;
    constexpr int kBatches = 2000;
    decision_figures figures;
    figures.rebuild_us = Nanoseconds([&] {
                           for (int i = 0; i < kRebuilds; ++i) {
                             table_.Rebuild(fleet_, listings_, kSelf, {});
                           }
                         }) /
                         kRebuilds / 1000;
    for (int i = 0; i < kBatches; ++i) {
      MakeBatch();
      core::effects out;
      const double arrival = Nanoseconds([&] { Arrive(out); });
      const double end = Nanoseconds([&] { End(out); });
      figures.arrival_ns += arrival / kBatches / kBatch;
      figures.cycle_ns += (arrival + end) / kBatches / kBatch;
    }
    return figures;
  }

 private:
  static constexpr core::incarnation kSelf{1};
  static constexpr int kBatch = 32;

  core::routing_context Context() const {
    return {fleet_, table_, suspects_, kSelf, true};
  }

  void MakeBatch() {
    now_ += milliseconds(3);
    batch_.clear();
    for (int i = 0; i < kBatch; ++i) {
      sequence_ += 1;
      core::request_arrived& event = batch_.emplace_back();
      event.sequence = sequence_;
      event.request.service = fleet_.targets.services[i % kServices].name;
      event.request.work = fleet_.targets.classes[i % kServices].name;
      event.request.path = "/x";
      event.request.deadline = now_ + seconds(5);
    }
  }

  void Arrive(core::effects& out) {
    for (const core::request_arrived& event : batch_) {
      requests_.OnArrival(event, Context(), now_, out);
    }
  }

  void End(const core::effects& sent) {
    core::effects out;
    for (const core::action& item : sent.actions) {
      if (const auto* call = std::get_if<core::call_endpoint>(&item)) {
        requests_.OnEndpointReplied({call->call, 200, {}, nullptr}, Context(),
                                    now_, out);
      }
      if (const auto* frame = std::get_if<core::send_frame>(&item)) {
        const auto& request =
            std::get<core::forward_request>(frame->frame.message);
        core::forward_reply reply;
        reply.id = request.id;
        reply.answer.result = core::outcome::kDone;
        reply.load = {{request.request.service, kSlots, 0, 0}};
        requests_.OnReply(frame->to, reply, Context(), now_, out);
      }
    }
  }

  core::fleet_state fleet_;
  std::vector<core::vm_listing> listings_;
  core::endpoint_table table_;
  std::set<core::incarnation> suspects_;
  core::request_core requests_{kSelf, 1};
  time_point now_{std::chrono::hours(1)};
  std::uint64_t sequence_ = 0;
  std::vector<core::request_arrived> batch_;
};

void MeasureDecisions() {
  struct size {
    std::size_t workers;
    std::size_t entries;
  };
  for (const size& at : {size{50, 9}, size{200, 9}, size{520, 9}, size{50, 33},
                         size{200, 33}, size{520, 33}}) {
    const decision_figures found =
        decision_probe(at.workers, at.entries).Measure();
    std::printf(
        "%3zu workers, %2zu entries: OnArrival %.0f ns, arrival to answer %.0f "
        "ns, table rebuilt in %.0f us\n",
        at.workers, at.entries, found.arrival_ns, found.cycle_ns,
        found.rebuild_us);
  }
}

}  // namespace
}  // namespace plantainhead::bench

int main() {
  using namespace plantainhead::bench;
  for (const double load : {0.5, 0.7, 0.9}) {
    std::printf("load %.1f\n", load);
    Compare<owner_model>("one owner", load);
    Compare<fixed_share_model>("fixed share", load);
    Compare<local_least_loaded_model>("local least-loaded", load);
    Compare<two_choices_model>("two choices, load on answers", load);
  }
  std::printf("one owner, faults at load 0.7\n");
  Disturb("crash", 0.7, [](owner_model& model) { model.Crash(kFaulty); });
  Disturb("freeze for 2 s", 0.7,
          [](owner_model& model) { model.Freeze(kFaulty, seconds(2)); });
  Disturb("a member leaves the view", 0.7,
          [](owner_model& model) { model.Leave(kFaulty); });
  std::printf("time of one decision\n");
  MeasureDecisions();
  return 0;
}
