#include "plantainhead/core/claims.h"

#include <catch2/catch.hpp>
#include <optional>

#include "core/claims_fixture.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(500000)};
const claim_key kKey("casework/appeal-17");

std::optional<claim_verdict> VerdictOf(claims_entry& entry,
                                       std::uint64_t sequence) {
  const std::optional<claim_decision> decision = entry.Take(sequence);
  return decision ? std::optional(decision->verdict) : std::nullopt;
}

TEST_CASE("A request with a key is claimed before it may run") {
  model_log log;
  claims_entry home(1, &log);
  home.SetHome(true, kStart);
  home.Read(kStart);

  home.Ask(kKey, 1, kStart);

  SECTION("and granted only once its record was read back") {
    REQUIRE(home.appends().size() == 1);
    CHECK_FALSE(home.Take(1));
    home.Land(kStart);
    CHECK_FALSE(home.Take(1));
    home.Read(kStart);
    CHECK(VerdictOf(home, 1) == claim_verdict::kGranted);

    SECTION("a second request is told that the key is in progress") {
      home.Ask(kKey, 2, kStart);
      const auto decision = home.Take(2);
      REQUIRE(decision);
      CHECK(decision->verdict == claim_verdict::kInProgress);
      CHECK(decision->retry_after > duration::zero());
    }

    SECTION("a retry after its end gets the stored answer") {
      home.Finish(kKey, 1, kStart);
      home.Ask(kKey, 2, kStart + seconds(1));
      const auto decision = home.Take(2);
      REQUIRE(decision);
      CHECK(decision->verdict == claim_verdict::kStoredAnswer);
      REQUIRE(decision->stored);
      CHECK(decision->stored->status == 201);
    }

    SECTION("a retry at another home is told that it may have run") {
      claims_entry other(2, &log);
      other.SetHome(true, kStart);
      other.Read(kStart);
      other.Ask(kKey, 1, kStart);
      CHECK(VerdictOf(other, 1) == claim_verdict::kAlreadyRun);
    }
  }
}

}  // namespace
}  // namespace plantainhead::core
