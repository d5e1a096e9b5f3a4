#include "plantainhead/observe/metrics.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace plantainhead::observe {
namespace {

TEST_CASE("A process counts what it does") {
  metrics all;

  SECTION("and shows it as Prometheus text") {
    all.Counter("requests_total", "Requests.", {{"class", "a\"b"}}).Add(3);
    all.Counter("requests_total", "Requests.", {{"class", "a\"b"}}).Add();
    all.Gauge("ready", "1 when ready.").Set(1);
    CHECK(all.ToText() ==
          "# HELP ready 1 when ready.\n"
          "# TYPE ready gauge\n"
          "ready 1\n"
          "# HELP requests_total Requests.\n"
          "# TYPE requests_total counter\n"
          "requests_total{class=\"a\\\"b\"} 4\n");
  }

  SECTION("and how long it takes") {
    latency_histogram& times = all.Latency("wait_seconds", "Wait.");
    for (int i = 0; i < 99; ++i) {
      times.Record(std::chrono::milliseconds(10));
    }
    times.Record(std::chrono::hours(1));

    CHECK(times.Count() == 100);
    CHECK(times.Quantile(0.5) >= std::chrono::milliseconds(10));
    CHECK(times.Quantile(0.5) < std::chrono::milliseconds(13));
    CHECK(times.Quantile(1.0) == std::chrono::seconds(1000));
    const std::string text = all.ToText();
    CHECK(text.find("wait_seconds_bucket{le=\"0.01259\"} 99\n") !=
          std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 100\n") !=
          std::string::npos);
    CHECK(text.find("wait_seconds_count 100\n") != std::string::npos);
  }

  SECTION("also times of nothing and less") {
    latency_histogram& times = all.Latency("wait_seconds", "Wait.");
    times.Record(core::duration::zero());
    times.Record(core::duration(-1));
    CHECK(times.Count() == 2);
  }

  SECTION("from many threads without losing any") {
    latency_histogram& times = all.Latency("wait_seconds", "Wait.");
    counter& count = all.Counter("n_total", "N.");
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        for (int n = 0; n < 1000; ++n) {
          times.Record(std::chrono::milliseconds(1));
          count.Add();
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(times.Count() == 4000);
    CHECK(count.value() == 4000);
  }
}

}  // namespace
}  // namespace plantainhead::observe
