#include "plantainhead/core/log/fold.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/log/fold_rules.h"
#include "plantainhead/core/log/record_number.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

std::string OffsetText(log_offset applied, log_offset got) {
  return "entry " + std::to_string(got) + " cannot follow offset " +
         std::to_string(applied);
}

void ForgetOldestWriter(fleet_state& state) {
  const auto oldest =
      std::min_element(state.writers.begin(), state.writers.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.offset < b.second.offset;
                       });
  state.writers.erase(oldest);
}

// Returns false if the record is a duplicate.
bool RememberNumbered(fleet_state& state, const record_number& id) {
  const auto [position, is_new] = state.writers.try_emplace(id.writer);
  if (!is_new && id.number <= position->second.number) {
    return false;
  }
  position->second = {id.number, state.offset};
  if (state.writers.size() > kRetainedIncarnations) {
    ForgetOldestWriter(state);
  }
  return true;
}

bool RememberId(fleet_state& state, const record_id& id) {
  if (!state.recent_ids.insert(id).second) {
    return false;
  }
  state.recent_records.emplace(state.offset, id);
  if (state.recent_records.size() > kRetainedRecordIds) {
    const auto oldest = state.recent_records.begin();
    state.recent_ids.erase(oldest->second);
    state.recent_records.erase(oldest);
  }
  return true;
}

bool Remember(fleet_state& state, const record_id& id) {
  const std::optional<record_number> numbered = ParseRecordId(id);
  return numbered ? RememberNumbered(state, *numbered) : RememberId(state, id);
}

fold_result ApplyBody(fleet_state& state, const record& content) {
  const auto misplaced = [](const auto&) {
    return fold_rules::Ignored(
        "this record type does not belong on the control stream");
  };
  return std::visit(
      overloaded{
          [&](const join_entry& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const leave_entry& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const accuse_entry& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const withdraw_accusation& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const take_planner_lease& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const renew_planner_lease& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const count_requests& body) {
            return fold_rules::ApplyRecord(state, body);
          },
          [&](const unknown_record& body) {
            return fold_rules::Ignored("unknown record type '" + body.type +
                                       "'");
          },
          [&](const claim_request& body) { return misplaced(body); },
          [&](const release_claim& body) { return misplaced(body); },
          [&](const snapshot_taken& body) { return misplaced(body); },
          [&](const auto& body) {
            return fold_rules::ApplyRecord(state, body, content.author);
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
    return fold_rules::Ignored("the record has no id");
  }
  if (!Remember(state, entry.content.id)) {
    return {fold_outcome::kDuplicate, {}};
  }
  return ApplyBody(state, entry.content);
}

}  // namespace plantainhead::core
