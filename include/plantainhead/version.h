#ifndef PLANTAINHEAD_VERSION_H_
#define PLANTAINHEAD_VERSION_H_

namespace plantainhead {

/// The version that `--version` of every program prints.
inline constexpr const char kVersion[] = "0.1.0";

}  // namespace plantainhead

#endif  // PLANTAINHEAD_VERSION_H_
