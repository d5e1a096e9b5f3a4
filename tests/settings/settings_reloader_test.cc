#include "settings/settings_reloader.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace plantainhead::settings {
namespace {

constexpr const char* kMinimalSettings =
    "name: scheduler-1\n"
    "listen: {callers: 127.0.0.1:1, probes: 127.0.0.1:2}\n"
    "store: {address: 127.0.0.1:3}\n";

/// A settings file that is removed at the end of the test.
class settings_file {
 public:
  settings_file()
      : path_("/tmp/settings_reloader_test." + std::to_string(getpid()) +
              ".yaml") {}
  settings_file(const settings_file&) = delete;
  settings_file& operator=(const settings_file&) = delete;
  ~settings_file() { Remove(); }

  const std::string& path() const { return path_; }
  void Write(const std::string& text) const {
    std::ofstream(path_, std::ios::trunc) << text;
  }
  void Remove() const { std::remove(path_.c_str()); }

 private:
  std::string path_;
};

std::vector<std::string> MessagesOf(const reload_outcome& outcome) {
  std::vector<std::string> messages;
  if (const auto* refused = std::get_if<reload_refused>(&outcome)) {
    for (const core::finding& item : refused->findings) {
      messages.push_back(item.message);
    }
  }
  return messages;
}

// The platform rewrites the settings file of a running process, with or without
// a signal. Either all settings of the file must be in force, or none and the
// reason is reported; settings of two versions of the file must never be mixed,
// such as the addresses of one with the grace period of another.
TEST_CASE("A settings file that changes is applied or refused as a whole") {
  const settings_file file;
  file.Write(kMinimalSettings);
  settings_reloader reloader(file.path());
  const auto at_start = reloader.current();
  const std::string longer_grace =
      std::string(kMinimalSettings) + "stop: {grace: 9s}\n";

  SECTION("polls find no change while the file stays the same") {
    CHECK_FALSE(reloader.Poll());
    CHECK_FALSE(reloader.Poll());
    CHECK(std::holds_alternative<reload_unchanged>(reloader.Reload()));
  }

  SECTION("with a signal it is applied at once") {
    file.Write(longer_grace);
    CHECK(std::holds_alternative<reload_applied>(reloader.Reload()));
    CHECK(reloader.current().stop_grace == std::chrono::seconds(9));
    CHECK_FALSE(reloader.Poll());
  }

  SECTION(
      "without a signal it is applied after two polls with the same content") {
    file.Write(longer_grace);
    CHECK_FALSE(reloader.Poll());
    CHECK(reloader.current() == at_start);
    const auto outcome = reloader.Poll();
    REQUIRE(outcome);
    CHECK(std::holds_alternative<reload_applied>(*outcome));
    CHECK(reloader.current().stop_grace == std::chrono::seconds(9));
    CHECK_FALSE(reloader.Poll());
  }

  SECTION("a file that is still being written is not applied") {
    file.Write(std::string(kMinimalSettings) + "stop: {grace: 5s}\n");
    CHECK_FALSE(reloader.Poll());
    file.Write(longer_grace);
    CHECK_FALSE(reloader.Poll());
    CHECK(reloader.current() == at_start);
    CHECK(reloader.Poll());
    CHECK(reloader.current().stop_grace == std::chrono::seconds(9));
  }

  SECTION("a change that needs a restart is refused with all such keys") {
    file.Write(
        "name: scheduler-1\n"
        "listen: {callers: 127.0.0.1:9, probes: 127.0.0.1:2}\n"
        "store: {address: 127.0.0.1:3}\n"
        "lease: {most: 5s}\n"
        "http: {head: 4KiB, request-memory: 8MiB, request-timeout: 5s, "
        "connections: 100}\n"
        "stop: {grace: 9s}\n");
    CHECK(MessagesOf(reloader.Reload()) ==
          std::vector<std::string>{
              "'listen.callers' cannot be changed without a restart",
              "'lease.most' cannot be changed without a restart",
              "'http.head' cannot be changed without a restart",
              "'http.request-memory' cannot be changed without a restart",
              "'http.request-timeout' cannot be changed without a restart",
              "'http.connections' cannot be changed without a restart"});
    CHECK(reloader.current() == at_start);

    SECTION("and is reported once") {
      CHECK_FALSE(reloader.Poll());
      CHECK_FALSE(reloader.Poll());
    }
  }

  SECTION("an invalid file is refused, and applied once it is corrected") {
    file.Write(longer_grace + "grcae: 1s\n");
    CHECK_FALSE(reloader.Poll());
    const auto outcome = reloader.Poll();
    REQUIRE(outcome);
    CHECK(MessagesOf(*outcome).size() == 1);
    CHECK(reloader.current() == at_start);
    file.Write(longer_grace);
    CHECK_FALSE(reloader.Poll());
    CHECK(reloader.Poll());
    CHECK(reloader.current().stop_grace == std::chrono::seconds(9));
  }

  SECTION("a removed file is refused, and is unchanged when it is restored") {
    file.Remove();
    CHECK_FALSE(reloader.Poll());
    const auto outcome = reloader.Poll();
    REQUIRE(outcome);
    CHECK(MessagesOf(*outcome) ==
          std::vector<std::string>{"the file cannot be read"});
    file.Write(kMinimalSettings);
    CHECK_FALSE(reloader.Poll());
    const auto again = reloader.Poll();
    REQUIRE(again);
    CHECK(std::holds_alternative<reload_unchanged>(*again));
    CHECK(reloader.current() == at_start);
  }
}

}  // namespace
}  // namespace plantainhead::settings
