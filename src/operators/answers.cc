#include "operators/answers.h"

namespace plantainhead::operators {

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
