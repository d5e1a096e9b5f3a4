#ifndef PLANTAINHEAD_CORE_CONFIGURATION_H_
#define PLANTAINHEAD_CORE_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// What operators promise for one class of work. There are no weights: the
/// system works out from these how much each class gets.
struct work_class {
  class_name name;
  service_name service;
  /// Share of the requests that must be served in time, in (0, 1].
  double served = 0.99;
  /// Time from arrival to whole answer within which a request counts as served.
  duration within = std::chrono::seconds(1);
  /// Share of requests that may go unserved over `window`, in [0, 1).
  double unavailability = 0.01;
  /// Period over which the budget is counted.
  duration window = std::chrono::hours(24 * 30);
  /// True for work that may wait behind other classes but must finish.
  bool can_wait = false;

  friend bool operator==(const work_class&, const work_class&) = default;
};

/// A back-end service and the pools whose VMs run its endpoints.
struct service_spec {
  service_name name;
  std::vector<pool_id> pools;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

/// A pool of VMs and the team that it counts against.
struct pool_spec {
  pool_id name;
  team_id team;
  /// Fewest VMs that the pool keeps, whatever the demand.
  std::uint32_t min_vms = 0;

  friend bool operator==(const pool_spec&, const pool_spec&) = default;
};

/// The most that all pools and jobs of one team may hold.
struct team_spec {
  team_id name;
  std::uint32_t vms = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const team_spec&, const team_spec&) = default;
};

/// How much each measure matters to the operators, as published priorities of
/// the measures (never weights on classes). Greater matters more.
struct objective_priorities {
  double buffer_cost = 1.0;
  double roll_out_time = 1.0;
  double moves = 1.0;

  friend bool operator==(const objective_priorities&,
                         const objective_priorities&) = default;
};

/// All that operators publish as targets; replaced as a whole.
struct configuration {
  std::vector<service_spec> services;
  std::vector<work_class> classes;
  std::vector<pool_spec> pools;
  std::vector<team_spec> teams;
  objective_priorities priorities;

  /// Returns the class called `name`, or null.
  /// Thread safety: safe from any thread while nobody writes.
  const work_class* FindClass(const class_name& name) const;

  /// Returns the service called `name`, or null.
  /// Thread safety: safe from any thread while nobody writes.
  const service_spec* FindService(const service_name& name) const;

  friend bool operator==(const configuration&, const configuration&) = default;
};

/// Collects the parts of a configuration and checks them together.
///
///     configuration targets = configuration_builder()
///                                 .AddPool({pool_id("casework")})
///                                 .AddService({service_name("intake"),
///                                              {pool_id("casework")}})
///                                 .Build();
///
/// Thread safety: none.
class configuration_builder {
 public:
  /// Each part is kept with the place where it was read, for findings.
  configuration_builder& AddService(service_spec spec, source_location at = {});
  configuration_builder& AddClass(work_class spec, source_location at = {});
  configuration_builder& AddPool(pool_spec spec, source_location at = {});
  configuration_builder& AddTeam(team_spec spec, source_location at = {});
  configuration_builder& SetPriorities(objective_priorities priorities);

  /// Returns all that is wrong with what was added: empty and repeated names,
  /// references to things that aren't there, shares and times out of range.
  std::vector<finding> Check() const;

  /// Returns the configuration. Throws `findings_error` with all of `Check()`.
  configuration Build() const;

 private:
  configuration parts_;
  std::vector<source_location> service_places_;
  std::vector<source_location> class_places_;
  std::vector<source_location> pool_places_;
  std::vector<source_location> team_places_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CONFIGURATION_H_
