#include "plantainhead/operators/client.h"

#include <catch2/catch.hpp>

#include "operators/entry_server.h"

namespace plantainhead::operators {
namespace {

TEST_CASE("Addresses of entries are read") {
  CHECK(ParseAddress("10.0.1.11:8080") == entry_address{"10.0.1.11", 8080});
  CHECK(ParseAddress("[fd00::1]:80") == entry_address{"fd00::1", 80});
  CHECK(ParseAddresses("a:1,b:2").size() == 2);
  for (const char* text : {"", "a", "a:", ":1", "a:0", "a:70000", "a:x"}) {
    CHECK_THROWS_AS(ParseAddress(text), std::invalid_argument);
  }
}

TEST_CASE("A client asks entries until one answers") {
  operator_fixture first_entry;
  operator_fixture second_entry;
  entry_server first(&first_entry);
  entry_server second(&second_entry);
  const dead_entry down;
  client_request status;
  status.path = "/v1/status";

  SECTION("the first, while it is up") {
    const entry_client client({first.address(), second.address()});
    CHECK(client.Send(status).status == 200);
    CHECK(second.requests == 0);
  }

  SECTION("the next, when one is down") {
    const entry_client client({down.address(), second.address()});
    CHECK(client.Send(status).status == 200);
    CHECK(second.requests == 1);
  }

  SECTION("the next, when one is frozen") {
    const dead_entry frozen(dead_entry::kind::kSilent);
    client_options options;
    options.read_timeout = std::chrono::milliseconds(50);
    const entry_client client({frozen.address(), second.address()}, options);
    CHECK(client.Send(status).status == 200);
  }

  SECTION("the next, when one can't decide") {
    first_entry.end.result = core::command_result::kUnknown;
    const entry_client client({first.address(), second.address()});
    const client_request change{"PUT", "/v1/targets", {}, kSmallTargets};
    CHECK(client.Send(change).status == 200);
  }

  SECTION("and shows the last 503 when none can") {
    first_entry.end.result = core::command_result::kUnknown;
    const entry_client client({first.address(), down.address()});
    const client_request change{"PUT", "/v1/targets", {}, kSmallTargets};
    CHECK(client.Send(change).status == 503);
  }

  SECTION("and says so when there is none") {
    const entry_client client({down.address(), down.address()});
    CHECK_THROWS_AS(client.Send(status), unreachable_error);
  }

  // The first entry carries the request out and the connection breaks before
  // its answer. A request that must not act twice may not go to the second.
  SECTION("but never sends twice what can act twice") {
    first.loses_answers = true;
    const entry_client client({first.address(), second.address()});
    client_request change{"PUT", "/v1/targets", {}, kSmallTargets};
    change.repeatable = false;

    CHECK_THROWS_AS(client.Send(change), unreachable_error);
    CHECK(first.requests == 1);
    CHECK(second.requests == 0);
  }
}

}  // namespace
}  // namespace plantainhead::operators
