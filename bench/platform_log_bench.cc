// Measures the record codec and the platform link against the stand-in on the
// loopback interface. Without arguments it runs all parts but "idle" against a
// stand-in of its own. "idle PORT [POLICY THREADS]" measures what the link
// costs while nothing happens, against a fake-platform of another process,
// under a policy ("stealing", "sharing") and number of threads of CAF's
// scheduler.

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <httplib.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/platform/platform_link.h"
#include "plantainhead/platform/record_codec.h"
#include "platform_server.h"

namespace {

using namespace plantainhead;
using steady = std::chrono::steady_clock;

double Microseconds(steady::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

void PrintQuantiles(const char* name, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    return values[static_cast<std::size_t>(share * (values.size() - 1))];
  };
  std::printf("%-34s n=%zu p50=%.0f us p99=%.0f us max=%.0f us\n", name,
              values.size(), at(0.5), at(0.99), values.back());
}

core::record Claim(std::uint64_t number) {
  core::claim_request claim;
  claim.key = core::claim_key("caseworker-17/appeal-" + std::to_string(number));
  claim.claimant = core::incarnation{0x123456789ABCDEF0ULL};
  claim.request = {claim.claimant, number};
  claim.at = core::time_point(std::chrono::hours(490'000));
  return {core::record_id("123456789abcdef0-" + std::to_string(number)),
          "entry-3", claim};
}

// A fold of the size to design for.
core::fleet_state LargeState(std::size_t remembered) {
  core::fleet_state state;
  for (int i = 0; i < 93; ++i) {
    state.targets.teams.push_back(
        {core::team_id("team-" + std::to_string(i)), 6, 10});
  }
  for (int i = 0; i < 250; ++i) {
    const core::pool_id pool("pool-" + std::to_string(i));
    state.targets.pools.push_back({pool, state.targets.teams[i % 93].name, 1});
  }
  for (int i = 0; i < 520; ++i) {
    core::fleet_vm& vm = state.vms[core::vm_id("vm-" + std::to_string(i))];
    vm.pool = state.targets.pools[i % 250].name;
    vm.operation = core::operation_id("op-" + std::to_string(i * 977));
    vm.reason = "wave spring-2 reached its rack";
  }
  for (std::size_t i = 0; i < remembered; ++i) {
    const core::record_id id("123456789abcdef0-" + std::to_string(i));
    state.recent_records[i + 1] = id;
    state.recent_ids.insert(id);
  }
  return state;
}

void MeasureCodec() {
  constexpr int kRounds = 100'000;
  std::size_t bytes = 0;
  auto start = steady::now();
  for (int i = 0; i < kRounds; ++i) {
    bytes += platform::EncodeRecord(Claim(i)).size();
  }
  const double encode = Microseconds(steady::now() - start) / kRounds;
  const std::string text = platform::EncodeRecord(Claim(1));
  start = steady::now();
  for (int i = 0; i < kRounds; ++i) {
    if (platform::DecodeRecord(text).id.empty()) {
      std::abort();
    }
  }
  const double decode = Microseconds(steady::now() - start) / kRounds;
  std::printf("claim record: %zu bytes, encode %.2f us, decode %.2f us\n",
              bytes / kRounds, encode, decode);

  for (const std::size_t remembered :
       {std::size_t{0}, core::kRetainedRecordIds}) {
    const auto state =
        std::make_shared<const core::fleet_state>(LargeState(remembered));
    const core::record snapshot{core::record_id("s"), "entry-3",
                                core::snapshot_taken{state, 1}};
    start = steady::now();
    const std::string all = platform::EncodeRecord(snapshot);
    const double encode_all = Microseconds(steady::now() - start);
    start = steady::now();
    platform::DecodeRecord(all);
    std::printf(
        "snapshot of 520 VMs, %zu ids: %zu KB, encode %.1f ms, decode %.1f "
        "ms\n",
        remembered, all.size() / 1000, encode_all / 1000,
        Microseconds(steady::now() - start) / 1000);
  }
}

// Keeps the time at which each append was answered and each offset was read.
class recorder {
 public:
  void Put(const core::event& what) {
    const auto now = steady::now();
    const std::lock_guard lock(mutex_);
    if (const auto* read = std::get_if<core::log_read>(&what)) {
      records_ += read->entries.size();
      read_at_ = now;
    } else if (const auto* end = std::get_if<core::append_finished>(&what)) {
      appends_ += end->result == core::append_result::kAppended ? 1 : 0;
      answered_at_ = now;
    }
    changed_.notify_all();
  }

  void WaitFor(std::size_t appends, std::size_t records) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock,
                  [&] { return appends_ >= appends && records_ >= records; });
  }

  steady::time_point answered_at() const { return answered_at_; }
  steady::time_point read_at() const { return read_at_; }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t appends_ = 0;
  std::size_t records_ = 0;
  steady::time_point answered_at_;
  steady::time_point read_at_;
};

core::append_records Append(const core::stream_name& stream,
                            std::uint64_t first,
                            std::size_t count) {
  core::append_records action;
  action.append = core::append_id{first + 1};
  action.stream = stream;
  for (std::size_t i = 0; i < count; ++i) {
    action.records.push_back(Claim(first + i));
  }
  return action;
}

platform::platform_options OptionsFor(std::uint16_t port) {
  platform::platform_options options;
  options.port = port;
  return options;
}

void MeasureLatency(caf::actor_system& system, std::uint16_t port) {
  constexpr std::size_t kAppends = 2000;
  const core::stream_name stream("latency");
  recorder seen;
  platform::platform_link link(system, OptionsFor(port),
                               [&](const core::event& e) { seen.Put(e); });
  link.Follow({stream, 0});
  std::vector<double> answered;
  std::vector<double> read;
  for (std::size_t i = 0; i < kAppends; ++i) {
    const auto start = steady::now();
    link.Append(Append(stream, i, 1));
    seen.WaitFor(i + 1, i + 1);
    answered.push_back(Microseconds(seen.answered_at() - start));
    read.push_back(Microseconds(seen.read_at() - start));
  }
  link.Stop();
  PrintQuantiles("append to answer", answered);
  PrintQuantiles("append to read-back", read);
}

void MeasureThroughput(caf::actor_system& system,
                       std::uint16_t port,
                       std::size_t streams,
                       std::size_t records) {
  constexpr std::size_t kAppendsOfOne = 4000;
  const std::size_t appends =
      kAppendsOfOne / std::max<std::size_t>(1, records / 20);
  const std::string prefix =
      "t" + std::to_string(streams) + "-" + std::to_string(records) + "-";
  recorder seen;
  platform::platform_link link(system, OptionsFor(port),
                               [&](const core::event& e) { seen.Put(e); });
  for (std::size_t s = 0; s < streams; ++s) {
    link.Follow({core::stream_name(prefix + std::to_string(s)), 0});
  }
  const auto start = steady::now();
  for (std::size_t i = 0; i < appends; ++i) {
    const core::stream_name to(prefix + std::to_string(i % streams));
    link.Append(Append(to, i * records, records));
  }
  seen.WaitFor(appends, appends * records);
  const double seconds = Microseconds(steady::now() - start) / 1e6;
  link.Stop();
  std::printf(
      "%zu streams, %zu records an append: %.0f appends/s, %.0f records/s\n",
      streams, records, appends / seconds, appends * records / seconds);
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + time.tv_usec / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void MeasureIdle(caf::actor_system& system, std::uint16_t port) {
  constexpr auto kLength = std::chrono::seconds(20);
  constexpr int kStreams = 10;
  httplib::Client control("127.0.0.1", port);
  for (int i = 0; i < 520; ++i) {
    const std::string name = std::to_string(i);
    control.Post("/vms",
                 R"({"vm":"vm-)" + name + R"(","zone":"suwon","rack":"rack-)" +
                     name + R"(","pool":"pool-)" + name + "\"}",
                 "application/json");
  }
  platform::platform_link link(system, OptionsFor(port),
                               [](const core::event&) {});
  for (int i = 0; i < kStreams; ++i) {
    link.Follow({core::stream_name("s" + std::to_string(i)), 0});
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double before = CpuSeconds();
  std::this_thread::sleep_for(kLength);
  const double spent = CpuSeconds() - before;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf("idle with %d streams and 520 VMs: %.2f%% of a core, %ld MB\n",
              kStreams,
              100 * spent / std::chrono::duration<double>(kLength).count(),
              usage.ru_maxrss / 1000);
  link.Stop();
}

}  // namespace

int main(int argc, char** argv) {
  caf::actor_system_config config;
  if (argc == 5) {
    config.set("scheduler.policy", caf::atom_from_string(argv[3]));
    config.set("scheduler.max-threads",
               static_cast<std::size_t>(std::atoi(argv[4])));
  }
  caf::actor_system system(config);
  if (argc >= 3 && std::string(argv[1]) == "idle") {
    MeasureIdle(system, static_cast<std::uint16_t>(std::atoi(argv[2])));
    return 0;
  }
  MeasureCodec();
  const fakes::platform_server server({});
  MeasureLatency(system, server.port());
  MeasureThroughput(system, server.port(), 1, 1);
  MeasureThroughput(system, server.port(), 8, 1);
  MeasureThroughput(system, server.port(), 1, 100);
  MeasureThroughput(system, server.port(), 8, 100);
  return 0;
}
