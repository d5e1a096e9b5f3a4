#include "plantainhead/runtime/wall_clock.h"

namespace plantainhead::runtime {

wall_clock::wall_clock()
    : wall_start_(std::chrono::duration_cast<core::duration>(
          std::chrono::system_clock::now().time_since_epoch())),
      steady_start_(std::chrono::steady_clock::now()) {}

core::time_point wall_clock::Now() const {
  const auto passed = std::chrono::steady_clock::now() - steady_start_;
  return wall_start_ + std::chrono::duration_cast<core::duration>(passed);
}

}  // namespace plantainhead::runtime
