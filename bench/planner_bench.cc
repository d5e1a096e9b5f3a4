// Measures the planner on seeded traces at three sizes: time and memory of a
// plan, and buffer cost, moves and roll-out time beside their lower bounds and
// two simple ways. Prints a few lines for each size.
//
//     planner_bench [seed] [workers]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "../tests/core/fleet/planner_harness.h"

namespace plantainhead::core {
namespace {

constexpr duration kMinute = std::chrono::minutes(1);
/// The load of each service swings once in this time.
constexpr duration kSwing = std::chrono::hours(4);
constexpr duration kSample = std::chrono::minutes(5);
constexpr duration kServiceTime = std::chrono::milliseconds(100);
/// Drains and reboots of the stand-in platform each take this.
constexpr duration kOperationTime = std::chrono::minutes(1);
constexpr double kSlots = 8.0;
constexpr double kFullTurn = 6.283;

/// A fleet to measure at.
struct fleet_size {
  const char* name;
  int workers;
  int zones;
  int services;
  int pools_per_service;
  int job_pools;
  int teams;
  int accelerators;
  int jobs;

  int pools() const { return services * pools_per_service + job_pools; }
};

constexpr fleet_size kSizes[] = {
    {"50 workers", 50, 3, 5, 1, 0, 5, 0, 0},
    {"200 workers", 200, 5, 20, 1, 20, 30, 300, 500},
    {"520 workers", 520, 11, 50, 2, 150, 93, 940, 2000},
};

std::string Numbered(const std::string& name, int number) {
  return name + "-" + std::to_string(number);
}

double SecondsOf(duration time) {
  return std::chrono::duration<double>(time).count();
}

/// The busy slots of each service over time: a slow swing of its own phase.
class demand_trace {
 public:
  demand_trace(const fleet_size& size, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> share(0.6, 1.4);
    std::uniform_real_distribution<double> turn(0.0, kFullTurn);
    const double workers = size.workers - size.job_pools;
    const double per_service = kSlots * 0.4 * workers / size.services;
    for (int i = 0; i < size.services; ++i) {
      means_.push_back(per_service * share(random));
      phases_.push_back(turn(random));
    }
  }
  double LoadOf(int service, duration at) const {
    const double turns = SecondsOf(at) / SecondsOf(kSwing);
    const double swing = std::sin(phases_[service] + kFullTurn * turns);
    return means_[service] * (1.0 + 0.5 * swing);
  }

 private:
  std::vector<double> means_;
  std::vector<double> phases_;
};

/// The planner with a fleet of one size around it.
class bench_world : public planner_harness {
 public:
  bench_world(const fleet_size& size, std::uint64_t seed)
      : size_(size), trace_(size, seed), random_(seed) {
    operation_time = kOperationTime;
    Publish();
    AddWorkers();
    around_plan = [this](const std::function<void()>& plan) {
      const auto begin = std::chrono::steady_clock::now();
      plan();
      const auto end = std::chrono::steady_clock::now();
      plan_micros.push_back(
          std::chrono::duration<double, std::micro>(end - begin).count());
    };
  }

  void Ask(duration at, bool noisy) {
    std::normal_distribution<double> noise(1.0, 0.05);
    for (int i = 0; i < size_.services; ++i) {
      const double factor = noisy ? std::max(0.5, noise(random_)) : 1.0;
      demand[service_name(Numbered("service", i))] = {
          trace_.LoadOf(i, at) * factor / SecondsOf(kServiceTime),
          kServiceTime};
    }
  }

  /// Calls `use` with the view of the fleet and with what each pool has to
  /// have, were the demand at `at` known exactly.
  template <typename Use>
  void WithTruth(duration at, Use use) {
    Ask(at, false);
    const planner_inputs inputs = Inputs();
    const phase_tracker watch;
    const record_gate gate{kMinute};
    const fleet_view view(inputs, watch, gate, now);
    demand_estimator estimator(kMinute, kMinute);
    estimator.Observe(demand, now);
    use(view, PlanCapacity(inputs, view, estimator, planner_options()));
  }

  void SubmitJob(int number, bool urgent) {
    std::uniform_int_distribution<int> pool(0, size_.job_pools - 1);
    job_requirements spec;
    spec.name = job_id(Numbered(urgent ? "urgent" : "job", number));
    spec.team = team_id(Numbered("team", number % size_.teams));
    spec.pool = pool_id(Numbered("jobs", pool(random_)));
    spec.processors = 4;
    spec.memory_mb = 8192;
    spec.urgent = urgent;
    Apply(submit_job{spec});
  }

  const fleet_size& size() const { return size_; }
  std::vector<double> plan_micros;

 private:
  void Publish() {
    configuration targets;
    for (int i = 0; i < size_.teams; ++i) {
      targets.teams.push_back({team_id(Numbered("team", i)), 0, 0});
    }
    for (int i = 0; i < size_.services; ++i) {
      AddService(targets, i);
    }
    for (int i = 0; i < size_.job_pools; ++i) {
      targets.pools.push_back({pool_id(Numbered("jobs", i)),
                               team_id(Numbered("team", i % size_.teams)), 1});
    }
    Apply(publish_configuration{targets, 0});
  }

  void AddService(configuration& targets, int number) {
    service_spec service;
    service.name = service_name(Numbered("service", number));
    for (int k = 0; k < size_.pools_per_service; ++k) {
      const pool_id pool(Numbered(Numbered("pool", number), k));
      service.pools.push_back(pool);
      targets.pools.push_back(
          {pool, team_id(Numbered("team", number % size_.teams)), 1});
    }
    targets.services.push_back(service);
    work_class work;
    work.name = class_name(Numbered("class", number));
    work.service = service.name;
    work.unavailability = number % 3 == 0 ? 0.05 : 0.001;
    targets.classes.push_back(work);
  }

  void AddWorkers() {
    for (int i = 0; i < size_.workers; ++i) {
      const int zone = i % size_.zones;
      vm_listing& vm =
          AddVm(Numbered("vm", i), Numbered("zone", zone),
                Numbered(Numbered("rack", zone), i / size_.zones / 4), "none");
      vm.accelerators = i < size_.accelerators / 4 ? 4 : 0;
    }
  }

  fleet_size size_;
  demand_trace trace_;
  std::mt19937_64 random_;
};

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(std::max<std::size_t>(1, values.size()));
}

double Quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size()) - 1;
  return values.empty() ? 0.0 : values[static_cast<std::size_t>(share * last)];
}

using vm_counts = std::vector<std::uint32_t>;
/// VMs that each pool has to have at each sample.
using requirement = std::vector<vm_counts>;

std::uint32_t Sum(const vm_counts& values) {
  return std::accumulate(values.begin(), values.end(), 0U);
}

/// The fewest moves with which `vms` VMs can meet all of `needed`. Over any
/// stretch of time each pool at one moment holds its greatest need, so the
/// pairs of VM and pool are at least the sum of these; pairs beyond the number
/// of VMs are moves. Moves of separate stretches add up.
std::uint32_t FewestMoves(const requirement& needed, std::uint32_t vms) {
  std::vector<std::uint32_t> best(needed.size() + 1, 0);
  for (std::size_t end = 1; end <= needed.size(); ++end) {
    vm_counts greatest(needed[0].size(), 0);
    for (std::size_t begin = end; begin-- > 0;) {
      for (std::size_t p = 0; p < greatest.size(); ++p) {
        greatest[p] = std::max(greatest[p], needed[begin][p]);
      }
      const std::uint32_t all = Sum(greatest);
      const std::uint32_t moves = all > vms ? all - vms : 0;
      best[end] = std::max(best[end], best[begin] + moves);
    }
  }
  return best.back();
}

/// Moves of a planner that gives each pool at each sample just what it needs.
std::uint32_t GreedyMoves(const requirement& needed) {
  std::uint32_t moves = 0;
  for (std::size_t i = 1; i < needed.size(); ++i) {
    for (std::size_t p = 0; p < needed[i].size(); ++p) {
      moves += std::max(needed[i][p], needed[i - 1][p]) - needed[i - 1][p];
    }
  }
  return moves;
}

struct pool_result {
  double buffer = 0;
  double bound = 0;
  double static_split = 0;
  /// VMs that a static split takes in all.
  std::uint32_t static_vms = 0;
  double shortage = 0;
  double base_lack = 0;
  std::uint64_t moves = 0;
  std::uint32_t moves_bound = 0;
  std::uint32_t greedy_moves = 0;
};

/// What was seen at each sample of a trace.
struct pool_samples {
  requirement targets;
  std::vector<double> needs;
  std::vector<double> buffers;
  std::vector<double> bounds;
  std::vector<double> lacks;
  std::vector<double> base_lacks;
};

void TakeSample(bench_world& world, duration at, pool_samples& samples) {
  const pool_figures figures = world.Planner().figures();
  world.WithTruth(at, [&](const fleet_view& view, const capacity_plan& plan) {
    const auto zones = static_cast<std::uint32_t>(world.size().zones);
    vm_counts targets;
    double need = 0;
    double base_lack = 0;
    for (const auto& [name, item] : plan) {
      targets.push_back(MinEvenSpread(item.need, item.min_after_loss, zones));
      need += item.need;
      const auto size =
          static_cast<std::uint32_t>(view.FindPool(name)->vms.size());
      base_lack += item.need > size ? item.need - size : 0;
    }
    samples.needs.push_back(need);
    samples.buffers.push_back(figures.need + figures.buffer - need);
    samples.bounds.push_back(Sum(targets) - need);
    samples.lacks.push_back(figures.shortage);
    samples.base_lacks.push_back(base_lack);
    samples.targets.push_back(std::move(targets));
  });
}

/// Steps through a part of the trace without counting it.
void Settle(bench_world& world, duration from, duration until) {
  for (duration at = from; at < until; at += kMinute / 12) {
    world.Ask(at, true);
    world.Step(kMinute / 12);
  }
}

/// Measures one swing of the load.
pool_result MeasureSwing(bench_world& world) {
  const std::uint64_t moves = world.Planner().figures().moves;
  pool_samples samples;
  for (duration at{}; at < kSwing; at += kSample) {
    Settle(world, at, at + kSample);
    TakeSample(world, at + kSample, samples);
  }
  vm_counts greatest(samples.targets[0].size(), 0);
  for (const vm_counts& sample : samples.targets) {
    for (std::size_t p = 0; p < sample.size(); ++p) {
      greatest[p] = std::max(greatest[p], sample[p]);
    }
  }
  pool_result result;
  result.buffer = Mean(samples.buffers);
  result.bound = Mean(samples.bounds);
  result.static_vms = Sum(greatest);
  result.static_split = Sum(greatest) - Mean(samples.needs);
  result.shortage = Mean(samples.lacks);
  result.base_lack = Mean(samples.base_lacks);
  result.moves = world.Planner().figures().moves - moves;
  result.moves_bound = FewestMoves(
      samples.targets, static_cast<std::uint32_t>(world.size().workers));
  result.greedy_moves = GreedyMoves(samples.targets);
  return result;
}

struct wave_result {
  double seconds = 0;
  double bound = 0;
  double bound_without_zones = 0;
  double tenth_at_once = 0;
  double one_at_once = 0;
  bool finished = false;
};

/// Least time for one VM from its drain to its return.
double CycleSeconds() {
  return SecondsOf(kOperationTime * 2 + planner_options().list_lag);
}

double Rounds(std::size_t vms, std::uint32_t width) {
  return std::ceil(static_cast<double>(vms) / std::max(1U, width));
}

void BoundPool(const pool_view& pool,
               std::uint32_t floor,
               wave_result& result) {
  const auto size = static_cast<std::uint32_t>(pool.vms.size());
  const std::uint32_t width = size > floor ? size - floor : 1;
  std::map<zone_id, std::size_t> zones;
  for (const vm_view* vm : pool.vms) {
    ++zones[vm->zone];
  }
  double rounds = 0;
  for (const auto& [zone, count] : zones) {
    rounds += Rounds(count, width);
  }
  const double cycle = CycleSeconds();
  result.bound = std::max(result.bound, rounds * cycle);
  result.bound_without_zones =
      std::max(result.bound_without_zones, Rounds(size, width) * cycle);
  result.tenth_at_once =
      std::max(result.tenth_at_once, Rounds(size, size / 10) * cycle);
  result.one_at_once += size * cycle;
}

wave_result MeasureWave(bench_world& world) {
  wave_result result;
  std::vector<pool_id> pools;
  world.WithTruth(duration(),
                  [&](const fleet_view& view, const capacity_plan& plan) {
                    for (const auto& [name, pool] : view.pools()) {
                      pools.push_back(name);
                      BoundPool(pool, plan.at(name).floor, result);
                    }
                  });
  const wave_id wave("bench");
  world.Apply(start_wave{wave, pools, {}});
  const time_point begin = world.now;
  result.finished = world.StepUntil(
      [&] { return world.state.waves.at(wave).state == wave_state::kFinished; },
      std::chrono::hours(12));
  result.seconds = SecondsOf(world.now - begin);
  return result;
}

/// Measures the planner at its real pace while little happens.
void MeasureCost(bench_world& world) {
  constexpr duration kSpan = std::chrono::minutes(2);
  world.plan_micros.clear();
  const auto before = static_cast<double>(mallinfo2().uordblks);
  world.StepFor(kSpan);
  const auto after = static_cast<double>(mallinfo2().uordblks);
  const double sum =
      std::accumulate(world.plan_micros.begin(), world.plan_micros.end(), 0.0);
  std::printf(
      "  plan: mean %.0f us, p99 %.0f us, %.2f%% of a core; heap of "
      "the program %.1f MB, grown by %.2f MB in 2 minutes\n",
      Mean(world.plan_micros), Quantile(world.plan_micros, 0.99),
      sum / static_cast<double>(kSpan.count()) * 100.0, after / 1e6,
      (after - before) / 1e6);
}

/// Starts of urgent jobs while the pools of jobs are full.
void MeasureJobs(bench_world& world) {
  world.run_time = std::chrono::hours(2);
  for (int i = 0; i < world.size().jobs; ++i) {
    world.SubmitJob(i, false);
  }
  world.StepFor(std::chrono::minutes(1));
  std::printf("  with %d jobs, most of them waiting\n", world.size().jobs);
  MeasureCost(world);
  world.plan_micros.clear();
  std::vector<double> waits;
  int late = 0;
  for (int i = 0; i < 50; ++i) {
    world.SubmitJob(i, true);
    const job_id job(Numbered("urgent", i));
    const time_point asked = world.now;
    const bool started = world.StepUntil(
        [&] { return world.starts.contains(job); }, std::chrono::seconds(10));
    late += started ? 0 : 1;
    waits.push_back(SecondsOf(world.now - asked));
  }
  std::printf(
      "  urgent starts: p50 %.1f s, greatest %.1f s, %d of 50 not within 10 s; "
      "plan with %d jobs: mean %.0f us, p99 %.0f us\n",
      Quantile(waits, 0.5), Quantile(waits, 1.0), late, world.size().jobs,
      Mean(world.plan_micros), Quantile(world.plan_micros, 0.99));
}

void PrintSwing(const char* name, const pool_result& pools) {
  std::printf("  %s swing:\n", name);
  const double bound = std::max(0.1, pools.bound);
  std::printf(
      "    buffer in VMs: %.1f, bound %.1f, ratio %.2f; static split "
      "%.1f, ratio %.2f\n",
      pools.buffer, pools.bound, pools.buffer / bound, pools.static_split,
      pools.static_split / bound);
  std::printf(
      "    lacking on average: %.2f VMs, of these for the demand %.2f\n",
      pools.shortage, pools.base_lack);
  std::printf(
      "    moves: %llu, bound %u, greedy %u; a static split takes %u "
      "VMs\n",
      static_cast<unsigned long long>(pools.moves), pools.moves_bound,
      pools.greedy_moves, pools.static_vms);
}

void PrintWave(const wave_result& wave) {
  std::printf(
      "  roll-out in s: %.0f%s, bound %.0f, ratio %.2f; bound without "
      "the zone rule %.0f; a tenth of each pool at once %.0f; one VM "
      "at once %.0f\n",
      wave.seconds, wave.finished ? "" : " (not finished)", wave.bound,
      wave.seconds / std::max(1.0, wave.bound), wave.bound_without_zones,
      wave.tenth_at_once, wave.one_at_once);
}

void Measure(const fleet_size& size, std::uint64_t seed) {
  std::printf("%s: %d zones, %d pools, %d teams, seed %llu\n", size.name,
              size.zones, size.pools(), size.teams,
              static_cast<unsigned long long>(seed));
  bench_world world(size, seed);
  world.list_interval = std::chrono::seconds(2);
  for (int i = 0; i < 24; ++i) {
    Settle(world, duration(), kSample);
  }
  MeasureCost(world);
  PrintSwing("first", MeasureSwing(world));
  PrintSwing("second", MeasureSwing(world));
  for (int i = 0; i < 12; ++i) {
    Settle(world, duration(), kSample);
  }
  PrintWave(MeasureWave(world));
  if (size.jobs > 0) {
    MeasureJobs(world);
  }
  std::fflush(stdout);
}

}  // namespace
}  // namespace plantainhead::core

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const int only = argc > 2 ? std::atoi(argv[2]) : 0;
  for (const auto& size : plantainhead::core::kSizes) {
    if (only == 0 || only == size.workers) {
      plantainhead::core::Measure(size, seed);
    }
  }
  return 0;
}
