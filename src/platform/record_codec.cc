#include "plantainhead/platform/record_codec.h"

#include <array>
#include <utility>
#include <variant>

#include "plantainhead/core/visit.h"
#include "platform/json_archive.h"
#include "platform/record_fields.h"

namespace plantainhead::platform {
namespace {

// The type names of records in the log, in the order of the variant's
// alternatives. A name that has been written to a log must never be reused for
// another type.
constexpr std::array kTypeNames = {
    "publish-configuration",
    "join-entry",
    "leave-entry",
    "accuse-entry",
    "withdraw-accusation",
    "take-planner-lease",
    "renew-planner-lease",
    "assign-vm",
    "set-vm-phase",
    "forget-vm",
    "start-wave",
    "set-wave-state",
    "submit-job",
    "set-job-state",
    "set-quarantine",
    "count-requests",
    "claim-request",
    "release-claim",
    "snapshot-taken",
};
// The last alternative, `unknown_record`, stores its own type name.
static_assert(kTypeNames.size() + 1 == std::variant_size_v<core::record_body>);

std::string TypeOf(const core::record_body& body) {
  if (const auto* unknown = std::get_if<core::unknown_record>(&body)) {
    return unknown->type;
  }
  return kTypeNames[body.index()];
}

// Returns a default-constructed body of the given type.
template <std::size_t I = 0>
core::record_body MakeBody(const std::string& type) {
  if constexpr (I == kTypeNames.size()) {
    return core::unknown_record{type};
  } else {
    if (type == kTypeNames[I]) {
      return core::record_body(std::in_place_index<I>);
    }
    return MakeBody<I + 1>(type);
  }
}

template <typename T>
std::string EncodeText(const T& value) {
  return Dump(json_writer::Write(value));
}

template <typename T>
T DecodeText(std::string_view text) {
  T value;
  json_reader::Read(ParseObject(text), value, "");
  return value;
}

}  // namespace

codec_error::codec_error(std::string place, const std::string& message)
    : std::runtime_error(place.empty() ? message : place + ": " + message),
      place_(std::move(place)) {}

std::string EncodeRecord(const core::record& content) {
  json_writer out;
  out("id", content.id);
  out("author", content.author);
  out("type", TypeOf(content.body));
  std::visit([&](const auto& body) { out("body", body); }, content.body);
  return Dump(out.Take());
}

core::record DecodeRecord(std::string_view text) {
  const json parsed = ParseObject(text);
  json_reader in(parsed, "");
  core::record content;
  std::string type;
  json_reader::Read(in.Require("id"), content.id, "/id");
  json_reader::Read(in.Require("type"), type, "/type");
  in("author", content.author);
  content.body = MakeBody(type);
  std::visit(core::overloaded{
                 [](core::unknown_record&) {},
                 [&](auto& body) {
                   json_reader::Read(in.Require("body"), body, "/body");
                 },
             },
             content.body);
  return content;
}

std::string EncodeState(const core::fleet_state& state) {
  return EncodeText(state);
}

core::fleet_state DecodeState(std::string_view text) {
  return DecodeText<core::fleet_state>(text);
}

std::string EncodeConfiguration(const core::configuration& targets) {
  return EncodeText(targets);
}

core::configuration DecodeConfiguration(std::string_view text) {
  return DecodeText<core::configuration>(text);
}

}  // namespace plantainhead::platform
