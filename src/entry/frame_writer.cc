#include "entry/frame_writer.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "entry/frame_generated.h"
#include "plantainhead/core/visit.h"
#include "plantainhead/entry/frame_codec.h"

namespace plantainhead::entry {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;

template <typename Item>
using offsets = Offset<Vector<Offset<Item>>>;

struct written_message {
  wire::Message kind;
  Offset<void> at;
};

wire::RequestId WriteId(const core::request_id& id) {
  return wire::RequestId(static_cast<std::uint64_t>(id.entry), id.sequence);
}

core::duration Clamp(core::duration left) {
  return std::clamp(left, -kMaxTimeLeft, kMaxTimeLeft);
}

core::duration TimeLeft(core::time_point deadline, core::time_point now) {
  // The difference of two extreme times would overflow.
  constexpr auto kBound = core::time_point::max().time_since_epoch() / 4;
  const auto at = std::clamp(deadline.time_since_epoch(), -kBound, kBound);
  return Clamp(at - now.time_since_epoch());
}

offsets<wire::Header> WriteHeaders(FlatBufferBuilder& builder,
                                   const core::header_list& headers) {
  std::vector<Offset<wire::Header>> items;
  items.reserve(headers.size());
  for (const auto& [name, value] : headers) {
    const auto wire_name = builder.CreateString(name);
    const auto wire_value = builder.CreateString(value);
    items.push_back(wire::CreateHeader(builder, wire_name, wire_value));
  }
  return items.empty() ? 0 : builder.CreateVector(items);
}

Offset<Vector<std::uint8_t>> WriteBody(FlatBufferBuilder& builder,
                                       const core::shared_body& body) {
  if (!body) {
    return 0;
  }
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(body->data()), body->size());
}

offsets<wire::ServiceLoad> WriteLoad(
    FlatBufferBuilder& builder,
    const std::vector<core::service_load>& load) {
  std::vector<Offset<wire::ServiceLoad>> items;
  items.reserve(load.size());
  for (const core::service_load& item : load) {
    const auto service = builder.CreateString(item.service.value());
    items.push_back(wire::CreateServiceLoad(builder, service, item.slots,
                                            item.busy, item.queued));
  }
  return items.empty() ? 0 : builder.CreateVector(items);
}

offsets<wire::VmInFlight> WriteInFlight(
    FlatBufferBuilder& builder,
    const std::vector<core::vm_in_flight>& in_flight) {
  std::vector<Offset<wire::VmInFlight>> items;
  items.reserve(in_flight.size());
  for (const core::vm_in_flight& item : in_flight) {
    const auto vm = builder.CreateString(item.vm.value());
    items.push_back(wire::CreateVmInFlight(builder, vm, item.requests));
  }
  return items.empty() ? 0 : builder.CreateVector(items);
}

offsets<wire::ClassCounts> WriteClasses(
    FlatBufferBuilder& builder,
    const std::vector<core::class_counts>& classes) {
  std::vector<Offset<wire::ClassCounts>> items;
  items.reserve(classes.size());
  for (const core::class_counts& item : classes) {
    const auto work = builder.CreateString(item.work.value());
    const auto by_fate = builder.CreateVector(item.counts.by_fate.data(),
                                              item.counts.by_fate.size());
    items.push_back(wire::CreateClassCounts(builder, work, by_fate));
  }
  return items.empty() ? 0 : builder.CreateVector(items);
}

offsets<wire::ServiceTimes> WriteTimes(
    FlatBufferBuilder& builder,
    const std::vector<core::service_times>& times) {
  std::vector<Offset<wire::ServiceTimes>> items;
  items.reserve(times.size());
  for (const core::service_times& item : times) {
    const auto service = builder.CreateString(item.service.value());
    items.push_back(wire::CreateServiceTimes(builder, service, item.finished,
                                             item.held.count()));
  }
  return items.empty() ? 0 : builder.CreateVector(items);
}

Offset<Vector<std::uint64_t>> WriteSuspected(
    FlatBufferBuilder& builder,
    const std::vector<core::incarnation>& suspected) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(suspected.size());
  for (const core::incarnation who : suspected) {
    numbers.push_back(static_cast<std::uint64_t>(who));
  }
  return numbers.empty() ? 0 : builder.CreateVector(numbers);
}

Offset<wire::Request> WriteRequest(FlatBufferBuilder& builder,
                                   const core::request_envelope& request,
                                   core::time_point now) {
  const auto caller = builder.CreateString(request.caller.value());
  const auto service = builder.CreateString(request.service.value());
  const auto work = builder.CreateString(request.work.value());
  const auto method = builder.CreateString(request.method);
  const auto path = builder.CreateString(request.path);
  const auto headers = WriteHeaders(builder, request.headers);
  const auto body = WriteBody(builder, request.body);
  Offset<flatbuffers::String> key;
  if (request.key) {
    key = builder.CreateString(request.key->value());
  }
  return wire::CreateRequest(
      builder, caller, service, work, method, path, headers, body,
      TimeLeft(request.deadline, now).count(), request.idempotent, key);
}

Offset<wire::Response> WriteResponse(FlatBufferBuilder& builder,
                                     const core::response& answer) {
  const auto headers = WriteHeaders(builder, answer.headers);
  const auto body = WriteBody(builder, answer.body);
  const auto detail = builder.CreateString(answer.detail);
  flatbuffers::Optional<std::int64_t> retry_after = flatbuffers::nullopt;
  if (answer.retry_after) {
    retry_after = Clamp(*answer.retry_after).count();
  }
  return wire::CreateResponse(builder, answer.status, headers, body,
                              static_cast<std::uint8_t>(answer.result),
                              static_cast<std::uint8_t>(answer.reason), detail,
                              retry_after);
}

written_message WriteMessage(FlatBufferBuilder& builder,
                             const core::peer_message& message,
                             core::time_point now) {
  return std::visit(
      core::overloaded{
          [&](const core::forward_request& item) -> written_message {
            const wire::RequestId id = WriteId(item.id);
            const auto request = WriteRequest(builder, item.request, now);
            const auto at = wire::CreateForwardRequest(
                builder, &id, static_cast<std::uint8_t>(item.stage), request);
            return {wire::Message::ForwardRequest, at.Union()};
          },
          [&](const core::forward_reply& item) -> written_message {
            const wire::RequestId id = WriteId(item.id);
            const auto answer = WriteResponse(builder, item.answer);
            const auto load = WriteLoad(builder, item.load);
            const auto at =
                wire::CreateForwardReply(builder, &id, answer, load);
            return {wire::Message::ForwardReply, at.Union()};
          },
          [&](const core::cancel_forward& item) -> written_message {
            const wire::RequestId id = WriteId(item.id);
            const auto at = wire::CreateCancelForward(builder, &id);
            return {wire::Message::CancelForward, at.Union()};
          },
          [&](const core::heartbeat& item) -> written_message {
            const auto load = WriteLoad(builder, item.load);
            const auto in_flight = WriteInFlight(builder, item.in_flight);
            const auto suspected = WriteSuspected(builder, item.suspected);
            const auto classes = WriteClasses(builder, item.classes);
            const auto times = WriteTimes(builder, item.times);
            const auto at = wire::CreateHeartbeat(
                builder, item.sequence, item.offset, item.digest, item.ready,
                item.stopping, load, in_flight, item.complete, suspected,
                classes, times);
            return {wire::Message::Heartbeat, at.Union()};
          },
      },
      message);
}

}  // namespace

void WriteFrame(const core::peer_frame& frame,
                core::time_point now,
                FlatBufferBuilder& builder) {
  const written_message message = WriteMessage(builder, frame.message, now);
  builder.Finish(wire::CreateFrame(builder,
                                   static_cast<std::uint64_t>(frame.from),
                                   frame.view, message.kind, message.at));
}

}  // namespace plantainhead::entry
