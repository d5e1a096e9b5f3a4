#ifndef PLANTAINHEAD_TESTS_OPERATORS_OPERATOR_FIXTURE_H_
#define PLANTAINHEAD_TESTS_OPERATORS_OPERATOR_FIXTURE_H_

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <regex>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/log/fold.h"
#include "plantainhead/operators/routes.h"
#include "plantainhead/settings/targets.h"

namespace plantainhead::operators {

inline constexpr char kSmallTargets[] =
    "version: 1\n"
    "services:\n"
    "  - {name: intake, pools: [intake]}\n"
    "classes:\n"
    "  - {name: urgent, service: intake, served: 99%, within: 1s, "
    "unavailability: 1%}\n"
    "pools:\n"
    "  - {name: intake, least-vms: 1}\n";

/// Stands in for an entry: one fold, and commands whose end the test sets.
class operator_fixture {
 public:
  operator_fixture() {
    state.targets = settings::ParseTargets(kSmallTargets, "t.yaml");
    state.targets_version = 4;
    state.targets_offset = 70;
    state.targets_author = "kim";
    state.offset = 90;
    route_options options;
    options.command_patience = std::chrono::milliseconds(0);
    core::core_gateway gateway;
    gateway.command = [this](std::string author, core::record_body body) {
      return Command(std::move(author), std::move(body));
    };
    gateway.ready = [this] { return ready; };
    routes = MakeOperatorRoutes(
        gateway, [this] { return View(); }, options);
  }

  entry_view View() {
    const std::lock_guard<std::mutex> lock(mutex);
    entry_view view;
    view.state = std::make_shared<core::fleet_state>(state);
    view.name = core::entry_id("entry-1");
    view.who = who;
    view.ready = ready;
    view.reason = ready ? "" : "catching up";
    return view;
  }

  caller::http_answer Ask(const caller::http_request& request) const {
    for (const caller::route& item : routes) {
      if (item.method == request.method &&
          std::regex_match(request.path, std::regex(item.pattern))) {
        return item.handle(request);
      }
    }
    caller::http_answer missing;
    missing.status = 404;
    return missing;
  }

  caller::http_answer Ask(
      const std::string& method,
      const std::string& path,
      const std::string& body = "",
      std::map<std::string, std::string> headers = {}) const {
    return Ask({method, path, {}, std::move(headers), body});
  }

  std::mutex mutex;
  core::fleet_state state;
  core::incarnation who = core::incarnation{0xabc};
  bool ready = true;
  /// How the next commands end; a command never ends while `silent`.
  core::answer_operator end{0, core::command_result::kAccepted, 91, ""};
  bool silent = false;
  /// Commands end as the fold decides, not as `end` says.
  bool folding = false;
  std::vector<core::record_body> commands;
  std::vector<std::string> authors;
  caller::route_list routes;

 private:
  std::future<core::answer_operator> Command(std::string author,
                                             core::record_body body) {
    const std::lock_guard<std::mutex> lock(mutex);
    commands.push_back(std::move(body));
    authors.push_back(std::move(author));
    std::promise<core::answer_operator>& promise = promises_.emplace_back();
    if (!silent) {
      promise.set_value(folding ? Fold() : end);
    }
    return promise.get_future();
  }

  // Applies the newest command as a record of the log.
  core::answer_operator Fold() {
    const core::log_offset offset = state.offset + 1;
    const core::record_id id("test-" + std::to_string(offset));
    const core::fold_result result =
        core::Apply(state, {offset, {id, authors.back(), commands.back()}});
    core::answer_operator answer;
    answer.result = result.outcome == core::fold_outcome::kApplied
                        ? core::command_result::kAccepted
                        : core::command_result::kConflict;
    answer.offset = offset;
    answer.detail = result.detail;
    return answer;
  }

  std::vector<std::promise<core::answer_operator>> promises_;
};

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_TESTS_OPERATORS_OPERATOR_FIXTURE_H_
