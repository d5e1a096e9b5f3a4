#ifndef PLANTAINHEAD_OPERATORS_ROUTES_H_
#define PLANTAINHEAD_OPERATORS_ROUTES_H_

#include <chrono>

#include "plantainhead/caller/route.h"
#include "plantainhead/core/requests/gateway.h"
#include "plantainhead/observe/metrics.h"
#include "plantainhead/operators/entry_view.h"

namespace plantainhead::operators {

/// How the operators' routes wait.
struct route_options {
  /// How long a command may take before the operator is told that its end is
  /// unknown. An HTTP thread is held for that long.
  std::chrono::milliseconds command_patience = std::chrono::seconds(10);
  /// `Retry-After` of a command that could not be decided.
  std::chrono::seconds retry_after = std::chrono::seconds(2);
};

/// Returns the routes under /v1/ and the probes /healthz and /readyz.
/// docs/OPERATIONS.md lists them with their answers.
///
///     server.Add(MakeOperatorRoutes(gateway, [&] { return entry.View(); }));
///
/// Only `command` and `ready` of the gateway are used. Preconditions: both and
/// `view` are set and stay callable as long as the routes do.
/// Thread safety: the handlers may be called from many threads at once.
caller::route_list MakeOperatorRoutes(const core::core_gateway& gateway,
                                      const view_function& view,
                                      route_options options = {});

/// Returns GET /metrics, which answers `all` as Prometheus text.
/// Precondition: `all` isn't null and outlives the routes.
/// Thread safety: the handler may be called from many threads at once.
caller::route_list MakeMetricsRoutes(const observe::metrics* all);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_OPERATORS_ROUTES_H_
