#include "peers/owner_announcement.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantainhead::peers {
namespace {

TEST_CASE("An announcement is read back as it was written") {
  const auto read = DecodeAnnouncement(Encode({9, {17, "10.1.0.9:7060"}}));
  REQUIRE(read);
  CHECK(read->partition == 9);
  CHECK(read->owner == core::jobs::owner_address{17, "10.1.0.9:7060"});
}

// Another writer may put anything there. A process that took it would connect
// to what isn't an address, or to the owner of a partition that doesn't exist.
TEST_CASE("What is no announcement is refused with its place") {
  const auto fault_field_of = [](const std::string& key,
                                 const std::string& value) {
    adapter::keyed_record record;
    record.key = key;
    record.value = value;
    const auto read = DecodeAnnouncement(record);
    return read ? std::string("none") : read.fault().field;
  };
  CHECK(fault_field_of("x", R"({"epoch":1,"address":"10.1.0.9:7060"})") ==
        "key");
  CHECK(fault_field_of("31", R"({"epoch":1,"address":"10.1.0.9:7060"})") ==
        "key");
  CHECK(fault_field_of("3", R"({"epoch":0,"address":"10.1.0.9:7060"})") ==
        "epoch");
  CHECK(fault_field_of("3", R"({"epoch":1,"address":"nowhere"})") == "address");
  CHECK(fault_field_of("3", R"({"epoch":1})") == "address");
  CHECK(fault_field_of("3", R"({"epoch":1,"address":"10.1.0.9:7060"})") ==
        "none");
}

}  // namespace
}  // namespace plantainhead::peers
