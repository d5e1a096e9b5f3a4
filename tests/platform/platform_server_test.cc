#include "platform_server.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <catch2/catch.hpp>

namespace plantainhead::fakes {
namespace {

TEST_CASE("A hundred readers wait for one record at once") {
  constexpr int kReaders = 100;
  const platform_server server({});
  httplib::Client control("127.0.0.1", server.port());
  std::atomic<int> woken = 0;
  std::vector<std::thread> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.emplace_back([&] {
      httplib::Client client("127.0.0.1", server.port());
      client.set_read_timeout(60);
      const auto result =
          client.Get("/streams/control/records?after=0&wait_ms=50000");
      const std::string wanted =
          R"({"begin":1,"end":1,"records":[{"data":"x","offset":1}]})";
      woken += result && result->body == wanted ? 1 : 0;
    });
  }
  // All readers wait in the server, each in a thread of its own, before the
  // record is appended.
  std::string counters;
  while (counters.find("\"reads\":100") == std::string::npos) {
    const auto result = control.Get("/counters");
    counters = result ? result->body : counters;
    std::this_thread::yield();
  }
  control.Post("/streams/control/records", R"({"records":["x"]})",
               "application/json");
  for (std::thread& reader : readers) {
    reader.join();
  }
  CHECK(woken == kReaders);
}

TEST_CASE("A malformed request is refused and has no effect") {
  const platform_server server({});
  httplib::Client client("127.0.0.1", server.port());
  const auto status = [&](const std::string& path, const std::string& body) {
    return client.Post(path, body, "application/json")->status;
  };
  CHECK(status("/streams/control/records", "nonsense") == 400);
  CHECK(status("/streams/control/records", R"({"records":[]})") == 400);
  CHECK(status("/operations/o1", R"({"type":"fly"})") == 400);
  CHECK(status("/vms", R"({"vm":""})") == 400);
  CHECK(status("/vms/nowhere/state", R"({"state":"gone"})") == 404);
  CHECK(status("/faults", R"({"down":1})") == 400);
  CHECK(client.Get("/streams/control/records?after=-1")->status == 400);
  CHECK(client.Get("/streams/control/records")->body ==
        R"({"begin":1,"end":0,"records":[]})");
}

}  // namespace
}  // namespace plantainhead::fakes
