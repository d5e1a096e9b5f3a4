#include "core/log/fold_rules.h"

namespace plantainhead::core::fold_rules {

fold_result ApplyRecord(fleet_state& state, const count_requests& body) {
  // An entry that was expelled while frozen may count what its new life counts
  // again.
  if (!state.members.contains(body.who)) {
    return Conflict("the entry isn't a member");
  }
  for (const auto& [name, counts] : body.classes) {
    // Names come from the targets, so the ledgers are bounded by them; a class
    // that was taken out since is not counted any more.
    if (state.targets.FindClass(name) != nullptr) {
      state.ledgers[name].Add(body.at, counts);
    }
  }
  std::erase_if(state.ledgers, [&](const auto& item) {
    return state.targets.FindClass(item.first) == nullptr;
  });
  return Applied();
}

}  // namespace plantainhead::core::fold_rules
