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

/// The service-level objective of one class of requests. Operators set no
/// weights: the system derives each class's share of the capacity from these
/// objectives.
struct work_class {
  class_name name;
  service_name service;
  /// Fraction of requests that must be served within `within`, in (0, 1].
  double served = 0.99;
  /// Greatest time from arrival to the complete response for a request to count
  /// as served.
  duration within = std::chrono::seconds(1);
  /// Fraction of requests that may go unserved over `window`, in [0, 1): the
  /// error budget.
  double unavailability = 0.01;
  /// Period over which the error budget is measured.
  duration window = std::chrono::hours(24 * 30);
  /// True for requests that may be queued behind other classes but must
  /// complete eventually.
  bool can_wait = false;

  friend bool operator==(const work_class&, const work_class&) = default;
};

/// A back-end service and the pools whose VMs run its endpoints.
struct service_spec {
  service_name name;
  std::vector<pool_id> pools;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

/// A pool of VMs and the team whose quota it is charged to.
struct pool_spec {
  pool_id name;
  team_id team;
  /// Minimum number of VMs in the pool, regardless of demand.
  std::uint32_t min_vms = 0;

  friend bool operator==(const pool_spec&, const pool_spec&) = default;
};

/// Resource quota of one team: the maximum that all its pools and jobs may use
/// together.
struct team_spec {
  team_id name;
  std::uint32_t vms = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const team_spec&, const team_spec&) = default;
};

/// Relative priorities of the optimization objectives, set by operators. They
/// rank objectives and never weigh classes against each other. A greater value
/// means a higher priority.
struct objective_priorities {
  double buffer_cost = 1.0;
  double roll_out_time = 1.0;
  double moves = 1.0;

  friend bool operator==(const objective_priorities&,
                         const objective_priorities&) = default;
};

/// The complete set of targets that operators publish. Each publication
/// replaces the whole configuration.
struct configuration {
  std::vector<service_spec> services;
  std::vector<work_class> classes;
  std::vector<pool_spec> pools;
  std::vector<team_spec> teams;
  objective_priorities priorities;

  /// Returns the class named `name`, or null. Thread safety: safe from any
  /// thread while no thread writes.
  const work_class* FindClass(const class_name& name) const;

  /// Returns the service named `name`, or null. Thread safety: safe from any
  /// thread while no thread writes.
  const service_spec* FindService(const service_name& name) const;

  friend bool operator==(const configuration&, const configuration&) = default;
};

/// Builds a configuration from its parts and validates them together.
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
  /// Each part is stored with the source location it was read from, which its
  /// findings report.
  configuration_builder& AddService(service_spec spec, source_location at = {});
  configuration_builder& AddClass(work_class spec, source_location at = {});
  configuration_builder& AddPool(pool_spec spec, source_location at = {});
  configuration_builder& AddTeam(team_spec spec, source_location at = {});
  configuration_builder& SetPriorities(objective_priorities priorities);

  /// Returns all validation errors in the parts added so far: empty and
  /// duplicate names, references to undefined objects, and fractions and
  /// durations out of range.
  std::vector<finding> Check() const;

  /// Returns the configuration. Throws `findings_error` with all findings of
  /// `Check()` if there are any.
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
