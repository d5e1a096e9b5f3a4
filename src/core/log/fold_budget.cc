#include "core/log/fold_rules.h"

namespace plantainhead::core::fold_rules {

fold_result ApplyRecord(fleet_state& state, const count_requests& body) {
  // An entry that was expelled while frozen may report counts that its new
  // incarnation reports again.
  if (!state.members.contains(body.who)) {
    return Conflict("the entry is not a member");
  }
  for (const auto& [name, counts] : body.classes) {
    // Only classes in the targets are counted, which bounds the number of
    // ledgers. Counts of a class that was removed from the targets are dropped.
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
