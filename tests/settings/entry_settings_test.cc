#include "plantainhead/settings/entry_settings.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"

namespace plantainhead::settings {
namespace {

std::vector<std::string> FindingsIn(const std::string& text) {
  try {
    ParseEntrySettings(text, "entry.yaml");
  } catch (const core::findings_error& error) {
    std::vector<std::string> lines;
    for (const core::finding& item : error.findings()) {
      lines.push_back(ToString(item));
    }
    return lines;
  }
  return {};
}

constexpr char kMinimalSettings[] =
    "name: entry-1\n"
    "zone: suwon\n"
    "region: gyeonggi\n"
    "host: 127.0.0.1\n"
    "platform: {host: 127.0.0.1, port: 7070}\n";

TEST_CASE("Entry settings are parsed") {
  SECTION("with all values of the example") {
    const entry_settings settings =
        LoadEntrySettings(PLANTAINHEAD_EXAMPLES_DIR "/entry.yaml");

    CHECK(settings.name.value() == "entry-suwon-1");
    CHECK(settings.http_port == 8080);
    CHECK(settings.platform_port == 7070);
    CHECK(settings.body_limit == 8U << 20);
    CHECK(settings.bodies_limit == 32U << 20);
    CHECK(settings.frames_limit == 32U << 20);
    CHECK(settings.head_limit == 64U << 10);
    CHECK(settings.trailer_limit == 8U << 10);
    CHECK(settings.max_request_timeout == std::chrono::seconds(60));
    CHECK(settings.count_interval == std::chrono::minutes(1));
    CHECK(settings.suspicion_timeout == std::chrono::seconds(1));
  }

  SECTION("with the required keys only and defaults for the rest") {
    const entry_settings settings =
        ParseEntrySettings(kMinimalSettings, "entry.yaml");

    CHECK(settings.http_port == 0);
    CHECK(settings.heartbeat_interval == std::chrono::milliseconds(200));
    CHECK(settings.planner_lease == std::chrono::seconds(3));
    CHECK(settings.log_file == "-");
  }
}

TEST_CASE("All errors in the settings are reported together") {
  SECTION("with their exact locations, in the order of the file") {
    const std::string text =
        "name: entry-1\n"
        "zone: suwon\n"
        "regoin: gyeonggi\n"
        "host: entry.example\n"
        "http-port: 70000\n"
        "platform: {host: 127.0.0.1, port: 7070}\n"
        "limits:\n"
        "  body: 8MB\n"
        "heartbeat:\n"
        "  interval: 200\n";

    const std::vector<std::string> expected = {
        "entry.yaml:1:1: 'region' is missing",
        "entry.yaml:3:1: 'regoin' is not a known key; did you mean 'region'?",
        "entry.yaml:4:7: 'entry.example' is not an IP address",
        "entry.yaml:5:12: 'http-port' must be between 0 and 65535, not 70000",
        "entry.yaml:8:9: 'limits.body': '8MB' cannot be parsed: write a size "
        "with its unit: B, KiB, MiB or GiB, as in 8MiB",
        "entry.yaml:10:13: 'heartbeat.interval': '200' cannot be parsed: write "
        "a duration with its unit: us, ms, s, m, h or d, as in 800ms",
    };
    CHECK(FindingsIn(text) == expected);
  }

  SECTION("when a key is defined more than once") {
    CHECK(FindingsIn(std::string(kMinimalSettings) + "zone: goyang\n") ==
          std::vector<std::string>{
              "entry.yaml:6:1: 'zone' is defined more than once"});
  }

  SECTION("when one late heartbeat would accuse a healthy entry") {
    const std::string text =
        std::string(kMinimalSettings) +
        "heartbeat: {interval: 900ms, suspect-after: 1s}\n";
    CHECK(FindingsIn(text).size() == 1);
  }

  SECTION("when one body wouldn't fit among all bodies") {
    const std::string text =
        std::string(kMinimalSettings) + "limits: {body: 2MiB, bodies: 1MiB}\n";
    CHECK(FindingsIn(text).size() == 1);
  }

  SECTION("when one body wouldn't fit among all frames") {
    const std::string text =
        std::string(kMinimalSettings) + "limits: {body: 2MiB, frames: 2MiB}\n";
    CHECK(FindingsIn(text).size() == 1);
  }

  SECTION("when the host is a wildcard address") {
    const std::string text = std::string(kMinimalSettings) + "http-port: 1\n";
    std::string wildcard = text;
    wildcard.replace(wildcard.find("127.0.0.1"), 9, "0.0.0.0");
    CHECK(FindingsIn(wildcard).size() == 1);
  }

  SECTION("when the text is not a YAML mapping") {
    CHECK(FindingsIn("").size() == 1);
    CHECK(FindingsIn("- a\n").size() == 1);
    CHECK(FindingsIn("a: [").size() == 1);
  }

  SECTION("when the file does not exist") {
    CHECK_THROWS_AS(LoadEntrySettings("/nowhere/entry.yaml"),
                    core::findings_error);
  }
}

}  // namespace
}  // namespace plantainhead::settings
