#ifndef PLANTAINHEAD_VERSION_H_
#define PLANTAINHEAD_VERSION_H_

namespace plantainhead {

/// Version printed by the `--version` flag of every program.
inline constexpr const char kVersion[] = "0.1.0";

}  // namespace plantainhead

#endif  // PLANTAINHEAD_VERSION_H_
