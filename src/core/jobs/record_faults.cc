#include "plantainhead/core/jobs/record_faults.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// Maximum number of keys that are tracked. At most a thousand log lines of 200
// bytes are written, and the keys take about 300 KB.
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
      // If the claim were ignored, the next owner would take the partition for
      // one that no process has worked on, and would start running tasks again.
      // It is enough that the owner waits until the leases have expired.
      return fault_effect::kClaimUnknown;
    case record_use::kUsedVm:
      // A task that may be running there would be started a second time.
    case record_use::kHostOrder:
      // Two orders for the same host could be carried out one after the other.
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
