#ifndef PLANTAINHEAD_CORE_PLANNER_CONTEXT_H_
#define PLANTAINHEAD_CORE_PLANNER_CONTEXT_H_

#include <map>
#include <string>

#include "plantainhead/core/effects.h"
#include "plantainhead/core/fleet_view.h"
#include "plantainhead/core/operation_tracker.h"
#include "plantainhead/core/planner_types.h"
#include "plantainhead/core/record_gate.h"

namespace plantainhead::core {

/// Why things stand as they do, by the name of the object ("vm:suwon-3").
using reason_book = std::map<std::string, std::string>;

/// What the parts of the planner share during one plan.
struct planner_context {
  const planner_inputs& inputs;
  const planner_options& options;
  const fleet_view& view;
  time_point now;
  record_gate& gate;
  operation_tracker& operations;
  reason_book& reasons;
  effects& out;

  /// Keeps `reason` for `object` and notes it the first time that it is given.
  void Report(note_level level,
              const std::string& object,
              const std::string& reason) const {
    std::string& kept = reasons[object];
    if (kept == reason) {
      return;
    }
    kept = reason;
    out.Note(level, reason, {{"object", object}});
  }
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_PLANNER_CONTEXT_H_
