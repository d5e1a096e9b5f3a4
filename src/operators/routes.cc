#include "plantainhead/operators/routes.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "operators/answers.h"
#include "operators/commands.h"
#include "operators/views.h"
#include "plantainhead/observe/burn.h"

namespace plantainhead::operators {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

using handler = std::function<caller::http_answer(const caller::http_request&)>;

// Answers what is wrong with a request instead of a bare 500.
handler WithErrors(handler inner) {
  return [inner = std::move(inner)](const caller::http_request& request) {
    try {
      return inner(request);
    } catch (const core::findings_error& error) {
      return FindingsAnswer(error);
    } catch (const no_state_error& error) {
      return UnavailableAnswer(error.what());
    }
  };
}

// Shows a part of the fold.
handler Shows(view_function view, json (*show)(const core::fleet_state&)) {
  return WithErrors(
      [view = std::move(view), show](const caller::http_request&) {
        return JsonAnswer(kOk, show(*StateOf(view())));
      });
}

caller::http_answer BurnAnswer(const caller::http_request& request,
                               const entry_view& view) {
  const auto query = request.query.find("format");
  const std::string format =
      query == request.query.end() ? "json" : query->second;
  const observe::burn_report report =
      observe::MakeBurnReport(*StateOf(view), view.now);
  caller::http_answer answer;
  if (format == "json") {
    answer.body = observe::ToJson(report);
  } else if (format == "html") {
    answer.content_type = "text/html; charset=utf-8";
    answer.body = observe::ToHtml(report);
  } else if (format == "text") {
    answer.content_type = "text/plain; charset=utf-8";
    answer.body = observe::ToText(report);
  } else {
    return ErrorAnswer(kBadRequest, "invalid",
                       "'format' must be json, html or text");
  }
  return answer;
}

caller::http_answer Readiness(bool ready, const std::string& reason) {
  return JsonAnswer(ready ? kOk : kUnavailable,
                    {{"ready", ready}, {"reason", reason}});
}

}  // namespace

caller::route_list MakeOperatorRoutes(const core::core_gateway& gateway,
                                      const view_function& view,
                                      route_options options) {
  const auto commands =
      std::make_shared<command_handlers>(gateway, view, options);
  using method =
      caller::http_answer (command_handlers::*)(const caller::http_request&)
          const;
  const auto runs = [commands](method handle) {
    return WithErrors([commands, handle](const caller::http_request& request) {
      return ((*commands).*handle)(request);
    });
  };
  return {
      {"PUT", "/v1/targets", runs(&command_handlers::PublishTargets)},
      {"GET", "/v1/targets", Shows(view, TargetsView)},
      {"GET", "/v1/status",
       [view](const caller::http_request&) {
         return JsonAnswer(kOk, StatusView(view()));
       }},
      {"GET", "/v1/state", Shows(view, StateView)},
      {"GET", "/v1/waves", Shows(view, WavesView)},
      {"POST", "/v1/waves", runs(&command_handlers::StartWave)},
      {"POST", "/v1/waves/[A-Za-z0-9._-]+/(pause|resume|cancel)",
       runs(&command_handlers::ChangeWave)},
      {"GET", "/v1/vms", Shows(view, VmsView)},
      {"GET", "/v1/pools", Shows(view, PoolsView)},
      {"GET", "/v1/jobs", Shows(view, JobsView)},
      {"POST", "/v1/jobs", runs(&command_handlers::SubmitJob)},
      {"POST", "/v1/jobs/[A-Za-z0-9._-]+/(cancel|retry)",
       runs(&command_handlers::ChangeJob)},
      {"GET", "/v1/burn",
       WithErrors([view](const caller::http_request& request) {
         return BurnAnswer(request, view());
       })},
      {"GET", "/healthz",
       [](const caller::http_request&) {
         return JsonAnswer(kOk, {{"alive", true}});
       }},
      {"GET", "/readyz",
       [gateway, view](const caller::http_request&) {
         const bool ready = gateway.ready();
         return Readiness(ready, ready ? "" : view().reason);
       }},
  };
}

caller::route_list MakeMetricsRoutes(const observe::metrics* all) {
  const auto show = [all](const caller::http_request&) {
    caller::http_answer answer;
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = all->ToText();
    return answer;
  };
  return {{"GET", "/metrics", show}};
}

}  // namespace plantainhead::operators
