#include "plantainhead/core/jobs/record_faults.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// Keys that are told apart. A thousand lines of 200 bytes are written at most
// once, and the keys take some 300 KB at most.
constexpr std::size_t kMaxFaultyKeys = 1000;

bool IsValidNameByte(char byte) {
  return byte > ' ' && byte <= '~';
}

}  // namespace

fault_effect EffectOf(record_use use) {
  switch (use) {
    case record_use::kVmEntry:
      return fault_effect::kNoNewTasks;
    case record_use::kOwnerClaim:
      // Without the claim that it replaced, the next owner would take the
      // partition for one that nobody has worked on, and would start again what
      // runs. The wait for leases to run out is enough.
      return fault_effect::kClaimUnknown;
    case record_use::kUsedVm:
      // What may run there would be started a second time.
    case record_use::kHostOrder:
      // Two orders for one host could follow each other.
      return fault_effect::kAssumeInUse;
    case record_use::kConfiguration:
    case record_use::kWave:
    case record_use::kJob:
    case record_use::kProgress:
    case record_use::kVacancy:
    case record_use::kFleetNote:
      break;
  }
  return fault_effect::kKeepPrevious;
}

bool record_fault_counter::Note(const std::string& topic,
                                const std::string& key,
                                const record_fault& fault) {
  ++counts_[{topic, fault.kind}];
  return keys_.size() < kMaxFaultyKeys && keys_.emplace(topic, key).second;
}

void record_fault_counter::NoteValid(const std::string& topic,
                                     const std::string& key) {
  if (!keys_.empty()) {
    keys_.erase({topic, key});
  }
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsValidNameByte);
}

}  // namespace plantainhead::core::jobs
