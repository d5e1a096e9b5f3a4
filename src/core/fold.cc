#include "plantainhead/core/fold.h"

#include <string>
#include <utility>
#include <variant>

#include "core/fold_rules.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

std::string OffsetText(log_offset applied, log_offset got) {
  return "entry " + std::to_string(got) + " can't follow offset " +
         std::to_string(applied);
}

// Returns false if the record was seen before.
bool Remember(fleet_state& state, const record_id& id) {
  if (!state.recent_ids.insert(id).second) {
    return false;
  }
  state.recent_records.emplace(state.offset, id);
  if (state.recent_records.size() > kRememberedRecords) {
    const auto oldest = state.recent_records.begin();
    state.recent_ids.erase(oldest->second);
    state.recent_records.erase(oldest);
  }
  return true;
}

fold_result ApplyBody(fleet_state& state, const record& content) {
  const auto misplaced = [](const auto&) {
    return fold_rules::Ignored("doesn't belong on the control stream");
  };
  return std::visit(
      overloaded{
          [&](const join_entry& body) { return fold_rules::Rule(state, body); },
          [&](const leave_entry& body) {
            return fold_rules::Rule(state, body);
          },
          [&](const accuse_entry& body) {
            return fold_rules::Rule(state, body);
          },
          [&](const withdraw_accusation& body) {
            return fold_rules::Rule(state, body);
          },
          [&](const take_planner_lease& body) {
            return fold_rules::Rule(state, body);
          },
          [&](const renew_planner_lease& body) {
            return fold_rules::Rule(state, body);
          },
          [&](const unknown_record& body) {
            return fold_rules::Ignored("unknown type '" + body.type + "'");
          },
          [&](const claim_request& body) { return misplaced(body); },
          [&](const release_claim& body) { return misplaced(body); },
          [&](const snapshot_taken& body) { return misplaced(body); },
          [&](const auto& body) {
            return fold_rules::Rule(state, body, content.author);
          },
      },
      content.body);
}

}  // namespace

offset_error::offset_error(log_offset applied, log_offset got)
    : std::logic_error(OffsetText(applied, got)),
      applied_(applied),
      got_(got) {}

fold_result Apply(fleet_state& state, const log_entry& entry) {
  if (entry.offset != state.offset + 1) {
    throw offset_error(state.offset, entry.offset);
  }
  state.offset = entry.offset;
  if (entry.content.id.empty()) {
    return fold_rules::Ignored("has no record id");
  }
  if (!Remember(state, entry.content.id)) {
    return {fold_outcome::kDuplicate, {}};
  }
  return ApplyBody(state, entry.content);
}

}  // namespace plantainhead::core
