#include "plantainhead/core/configuration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace plantainhead::core {
namespace {

// Validates lists of named parts and collects the findings.
class spec_validator {
 public:
  explicit spec_validator(std::vector<finding>* findings)
      : findings_(findings) {}

  void Require(bool holds, const source_location& at, std::string message) {
    if (!holds) {
      findings_->push_back({at, std::move(message)});
    }
  }

  template <typename Spec>
  void CheckNames(const std::vector<Spec>& specs,
                  const std::vector<source_location>& places,
                  const std::string& kind) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < specs.size(); ++i) {
      const std::string& name = specs[i].name.value();
      Require(!name.empty(), places[i], kind + " has no name");
      if (!seen.insert(name).second) {
        AddRepeat(kind, name, places[i]);
      }
    }
  }

 private:
  void AddRepeat(const std::string& kind,
                 const std::string& name,
                 const source_location& at) {
    findings_->push_back({at, kind + " '" + name + "' is defined twice"});
  }

  std::vector<finding>* findings_;
};

template <typename Spec, typename Id>
bool Contains(const std::vector<Spec>& specs, const Id& name) {
  return std::any_of(specs.begin(), specs.end(),
                     [&](const Spec& spec) { return spec.name == name; });
}

template <typename Spec, typename Id>
const Spec* Find(const std::vector<Spec>& specs, const Id& name) {
  for (const Spec& spec : specs) {
    if (spec.name == name) {
      return &spec;
    }
  }
  return nullptr;
}

}  // namespace

const work_class* configuration::FindClass(const class_name& name) const {
  return Find(classes, name);
}

const service_spec* configuration::FindService(const service_name& name) const {
  return Find(services, name);
}

configuration_builder& configuration_builder::AddService(service_spec spec,
                                                         source_location at) {
  parts_.services.push_back(std::move(spec));
  service_places_.push_back(std::move(at));
  return *this;
}

configuration_builder& configuration_builder::AddClass(work_class spec,
                                                       source_location at) {
  parts_.classes.push_back(std::move(spec));
  class_places_.push_back(std::move(at));
  return *this;
}

configuration_builder& configuration_builder::AddPool(pool_spec spec,
                                                      source_location at) {
  parts_.pools.push_back(std::move(spec));
  pool_places_.push_back(std::move(at));
  return *this;
}

configuration_builder& configuration_builder::AddTeam(team_spec spec,
                                                      source_location at) {
  parts_.teams.push_back(std::move(spec));
  team_places_.push_back(std::move(at));
  return *this;
}

configuration_builder& configuration_builder::SetPriorities(
    objective_priorities priorities) {
  parts_.priorities = priorities;
  return *this;
}

std::vector<finding> configuration_builder::Check() const {
  std::vector<finding> findings;
  spec_validator check(&findings);
  check.CheckNames(parts_.services, service_places_, "service");
  check.CheckNames(parts_.classes, class_places_, "class");
  check.CheckNames(parts_.pools, pool_places_, "pool");
  check.CheckNames(parts_.teams, team_places_, "team");
  for (std::size_t i = 0; i < parts_.services.size(); ++i) {
    const service_spec& spec = parts_.services[i];
    for (const pool_id& pool : spec.pools) {
      check.Require(Contains(parts_.pools, pool), service_places_[i],
                    "service '" + spec.name.value() + "' names pool '" +
                        pool.value() + "', which isn't defined");
    }
  }
  for (std::size_t i = 0; i < parts_.classes.size(); ++i) {
    const work_class& spec = parts_.classes[i];
    const std::string who = "class '" + spec.name.value() + "' ";
    const source_location& at = class_places_[i];
    check.Require(Contains(parts_.services, spec.service), at,
                  who + "names service '" + spec.service.value() +
                      "', which isn't defined");
    check.Require(spec.served > 0 && spec.served <= 1, at,
                  who + "needs 'served' above 0% and at most 100%");
    check.Require(spec.unavailability >= 0 && spec.unavailability < 1, at,
                  who + "needs 'unavailability' from 0% to below 100%");
    check.Require(spec.within > duration::zero(), at,
                  who + "needs 'within' above 0");
    check.Require(spec.window >= spec.within, at,
                  who + "needs a 'window' no shorter than 'within'");
  }
  for (std::size_t i = 0; i < parts_.pools.size(); ++i) {
    const pool_spec& spec = parts_.pools[i];
    check.Require(spec.team.empty() || Contains(parts_.teams, spec.team),
                  pool_places_[i],
                  "pool '" + spec.name.value() + "' names team '" +
                      spec.team.value() + "', which isn't defined");
  }
  return findings;
}

configuration configuration_builder::Build() const {
  std::vector<finding> findings = Check();
  if (!findings.empty()) {
    throw findings_error(std::move(findings));
  }
  return parts_;
}

}  // namespace plantainhead::core
