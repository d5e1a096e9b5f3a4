#ifndef PLANTAINHEAD_BENCH_MEASURE_H_
#define PLANTAINHEAD_BENCH_MEASURE_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// Timing of requests by several threads, for the benchmarks.
namespace plantainhead::bench {

using clock_type = std::chrono::steady_clock;

inline double Micros(clock_type::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

inline void Print(const char* name,
                  std::vector<double> micros,
                  std::size_t failed,
                  clock_type::duration all) {
  std::sort(micros.begin(), micros.end());
  const auto at = [&](double share) {
    return micros[static_cast<std::size_t>(
        share * static_cast<double>(micros.size() - 1))];
  };
  std::printf(
      "%-28s p50 %7.1f us  p99 %9.1f us  %8.0f requests/s  %zu failed\n", name,
      at(0.5), at(0.99),
      static_cast<double>(micros.size()) / (Micros(all) / 1e6), failed);
}

/// Runs `count` requests by `threads` threads. `make` gives each thread the
/// function that carries out one request.
inline void Measure(const char* name,
                    std::size_t count,
                    std::size_t threads,
                    const std::function<std::function<bool()>()>& make) {
  std::mutex mutex;
  std::vector<double> micros;
  std::atomic<std::size_t> failed = 0;
  std::vector<std::thread> workers;
  const auto start = clock_type::now();
  for (std::size_t i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      const std::function<bool()> run = make();
      std::vector<double> mine;
      for (std::size_t j = 0; j < count / threads; ++j) {
        const auto begin = clock_type::now();
        failed += run() ? 0 : 1;
        mine.push_back(Micros(clock_type::now() - begin));
      }
      const std::lock_guard<std::mutex> lock(mutex);
      micros.insert(micros.end(), mine.begin(), mine.end());
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  Print(name, std::move(micros), failed, clock_type::now() - start);
}

}  // namespace plantainhead::bench

#endif  // PLANTAINHEAD_BENCH_MEASURE_H_
