#include "plantainhead/observe/logging.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "observe/line_queue.h"
#include "observe/log_line.h"

namespace plantainhead::observe {
namespace {

using nlohmann::json;

TEST_CASE("A log line is one JSON object") {
  const std::chrono::system_clock::time_point time(
      std::chrono::microseconds(1'500'000));

  SECTION("with time, level, message and fields") {
    const json line =
        json::parse(MakeLogLine(time, core::log_severity::kWarning, "late",
                                {{"class", "urgent"}, {"level", "7"}}));
    CHECK(line["time"] == "1970-01-01T00:00:01.500000Z");
    CHECK(line["level"] == "warning");
    CHECK(line["message"] == "late");
    CHECK(line["class"] == "urgent");
    CHECK(line["level_"] == "7");
  }

  SECTION("of plain ASCII, whatever bytes a peer has sent") {
    const std::string line = MakeLogLine(time, core::log_severity::kInfo,
                                         "a\nb\xff\"", {{"k\x01", "한"}});
    CHECK(json::accept(line));
    for (const char character : line) {
      CHECK(static_cast<unsigned char>(character) >= 0x20);
      CHECK(static_cast<unsigned char>(character) < 0x80);
    }
  }
}

TEST_CASE("A process logs to a file") {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("plantainhead-log-" + std::to_string(std::random_device()()));
  ConfigureLogging(core::log_severity::kInfo, path.string());
  WriteLog(core::log_severity::kDebug, "left out");
  WriteLog(core::log_severity::kInfo, "first");
  WriteLog(core::write_log_message{
      core::log_severity::kError, "second", {{"a", "b"}}});
  StopLogging();
  WriteLog(core::log_severity::kError, "after the end");

  std::ifstream file(path);
  std::vector<std::string> messages;
  for (std::string line; std::getline(file, line);) {
    messages.push_back(json::parse(line)["message"]);
  }
  CHECK(messages == std::vector<std::string>{"first", "second"});
  std::filesystem::remove(path);
}

TEST_CASE("A log file that can't be opened is told at once") {
  CHECK_THROWS_AS(ConfigureLogging(core::log_severity::kInfo, "/nowhere/a.log"),
                  std::system_error);
}

// The reader of the log hangs, so the writer blocks in the middle of a line.
// Threads that log must go on; what does not fit is counted, and once the
// reader is back a line tells how much is missing.
TEST_CASE("A reader of the log hangs") {
  std::promise<void> writing;
  std::promise<void> released;
  std::shared_future<void> release = released.get_future().share();
  std::vector<std::string> written;
  line_queue queue(
      2,
      [&](const std::string& line) {
        if (written.empty()) {
          writing.set_value();
          release.wait();
        }
        written.push_back(line);
      },
      [](std::uint64_t dropped) {
        return "dropped " + std::to_string(dropped);
      });

  queue.Push("1");
  writing.get_future().wait();
  for (const char* line : {"2", "3", "4", "5"}) {
    queue.Push(line);
  }
  CHECK_FALSE(queue.Stop(std::chrono::milliseconds(0)));
  released.set_value();
  REQUIRE(queue.Stop(std::chrono::minutes(1)));
  CHECK(written == std::vector<std::string>{"1", "2", "3", "dropped 2"});
}

}  // namespace
}  // namespace plantainhead::observe
