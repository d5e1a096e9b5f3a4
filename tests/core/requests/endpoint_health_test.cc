#include "plantainhead/core/requests/endpoint_health.h"

#include <catch2/catch.hpp>

#include <string>

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kServiceSlots = 80;

struct health_fixture {
  endpoint_health health;
  time_point now{std::chrono::hours(1)};
  vm_id vm{"runner-1"};

  bool Fail(std::uint32_t ejected_slots = 0) {
    return health.OnFailure(vm, now, kServiceSlots, ejected_slots, kSlots);
  }
  bool FailOften(std::uint32_t ejected_slots = 0) {
    bool ejected = false;
    for (std::uint32_t i = 0; i < endpoint_health::kFailuresToEject; ++i) {
      ejected = Fail(ejected_slots);
    }
    return ejected;
  }
  std::uint32_t AllowedCalls() const {
    return health.AllowedCalls(vm, now, kSlots);
  }
};

// An endpoint fails every request immediately. It answers faster than the
// others, so least-loaded selection would send it most of the requests.
TEST_CASE("An endpoint fails repeatedly") {
  health_fixture fixture;

  SECTION("and is ejected") {
    REQUIRE(fixture.FailOften());
    CHECK(fixture.AllowedCalls() == 0);

    SECTION("until one request is sent to it as a probe") {
      fixture.now += endpoint_health::kInitialEjection;
      CHECK(fixture.AllowedCalls() == 1);

      SECTION("which succeeds") {
        fixture.health.OnSuccess(fixture.vm);
        CHECK(fixture.AllowedCalls() == kSlots);
      }

      SECTION("which fails, and it is ejected for longer") {
        CHECK(fixture.Fail());
        fixture.now += endpoint_health::kInitialEjection;
        CHECK(fixture.AllowedCalls() == 0);
        fixture.now += endpoint_health::kInitialEjection;
        CHECK(fixture.AllowedCalls() == 1);
      }
    }
  }

  SECTION("but not consecutively, and is not ejected") {
    for (int i = 0; i < 100; ++i) {
      CHECK_FALSE(fixture.Fail());
      fixture.health.OnSuccess(fixture.vm);
    }
    CHECK(fixture.AllowedCalls() == kSlots);
  }

  SECTION("like most others, and is not ejected, since it is not the cause") {
    CHECK_FALSE(fixture.FailOften(kServiceSlots / 3));
    CHECK(fixture.AllowedCalls() == kSlots);
  }

  SECTION("permanently, and is probed at least every 32 seconds") {
    fixture.FailOften();
    for (int i = 0; i < 20; ++i) {
      fixture.now += endpoint_health::kMaxEjection;
      CHECK(fixture.AllowedCalls() == 1);
      CHECK(fixture.Fail());
    }
  }
}

TEST_CASE(
    "An endpoint that reported that it is full gets no calls for a moment") {
  health_fixture fixture;
  fixture.health.OnFull(fixture.vm, fixture.now + milliseconds(50));
  CHECK(fixture.health.IsFull(fixture.vm, fixture.now));
  CHECK_FALSE(
      fixture.health.IsFull(fixture.vm, fixture.now + milliseconds(50)));
  CHECK(fixture.AllowedCalls() == kSlots);
}

}  // namespace
}  // namespace plantainhead::core
