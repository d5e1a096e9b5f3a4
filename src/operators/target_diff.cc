#include "operators/target_diff.h"

#include <map>
#include <utility>

#include "settings/units.h"

namespace plantainhead::operators {
namespace {

// The keys of one part with their values as text.
using field_list = std::vector<std::pair<std::string, std::string>>;

template <typename Ids>
std::string Join(const Ids& ids) {
  std::string text;
  for (const auto& id : ids) {
    text += (text.empty() ? "" : ",") + id.value();
  }
  return text;
}

field_list FieldsOf(const core::service_spec& spec) {
  return {{"pools", Join(spec.pools)}};
}

field_list FieldsOf(const core::work_class& spec) {
  return {{"service", spec.service.value()},
          {"served", settings::FormatShare(spec.served)},
          {"within", settings::FormatDuration(spec.within)},
          {"unavailability", settings::FormatShare(spec.unavailability)},
          {"window", settings::FormatDuration(spec.window)},
          {"can-wait", spec.can_wait ? "true" : "false"}};
}

field_list FieldsOf(const core::pool_spec& spec) {
  return {{"team", spec.team.value()},
          {"least-vms", std::to_string(spec.min_vms)}};
}

field_list FieldsOf(const core::team_spec& spec) {
  return {{"vms", std::to_string(spec.vms)},
          {"accelerators", std::to_string(spec.accelerators)}};
}

field_list FieldsOf(const core::objective_priorities& priorities) {
  return {{"buffer-cost", settings::FormatNumber(priorities.buffer_cost)},
          {"roll-out-time", settings::FormatNumber(priorities.roll_out_time)},
          {"moves", settings::FormatNumber(priorities.moves)}};
}

std::string Whole(const field_list& fields) {
  std::string text;
  for (const auto& [key, value] : fields) {
    text.append(" ").append(key).append("=").append(value);
  }
  return text;
}

void AddChanges(const std::string& what,
                const field_list& before,
                const field_list& after,
                std::vector<std::string>* lines) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto& [key, old_value] = before[i];
    const std::string& new_value = after[i].second;
    if (old_value != new_value) {
      std::string line = "~ " + what + ": ";
      line.append(key).append(" ").append(old_value);
      line.append(" -> ").append(new_value);
      lines->push_back(std::move(line));
    }
  }
}

template <typename Spec>
void AddDiff(const std::string& kind,
             const std::vector<Spec>& before,
             const std::vector<Spec>& after,
             std::vector<std::string>* lines) {
  std::map<std::string, field_list> old_parts;
  for (const Spec& spec : before) {
    old_parts[spec.name.value()] = FieldsOf(spec);
  }
  for (const Spec& spec : after) {
    const std::string what = kind + " " + spec.name.value();
    const auto old_part = old_parts.find(spec.name.value());
    if (old_part == old_parts.end()) {
      lines->push_back("+ " + what + Whole(FieldsOf(spec)));
      continue;
    }
    AddChanges(what, old_part->second, FieldsOf(spec), lines);
    old_parts.erase(old_part);
  }
  for (const auto& [name, fields] : old_parts) {
    std::string line = "- " + kind;
    line.append(" ").append(name).append(Whole(fields));
    lines->push_back(std::move(line));
  }
}

}  // namespace

std::vector<std::string> DiffTargets(const core::configuration& before,
                                     const core::configuration& after) {
  std::vector<std::string> lines;
  AddDiff("service", before.services, after.services, &lines);
  AddDiff("class", before.classes, after.classes, &lines);
  AddDiff("pool", before.pools, after.pools, &lines);
  AddDiff("team", before.teams, after.teams, &lines);
  AddChanges("priorities", FieldsOf(before.priorities),
             FieldsOf(after.priorities), &lines);
  return lines;
}

}  // namespace plantainhead::operators
