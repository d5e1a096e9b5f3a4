#include "platform/platform_json.h"

#include <array>
#include <chrono>
#include <utility>
#include <variant>

namespace plantainhead::platform {
namespace {

// In the order of the variant's alternatives.
constexpr std::array kOperationNames = {
    "drain_vm",   "reboot_vm",       "move_vm",       "start_task",
    "renew_task", "checkpoint_task", "throttle_task", "stop_task",
};
static_assert(kOperationNames.size() ==
              std::variant_size_v<core::platform_operation>);

// A lease is encoded in whole milliseconds.
void LeaseMsField(json_reader& a, core::duration& lease) {
  std::int64_t milliseconds = 0;
  a("lease_ms", milliseconds);
  lease = std::chrono::milliseconds(milliseconds);
}

void LeaseMsField(json_writer& a, const core::duration& lease) {
  a("lease_ms",
    std::chrono::duration_cast<std::chrono::milliseconds>(lease).count());
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::drain_vm> x) {
  a("vm", x.vm);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::reboot_vm> x) {
  a("vm", x.vm);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::move_vm> x) {
  a("vm", x.vm);
  a("pool", x.pool);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::start_task> x) {
  a("job", x.job);
  a("vm", x.vm);
  a("processors", x.processors);
  a("memory_mb", x.memory_mb);
  a("accelerators", x.accelerators);
  LeaseMsField(a, x.lease);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::renew_task> x) {
  a("job", x.job);
  a("vm", x.vm);
  LeaseMsField(a, x.lease);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::checkpoint_task> x) {
  a("job", x.job);
  a("vm", x.vm);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::throttle_task> x) {
  a("job", x.job);
  a("vm", x.vm);
  a("percent", x.percent);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::stop_task> x) {
  a("job", x.job);
  a("vm", x.vm);
}

template <std::size_t I = 0>
core::platform_operation MakeOperation(const std::string& type) {
  if constexpr (I == kOperationNames.size()) {
    throw codec_error("/type", "expected the name of an operation");
  } else {
    if (type == kOperationNames[I]) {
      return core::platform_operation(std::in_place_index<I>);
    }
    return MakeOperation<I + 1>(type);
  }
}

}  // namespace

json WriteOperation(const core::platform_operation& operation) {
  json_writer out;
  std::visit([&](const auto& what) { Fields(out, what); }, operation);
  out("type", TypeOf(operation));
  return out.Take();
}

core::platform_operation ReadOperation(const json& from) {
  json_reader in(from, "");
  std::string type;
  json_reader::Read(in.Require("type"), type, "/type");
  core::platform_operation operation = MakeOperation(type);
  std::visit([&](auto& what) { Fields(in, what); }, operation);
  return operation;
}

std::string TypeOf(const core::platform_operation& operation) {
  return kOperationNames[operation.index()];
}

}  // namespace plantainhead::platform
