#include "log_model.h"

#include <catch2/catch.hpp>

namespace plantainhead::fakes {
namespace {

using namespace std::chrono_literals;

constexpr core::time_point kStart{1h};
const core::stream_name kStream{"control"};

TEST_CASE("A stream returns the records that were appended") {
  log_model log;
  CHECK(log.Append(kStream, {"a", "b"}, kStart) == 1);
  CHECK(log.Append(kStream, {"c"}, kStart) == 3);

  SECTION("from an offset, up to a maximum number") {
    const read_result found = log.Read(kStream, 1, 1, kStart);
    CHECK(found.begin == 1);
    CHECK(found.end == 3);
    REQUIRE(found.records.size() == 1);
    CHECK(found.records[0].offset == 2);
    CHECK(found.records[0].data == "b");
  }

  SECTION("and nothing beyond its end") {
    CHECK(log.Read(kStream, 3, 10, kStart).records.empty());
    CHECK(log.Read(kStream, 9, 10, kStart).records.empty());
    CHECK(log.Read(core::stream_name("other"), 0, 10, kStart).end == 0);
  }

  SECTION("in reads of bounded size, yet at least one record") {
    const std::string large(log_model::kReadBytes, 'x');
    log.Append(kStream, {large, large + large}, kStart);
    CHECK(log.Read(kStream, 3, 10, kStart).records.size() == 1);
    CHECK(log.Read(kStream, 4, 10, kStart).records.size() == 1);
  }

  SECTION("except the oldest beyond the retained number") {
    log.set_limits({2, 24h, 0});
    const read_result found = log.Read(kStream, 0, 10, kStart);
    CHECK(found.begin == 2);
    CHECK(found.records.front().offset == 2);
  }

  SECTION("except expired records, without reusing their offsets") {
    log.set_limits({100, 10s, 0});
    log.Append(kStream, {"d"}, kStart + 6s);
    CHECK(log.Read(kStream, 0, 10, kStart + 10s).begin == 4);
    const read_result none = log.Read(kStream, 0, 10, kStart + 16s);
    CHECK(none.records.empty());
    CHECK(none.begin == 5);
    CHECK(none.end == 4);
    CHECK(log.Append(kStream, {"e"}, kStart + 17s) == 5);
  }

  SECTION("except records lost by a truncation") {
    log.Truncate(kStream, 1);
    CHECK(log.Read(kStream, 0, 10, kStart).end == 1);
    CHECK(log.Append(kStream, {"x"}, kStart) == 2);
  }
}

TEST_CASE("A log limits the rate of appends") {
  log_model log;
  log.set_limits({100, 24h, 20});
  const auto appends_at = [&](core::time_point now) {
    int taken = 0;
    while (log.Append(kStream, {"x"}, now).has_value()) {
      ++taken;
    }
    return taken;
  };
  CHECK(appends_at(kStart) == 2);
  CHECK(appends_at(kStart + 49ms) == 0);
  CHECK(appends_at(kStart + 51ms) == 1);
  CHECK(appends_at(kStart + 10s) == 2);
}

}  // namespace
}  // namespace plantainhead::fakes
