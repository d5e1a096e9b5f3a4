#include "operators/answers.h"

namespace plantainhead::operators {

no_state_error::no_state_error()
    : std::runtime_error("this entry has not read the log yet") {}

std::shared_ptr<const core::fleet_state> StateOf(const entry_view& view) {
  if (view.state == nullptr) {
    throw no_state_error();
  }
  return view.state;
}

caller::http_answer JsonAnswer(int status, const json& body) {
  constexpr int kIndent = 2;
  caller::http_answer answer;
  answer.status = status;
  answer.body =
      body.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
  return answer;
}

caller::http_answer ErrorAnswer(int status,
                                const std::string& code,
                                const std::string& message) {
  return JsonAnswer(status, {{"error", code}, {"message", message}});
}

caller::http_answer UnavailableAnswer(const std::string& message) {
  constexpr int kUnavailable = 503;
  return ErrorAnswer(kUnavailable, "unavailable", message);
}

caller::http_answer FindingsAnswer(const core::findings_error& error) {
  constexpr int kBadRequest = 400;
  json findings = json::array();
  for (const core::finding& item : error.findings()) {
    findings.push_back({{"file", item.place.file},
                        {"line", item.place.line},
                        {"column", item.place.column},
                        {"message", item.message}});
  }
  return JsonAnswer(kBadRequest, {{"error", "invalid"},
                                  {"message", error.what()},
                                  {"findings", findings}});
}

}  // namespace plantainhead::operators
