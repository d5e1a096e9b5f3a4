#include <catch2/catch.hpp>

#include "core/entry/entry_fleet.h"
#include "core/requests/session_text.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr incarnation kOnly{1};

/// One complete entry whose events and actions are written as text, except
/// ticks, reads and lists that contain nothing new and cause no action.
struct entry_session : entry_fleet {
  entry_session() : entry_fleet(0) {
    trace = [this](const event* cause, const action_list& actions) {
      Write(cause, actions);
    };
  }

  bool IsNews(const event& cause) {
    if (std::holds_alternative<tick>(cause)) {
      return false;
    }
    if (const auto* read = std::get_if<log_read>(&cause)) {
      return !read->entries.empty();
    }
    if (const auto* list = std::get_if<vm_list_read>(&cause)) {
      return !(listed_ && *listed_ == list->vms);
    }
    return true;
  }

  void Write(const event* cause, const action_list& actions) {
    if (cause != nullptr && actions.empty() && !IsNews(*cause)) {
      return;
    }
    text.In(now, cause == nullptr ? "start" : Text(*cause));
    if (cause != nullptr) {
      if (const auto* list = std::get_if<vm_list_read>(cause)) {
        listed_ = list->vms;
      }
    }
    for (const action& item : actions) {
      text.Out(Text(item));
    }
  }

  bool IsWaveFinished() {
    const auto& waves = entries[kOnly].core->fleet().waves;
    const auto wave = waves.find(wave_id("kernel"));
    return wave != waves.end() && wave->second.state == wave_state::kFinished;
  }

  session_text text;

 private:
  std::optional<std::vector<vm_listing>> listed_;
};

TEST_CASE("A session of one complete entry matches the golden file") {
  entry_session session;
  session.text.Title("An entry starts, joins and is published targets");
  session.AddVm("near", "suwon");
  session.AddVm("far", "goyang");
  session.Add(static_cast<std::uint64_t>(kOnly));
  session.Begin();
  REQUIRE(session.StepUntil(
      [&] { return session.entries[kOnly].core->fleet().vms.size() == 2; }));

  session.text.Title("A second operator publishes from an old generation");
  session.Command(kOnly, publish_configuration{entry_fleet::Targets(), 0},
                  "ben");
  session.StepFor(milliseconds(100));

  session.text.Title("A request with a key comes, and comes again");
  const std::uint64_t first = session.SendRequest(kOnly, "appeal-12");
  REQUIRE(session.StepUntil(
      [&] { return session.AnswerOf(kOnly, first) != nullptr; }));
  const std::uint64_t again = session.SendRequest(kOnly, "appeal-12");
  REQUIRE(session.StepUntil(
      [&] { return session.AnswerOf(kOnly, again) != nullptr; }));
  CHECK(session.runs_of_key["surgery/appeal-12"] == 1);

  session.text.Title("A wave drains and reboots both VMs");
  session.Command(kOnly,
                  start_wave{wave_id("kernel"), {pool_id("casework")}, {}});
  REQUIRE(session.StepUntil([&] { return session.IsWaveFinished(); }));

  session.text.Title("The entry is asked to stop while it runs a request");
  session.service_time = seconds(2);
  const std::uint64_t last = session.SendRequest(kOnly);
  session.entries[kOnly].inbox.push_back(stop_requested{});
  REQUIRE(session.StepUntil([&] { return session.entries[kOnly].exited; }));
  CHECK(session.AnswerOf(kOnly, last)->result == outcome::kDone);

  const std::string current = session.text.str();
  CHECK(current == GoldenText("entry_session.txt", current));
}

}  // namespace
}  // namespace plantainhead::core
