#include "jobs/clocks.h"

#include <ctime>

namespace plantainhead::jobs {
namespace {

core::time_point Read(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  const auto since =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return core::time_point(std::chrono::duration_cast<core::duration>(since));
}

}  // namespace

core::time_point BootTime() {
  return Read(CLOCK_BOOTTIME);
}

core::time_point WallTime() {
  return Read(CLOCK_REALTIME);
}

core::duration ThreadCpuTime() {
  return Read(CLOCK_THREAD_CPUTIME_ID).time_since_epoch();
}

std::string MillisOf(core::duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace plantainhead::jobs
