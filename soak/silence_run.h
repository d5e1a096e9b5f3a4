#ifndef PLANTAINHEAD_SOAK_SILENCE_RUN_H_
#define PLANTAINHEAD_SOAK_SILENCE_RUN_H_

#include "soak_site.h"

namespace plantainhead::soak {

/// Runs episodes of one kind of trouble. Clients hand nothing in for some
/// seconds, so that reads of the store wait for records. Connections to the
/// store then fall silent without a reset, while new ones work, and about then
/// the partitions are dealt anew, because an owner is killed or stopped or for
/// no reason. In the calm after it clients hand jobs in, cancel some, and ask
/// each process how many wait.
/// Returns whether all promises were kept, and prints what was broken.
bool RunSilences(const soak_options& chosen);

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_SILENCE_RUN_H_
