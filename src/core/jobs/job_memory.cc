#include "plantainhead/core/jobs/job_memory.h"

#include <string>

namespace plantainhead::core::jobs {
namespace {

// The entries of a job in the tables of its owner.
constexpr std::size_t kJobBytes = 1500;
// What an allocation takes beyond what was asked for.
constexpr std::size_t kAllocationBytes = 16;

std::size_t AllocatedBytes(const std::string& text) {
  const bool is_inline = text.capacity() < sizeof(std::string) / 2;
  return is_inline ? 0 : text.capacity() + kAllocationBytes;
}

}  // namespace

std::size_t MemoryOf(const job_spec& spec) {
  std::size_t bytes = kJobBytes + AllocatedBytes(spec.payload) +
                      spec.steps.capacity() * sizeof(step_spec);
  for (const step_spec& step : spec.steps) {
    bytes += AllocatedBytes(step.required_label) +
             AllocatedBytes(step.preferred_rack) + AllocatedBytes(step.image);
    if (!step.depends_on.empty()) {
      bytes +=
          step.depends_on.capacity() * sizeof(std::uint32_t) + kAllocationBytes;
    }
  }
  return bytes;
}

}  // namespace plantainhead::core::jobs
