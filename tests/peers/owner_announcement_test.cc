#include "peers/owner_announcement.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantainhead::peers {
namespace {

TEST_CASE("An encoded announcement decodes to the same value") {
  const auto read = DecodeAnnouncement(Encode({9, {17, "10.1.0.9:7060"}}));
  REQUIRE(read);
  CHECK(read->partition == 9);
  CHECK(read->owner == core::jobs::owner_address{17, "10.1.0.9:7060"});
}

// Other writers may store any record in this place. A process that accepted an
// invalid one would connect to an invalid address, or to the owner of a
// partition that does not exist.
TEST_CASE(
    "An invalid announcement is rejected with the path of the faulty field") {
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
