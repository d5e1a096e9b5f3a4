#include "platform/list_reader.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhead::platform {
namespace {

using core::vm_id;
using core::vm_listing;

std::string Response(const std::string& items, bool is_whole = true) {
  return std::string(R"({"cursor":"c","whole":)") +
         (is_whole ? "true" : "false") + R"(,"gone":[],"vms":[)" + items + "]}";
}

std::string Vm(const std::string& name, int port) {
  return R"({"vm":")" + name + R"(","host":"10.0.0.1","port":)" +
         std::to_string(port) + "}";
}

// Entries as another writer may leave them, with the name "odd" where it can be
// read.
const std::vector<std::string> kOddEntries = {
    R"({"vm":"odd","port":99999})",
    R"({"vm":"odd","port":-1})",
    R"({"vm":"odd","slots":18446744073709551616})",
    R"({"vm":"odd","slots":1e999})",
    R"({"vm":"odd","state":"melting"})",
    R"({"vm":"odd","host":)" + std::string(100'000, '[') +
        std::string(100'000, ']') + "}",
    std::string(100'000, '[') + std::string(100'000, ']'),
    R"({"port":80})",
    R"({"vm":7})",
    "7",
    "",
};

// Guards against a list that an entry no longer follows because another writer
// has left one entry in it that cannot be decoded.
TEST_CASE("An odd entry of a list does not hide the others") {
  list_replica<vm_id, vm_listing> vms("vms", "vm", &vm_listing::vm);
  const auto port_of = [&](const std::string& name) {
    for (const vm_listing& vm : vms.Items()) {
      if (vm.vm.value() == name) {
        return static_cast<int>(vm.port);
      }
    }
    return -1;
  };
  for (const std::string& odd : kOddEntries) {
    CAPTURE(odd.substr(0, 60));

    SECTION("beside its neighbours: " + odd.substr(0, 40)) {
      const auto faults = vms.ApplyResponse(
          Response(Vm("a", 1) + "," + odd + "," + Vm("b", 2)));
      CHECK(faults.size() == 1);
      CHECK(vms.Items().size() == 2);
      CHECK(port_of("b") == 2);
    }

    SECTION("and what was known of it stays: " + odd.substr(0, 40)) {
      vms.ApplyResponse(Response(Vm("a", 1) + "," + Vm("odd", 3)));
      CHECK(vms.ApplyResponse(Response(Vm("a", 4) + "," + odd)).size() == 1);
      CHECK(port_of("a") == 4);
      CHECK(port_of("odd") == 3);
      CHECK(vms.ApplyResponse(Response(Vm("b", 5) + "," + odd, false)).size() ==
            1);
      CHECK(port_of("b") == 5);
      CHECK(port_of("odd") == 3);

      SECTION("until a whole list without odd entries lacks it") {
        CHECK(vms.ApplyResponse(Response(Vm("a", 4))).empty());
        CHECK(vms.Items().size() == 1);
      }
    }
  }

  SECTION("a deep value in a field that nobody reads is no fault") {
    const auto faults = vms.ApplyResponse(
        Response(R"({"vm":"a","port":6,"other":)" + std::string(100'000, '[') +
                 std::string(100'000, ']') + "}"));
    CHECK(faults.empty());
    CHECK(port_of("a") == 6);
  }

  SECTION("a response whose frame is malformed changes nothing") {
    vms.ApplyResponse(Response(Vm("a", 1)));
    for (const char* text : {"", "7", "{", R"({"vms":[})", R"({"vms":{}})",
                             R"({"cursor":1e999,"vms":[]})"}) {
      CHECK_THROWS_AS(vms.ApplyResponse(text), codec_error);
    }
    CHECK(port_of("a") == 1);
  }
}

}  // namespace
}  // namespace plantainhead::platform
