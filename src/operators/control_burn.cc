#include <stdexcept>
#include <string>
#include <vector>

#include "operators/views.h"
#include "plantainhead/observe/burn_formats.h"
#include "plantainhead/operators/control.h"

namespace plantainhead::operators {
namespace {

constexpr int kOkStatus = 200;

std::string Render(const observe::burn_report& report, output_format format) {
  switch (format) {
    case output_format::kJson:
      return observe::ToJson(report);
    case output_format::kHtml:
      return observe::ToHtml(report);
    case output_format::kTable:
      break;
  }
  return observe::ToText(report);
}

}  // namespace

exit_code control::Burn() {
  return Guard([&] {
    const caller::http_answer status = Get("/v1/status");
    const json members =
        json::parse(status.body).value("members", json::array());
    std::vector<observe::burn_report> reports;
    for (const json& member : members) {
      const entry_address address{member["host"], member["http_port"]};
      const entry_client client({address}, context_.client);
      try {
        client_request request;
        request.path = "/v1/burn";
        const caller::http_answer answer = client.Send(request);
        if (answer.status != kOkStatus) {
          throw unreachable_error("status " + std::to_string(answer.status));
        }
        reports.push_back(observe::ParseBurnReport(answer.body));
      } catch (const unreachable_error& error) {
        *err_ << "left out: " << member["name"].get<std::string>() << ": "
              << error.what() << '\n';
      }
    }
    if (reports.empty()) {
      throw unreachable_error("no entry of the view gave a report");
    }
    *out_ << Render(observe::MergeReports(reports), context_.format);
    return exit_code::kOk;
  });
}

}  // namespace plantainhead::operators
