#ifndef PLANTAINHEAD_SRC_OPERATORS_COMMANDS_H_
#define PLANTAINHEAD_SRC_OPERATORS_COMMANDS_H_

#include <functional>
#include <optional>

#include "operators/views.h"
#include "plantainhead/caller/route.h"
#include "plantainhead/core/requests/gateway.h"
#include "plantainhead/operators/entry_view.h"
#include "plantainhead/operators/routes.h"

namespace plantainhead::operators {

/// Turns operators' requests into records and the ends of these into answers.
/// Every change names the generation that it expects, so that of two operators
/// who change one object one gets a 409 with what is in force, and a request
/// that is sent again after a lost answer changes nothing twice.
/// Thread safety: all methods are safe from many threads at once.
class command_handlers {
 public:
  command_handlers(core::core_gateway gateway,
                   view_function view,
                   route_options options);

  caller::http_answer PublishTargets(const caller::http_request& request) const;
  caller::http_answer StartWave(const caller::http_request& request) const;
  /// Handles /v1/waves/{wave}/{pause|resume|cancel}.
  caller::http_answer ChangeWave(const caller::http_request& request) const;
  caller::http_answer SubmitJob(const caller::http_request& request) const;
  /// Handles /v1/jobs/{job}/{cancel|retry}; a retry frees a parked job.
  caller::http_answer ChangeJob(const caller::http_request& request) const;

 private:
  // Hands in a record and waits for its end, at most for the patience.
  core::answer_operator Run(const caller::http_request& request,
                            core::record_body body) const;

  // Runs a command and answers how it ended. `version` is the object's after
  // an accepted change; a conflict shows `in_force` of the fold.
  caller::http_answer Finish(
      const caller::http_request& request,
      core::record_body body,
      std::optional<core::generation> version,
      const std::function<json(const core::fleet_state&)>& in_force) const;

  core::core_gateway gateway_;
  view_function view_;
  route_options options_;
};

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_COMMANDS_H_
