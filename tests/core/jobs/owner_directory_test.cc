#include "plantainhead/core/jobs/owner_directory.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kPartition = 7;
const time_point kStart{seconds(100)};

TEST_CASE("The newest announcement of a partition's owner counts") {
  owner_directory directory({seconds(1)});
  CHECK_FALSE(directory.Choose(kPartition, kStart));
  CHECK(directory.NoteAnnouncement(kPartition, {5, "10.0.0.5:7060"}));
  CHECK_FALSE(directory.NoteAnnouncement(kPartition, {4, "10.0.0.4:7060"}));
  CHECK(directory.Choose(kPartition, kStart)->address == "10.0.0.5:7060");
  CHECK_FALSE(directory.Choose(kPartition + 1, kStart));
}

// An owner is frozen. Callers of all kinds ask this process about its jobs, and
// each that is passed on waits for a timeout before the store is tried. With a
// circuit breaker one caller a second does.
TEST_CASE("An owner that doesn't answer is left alone") {
  owner_directory directory({seconds(1)});
  directory.NoteAnnouncement(kPartition, {5, "10.0.0.5:7060"});
  directory.NoteFailed(kPartition, 5, kStart);
  CHECK_FALSE(directory.Choose(kPartition, kStart + milliseconds(999)));

  SECTION("but for one request in a while") {
    CHECK(directory.Choose(kPartition, kStart + seconds(1)));
    CHECK_FALSE(directory.Choose(kPartition, kStart + milliseconds(1001)));
    CHECK_FALSE(directory.Choose(kPartition, kStart + milliseconds(1999)));
    CHECK(directory.Choose(kPartition, kStart + seconds(2)));

    SECTION("until it answers") {
      directory.NoteAnswered(kPartition, 5);
      CHECK(directory.Choose(kPartition, kStart + milliseconds(2001)));
      CHECK(directory.Choose(kPartition, kStart + milliseconds(2002)));
    }
  }

  SECTION("until another one is the owner") {
    directory.NoteAnnouncement(kPartition, {6, "10.0.0.6:7060"});
    CHECK(directory.Choose(kPartition, kStart)->epoch == 6);

    SECTION("of which a late failure of the first one tells nothing") {
      directory.NoteFailed(kPartition, 5, kStart);
      CHECK(directory.Choose(kPartition, kStart));
    }
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
