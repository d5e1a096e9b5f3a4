#ifndef PLANTAINHEAD_SRC_PLATFORM_PLATFORM_JSON_H_
#define PLANTAINHEAD_SRC_PLATFORM_PLATFORM_JSON_H_

#include <string>

#include "plantainhead/core/platform_types.h"
#include "platform/json_archive.h"

/// The JSON format of the platform interface, as described in docs/PLATFORM.md.
/// Times in it are whole milliseconds.
namespace plantainhead::platform {

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::vm_listing> x) {
  a("vm", x.vm);
  a("state", x.state);
  a("region", x.region);
  a("zone", x.zone);
  a("rack", x.rack);
  a("processors", x.processors);
  a("memory_mb", x.memory_mb);
  a("accelerators", x.accelerators);
  a("pool", x.pool);
  a("host", x.host);
  a("port", x.port);
  a("service", x.service);
  a("slots", x.slots);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::task_listing> x) {
  a("job", x.job);
  a("vm", x.vm);
  a("started_by", x.started_by);
  a("state", x.state);
  a("processors_used", x.processors_used);
  a("memory_used_mb", x.memory_used_mb);
  a("detail", x.detail);
}

/// Returns the JSON of an operation, including its type.
/// Thread safety: safe from any thread.
json WriteOperation(const core::platform_operation& operation);

/// Returns the operation encoded in `from`.
/// Errors: `codec_error`.
/// Thread safety: safe from any thread.
core::platform_operation ReadOperation(const json& from);

/// Returns the type name of the operation, as written by `WriteOperation`.
/// Thread safety: safe from any thread.
std::string TypeOf(const core::platform_operation& operation);

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_PLATFORM_JSON_H_
