#include "plantainhead/settings/targets.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "plantainhead/settings/files.h"

namespace plantainhead::settings {
namespace {

core::configuration Example(const std::string& name) {
  const std::string path = PLANTAINHEAD_EXAMPLES_DIR "/" + name;
  return ParseTargets(ReadFile(path), path);
}

TEST_CASE("Targets are parsed") {
  SECTION("from the examples, which survive a round trip") {
    for (const char* name : {"sinmungo.yaml", "gulfmargin.yaml"}) {
      const core::configuration targets = Example(name);
      CHECK(targets.services.size() == 5);
      CHECK(ParseTargets(FormatTargets(targets), "again") == targets);
    }
  }

  SECTION("with each value in its field") {
    const core::configuration targets = Example("sinmungo.yaml");
    const core::work_class* const intake =
        targets.FindClass(core::class_name("constituent-intake"));

    REQUIRE(intake != nullptr);
    CHECK(intake->served == Approx(0.999));
    CHECK(intake->within == std::chrono::milliseconds(800));
    CHECK_FALSE(intake->can_wait);
    CHECK(targets.FindClass(core::class_name("archival"))->can_wait);
    CHECK(targets.priorities.buffer_cost == 3);
  }

  SECTION("with syntactic and semantic errors reported together") {
    const std::string text =
        "version: 1\n"
        "services:\n"
        "  - {name: intake, pools: [nowhere]}\n"
        "classes:\n"
        "  - name: urgent\n"
        "    service: intake\n"
        "    served: 0.99\n"
        "    within: 1s\n"
        "    unavailability: 1%\n"
        "    can-wiat: true\n";
    try {
      ParseTargets(text, "t.yaml");
      FAIL("targets with errors were parsed");
    } catch (const core::findings_error& error) {
      REQUIRE(error.findings().size() == 3);
      CHECK(ToString(error.findings()[0]) ==
            "t.yaml:3:5: service 'intake' names pool 'nowhere', which isn't "
            "defined");
      CHECK(error.findings()[1].place ==
            core::source_location{"t.yaml", 7, 13});
      CHECK(
          ToString(error.findings()[2]) ==
          "t.yaml:10:5: 'classes[0].can-wiat' is not a known key; did you mean "
          "'can-wait'?");
    }
  }

  SECTION("only for the supported schema version") {
    CHECK_THROWS_AS(ParseTargets("version: 2\n", "t.yaml"),
                    core::findings_error);
    CHECK_THROWS_AS(ParseTargets("services: []\n", "t.yaml"),
                    core::findings_error);
  }
}

}  // namespace
}  // namespace plantainhead::settings
