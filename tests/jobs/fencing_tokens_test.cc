#include "jobs/fencing_tokens.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

constexpr std::uint64_t kEpoch = 11;

TEST_CASE("Calls to a restarted VM get a higher token once it is stored") {
  fencing_tokens tokens(kEpoch);
  CHECK_FALSE(tokens.Reserve());
  tokens.NoteRestart("vm-1");
  CHECK(tokens.IsRising("vm-1"));
  REQUIRE(tokens.Reserve() == kEpoch + 1);
  CHECK(tokens.highest() == kEpoch + 1);
  CHECK(tokens.TokenOf("vm-1") == kEpoch);

  SECTION("and calls to other VMs keep theirs") {
    tokens.OnStored();
    CHECK(tokens.TokenOf("vm-1") == kEpoch + 1);
    CHECK(tokens.TokenOf("vm-2") == kEpoch);
    CHECK_FALSE(tokens.IsRising("vm-1"));
    CHECK_FALSE(tokens.Reserve());
  }

  SECTION("and again if the VM restarts before that") {
    tokens.NoteRestart("vm-1");
    tokens.OnStored();
    CHECK(tokens.IsRising("vm-1"));
    REQUIRE(tokens.Reserve() == kEpoch + 2);
    tokens.OnStored();
    CHECK(tokens.TokenOf("vm-1") == kEpoch + 2);
  }
}

// Guards against an owner that gives its pool up because a VM has rejected a
// call with one of the owner's own earlier tokens.
TEST_CASE("A rejected token shows a newer owner only if it is the highest") {
  fencing_tokens tokens(kEpoch);
  CHECK(tokens.IsFencedByOther("vm-1", kEpoch));
  tokens.NoteRestart("vm-1");
  tokens.Reserve();
  tokens.OnStored();
  CHECK_FALSE(tokens.IsFencedByOther("vm-2", kEpoch));
  CHECK(tokens.TokenOf("vm-2") == kEpoch + 1);
  CHECK(tokens.IsFencedByOther("vm-2", kEpoch + 1));
}

}  // namespace
}  // namespace plantainhead::jobs
