#include "plantainhead/core/configuration.h"

#include <catch2/catch.hpp>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/requests/gateway.h"

namespace plantainhead::core {
namespace {

TEST_CASE("An operator builds a configuration") {
  configuration_builder builder;
  builder.AddPool({pool_id("casework"), team_id(), 1})
      .AddService({service_name("intake"), {pool_id("casework")}});

  SECTION("whose parts are consistent") {
    work_class urgent;
    urgent.name = class_name("urgent");
    urgent.service = service_name("intake");
    const configuration targets = builder.AddClass(urgent).Build();

    REQUIRE(targets.FindClass(class_name("urgent")) != nullptr);
    CHECK(targets.FindClass(class_name("other")) == nullptr);
    CHECK(targets.FindService(service_name("intake"))->pools.size() == 1);
  }

  SECTION("with three mistakes, all of which are reported together") {
    work_class bad;
    bad.name = class_name("urgent");
    bad.service = service_name("nowhere");
    bad.served = 1.5;
    builder.AddClass(bad, {"targets.yaml", 7, 3})
        .AddPool({pool_id("casework"), team_id(), 0}, {"targets.yaml", 9, 3});

    try {
      builder.Build();
      FAIL("a configuration with mistakes was built");
    } catch (const findings_error& error) {
      REQUIRE(error.findings().size() == 3);
      CHECK(ToString(error.findings()[0]) ==
            "targets.yaml:9:3: pool 'casework' is defined twice");
    }
  }
}

}  // namespace
}  // namespace plantainhead::core
