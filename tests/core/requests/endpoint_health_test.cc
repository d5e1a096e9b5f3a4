#include "plantainhead/core/requests/endpoint_health.h"

#include <catch2/catch.hpp>

#include <string>

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kServiceSlots = 80;

struct health_story {
  endpoint_health health;
  time_point now{std::chrono::hours(1)};
  vm_id vm{"runner-1"};

  bool Fail(std::uint32_t lost = 0) {
    return health.OnFailure(vm, now, kServiceSlots, lost, kSlots);
  }
  bool FailOften(std::uint32_t lost = 0) {
    bool ejected = false;
    for (std::uint32_t i = 0; i < endpoint_health::kFailuresToEject; ++i) {
      ejected = Fail(lost);
    }
    return ejected;
  }
  std::uint32_t AllowedCalls() const {
    return health.AllowedCalls(vm, now, kSlots);
  }
};

// A worker fails every task that it starts. It answers faster than the others,
// so the least busy choice would send it most of the requests.
TEST_CASE("An endpoint fails again and again") {
  health_story story;

  SECTION("and is ejected") {
    REQUIRE(story.FailOften());
    CHECK(story.AllowedCalls() == 0);

    SECTION("until it gets one request to prove itself") {
      story.now += endpoint_health::kInitialEjection;
      CHECK(story.AllowedCalls() == 1);

      SECTION("which it answers") {
        story.health.OnSuccess(story.vm);
        CHECK(story.AllowedCalls() == kSlots);
      }

      SECTION("which it fails, and is ejected for longer") {
        CHECK(story.Fail());
        story.now += endpoint_health::kInitialEjection;
        CHECK(story.AllowedCalls() == 0);
        story.now += endpoint_health::kInitialEjection;
        CHECK(story.AllowedCalls() == 1);
      }
    }
  }

  SECTION("but not in a row, and stays") {
    for (int i = 0; i < 100; ++i) {
      CHECK_FALSE(story.Fail());
      story.health.OnSuccess(story.vm);
    }
    CHECK(story.AllowedCalls() == kSlots);
  }

  SECTION("like most others, and stays, since the fault isn't its own") {
    CHECK_FALSE(story.FailOften(kServiceSlots / 3));
    CHECK(story.AllowedCalls() == kSlots);
  }

  SECTION("for ever, and is tried at least every half minute") {
    story.FailOften();
    for (int i = 0; i < 20; ++i) {
      story.now += endpoint_health::kMaxEjection;
      CHECK(story.AllowedCalls() == 1);
      CHECK(story.Fail());
    }
  }
}

TEST_CASE("An endpoint that is full is left alone for a moment") {
  health_story story;
  story.health.OnFull(story.vm, story.now + milliseconds(50));
  CHECK(story.health.IsFull(story.vm, story.now));
  CHECK_FALSE(story.health.IsFull(story.vm, story.now + milliseconds(50)));
  CHECK(story.AllowedCalls() == kSlots);
}

}  // namespace
}  // namespace plantainhead::core
