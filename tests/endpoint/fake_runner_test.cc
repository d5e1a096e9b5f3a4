#include <httplib.h>

#include <catch2/catch.hpp>
#include <future>
#include <string>

#include "runner.h"

namespace plantainhead::fakes {
namespace {

using namespace std::chrono_literals;

TEST_CASE("The fake runner") {
  runner_options options;
  options.slots = 1;
  options.threads = 4;
  options.keep_alive = 1s;
  runner fake(options);
  const int port = fake.Start(0);
  httplib::Client client("127.0.0.1", port);

  const auto start_hanging = [&] {
    REQUIRE(client.Post("/control/faults", R"({"mode":"hang"})", "text/plain"));
    auto pending = std::async(std::launch::async, [port] {
      httplib::Client other("127.0.0.1", port);
      return other.Post("/work", {{"Idempotency-Key", "slow"}}, "", "a/b");
    });
    fake.AwaitInFlight(1);
    return pending;
  };

  SECTION("echoes the nonce and counts the run under its key") {
    const httplib::Headers headers = {{"Plantain-Nonce", "n-1"},
                                      {"Idempotency-Key", "k-1"}};
    const auto answer = client.Post("/work", headers, "", "a/b");
    REQUIRE(answer);
    CHECK(nlohmann::json::parse(answer->body)["nonce"] == "n-1");
    CHECK(fake.Counters()["by_key"]["k-1"] == 1);
    REQUIRE(client.Get("/work", {{"Plantain-Nonce", "n-2"}}));
    CHECK(fake.Counters()["by_key"]["n-2"] == 1);
    CHECK(fake.Counters()["runs"] == 2);
    CHECK(fake.Counters()["peak"] == 1);
  }

  SECTION("rejects and counts requests beyond its slots") {
    auto pending = start_hanging();
    const auto refused = client.Get("/work");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->get_header_value("Plantain-Not-Run") == "true");
    CHECK_FALSE(refused->has_header("Plantain-Leaving"));
    CHECK(fake.Counters()["overshoot"] == 1);

    SECTION("and a reboot aborts requests in progress") {
      REQUIRE(client.Post("/control/reboot"));
      CHECK_FALSE(pending.get());
      CHECK(fake.Counters()["cut"] == 1);
      CHECK(fake.Counters()["reboots"] == 1);
    }
    SECTION("and a drain reports the number of requests in progress") {
      const auto drained = client.Post("/control/drain");
      CHECK(nlohmann::json::parse(drained->body)["in_flight"] == 1);
      CHECK(client.Post("/control/reboot"));
    }
  }

  SECTION("rejects requests while draining and accepts them afterwards") {
    REQUIRE(client.Post("/control/drain"));
    const auto refused = client.Get("/work");
    CHECK(refused->status == 503);
    CHECK(refused->get_header_value("Plantain-Leaving") == "true");
    CHECK(fake.Counters()["overshoot"] == 0);
    REQUIRE(client.Post("/control/undrain"));
    CHECK(client.Get("/work")->status == 200);
  }

  SECTION("fails and truncates on demand") {
    client.Post("/control/faults", R"({"mode":"fail"})", "text/plain");
    CHECK(client.Get("/work")->status == 500);
    CHECK(fake.Counters()["runs"] == 0);
    client.Post("/control/faults", R"({"mode":"truncate"})", "text/plain");
    CHECK_FALSE(client.Get("/work"));
    CHECK(fake.Counters()["runs"] == 1);
    CHECK(client.Post("/control/faults", "x", "text/plain")->status == 400);
  }
}

}  // namespace
}  // namespace plantainhead::fakes
