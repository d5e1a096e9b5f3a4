#include "plantainhead/core/jobs/owner_directory.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kPartition = 7;
const time_point kStart{seconds(100)};

TEST_CASE("The latest announcement of a partition's owner is used") {
  owner_directory directory({seconds(1)});
  CHECK_FALSE(directory.Choose(kPartition, kStart));
  CHECK(directory.NoteAnnouncement(kPartition, {5, "10.0.0.5:7060"}));
  CHECK_FALSE(directory.NoteAnnouncement(kPartition, {4, "10.0.0.4:7060"}));
  CHECK(directory.Choose(kPartition, kStart)->address == "10.0.0.5:7060");
  CHECK_FALSE(directory.Choose(kPartition + 1, kStart));
}

// The owner is frozen. Each request that is forwarded to it waits for a
// time-out before the store is read. With the circuit breaker only one caller
// per second waits.
TEST_CASE("An owner that does not answer receives no requests") {
  owner_directory directory({seconds(1)});
  directory.NoteAnnouncement(kPartition, {5, "10.0.0.5:7060"});
  directory.NoteFailed(kPartition, 5, kStart);
  CHECK_FALSE(directory.Choose(kPartition, kStart + milliseconds(999)));

  SECTION("except one request per interval") {
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

  SECTION("until another process is the owner") {
    directory.NoteAnnouncement(kPartition, {6, "10.0.0.6:7060"});
    CHECK(directory.Choose(kPartition, kStart)->epoch == 6);

    SECTION("a late failure of the former owner does not affect it") {
      directory.NoteFailed(kPartition, 5, kStart);
      CHECK(directory.Choose(kPartition, kStart));
    }
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
