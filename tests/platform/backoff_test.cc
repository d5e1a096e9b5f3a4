#include "platform/backoff.h"

#include <catch2/catch.hpp>

namespace plantainhead::platform {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Delays between retries double up to a maximum and are random") {
  bool differs = false;
  core::duration of_first_seed{};
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    backoff waits(100ms, 1s, seed);
    for (const core::duration whole :
         {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms}) {
      const core::duration wait = waits.Next();
      CHECK(wait >= whole / 2);
      CHECK(wait <= whole);
    }
    waits.Reset();
    const core::duration first = waits.Next();
    CHECK(first <= 100ms);
    differs = differs || (seed > 0 && first != of_first_seed);
    of_first_seed = seed == 0 ? first : of_first_seed;
  }
  CHECK(differs);
}

}  // namespace
}  // namespace plantainhead::platform
