#include "entry/frame_reader.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry/frame_generated.h"
#include "plantainhead/entry/frame_codec.h"

namespace plantainhead::entry {
namespace {

template <typename Item>
using items_of = flatbuffers::Vector<flatbuffers::Offset<Item>>;

[[noreturn]] void ThrowMalformed() {
  throw frame_error(frame_fault::kMalformed);
}

std::string ReadString(const flatbuffers::String* text) {
  return text ? text->str() : std::string();
}

core::request_id ReadId(const wire::RequestId& id) {
  return {core::incarnation{id.entry()}, id.sequence()};
}

// Returns the enumerator with this number, or nothing if `table`, which lists
// all enumerators, has none.
template <typename E, std::size_t N>
std::optional<E> FindEnumerator(const core::name_table<E, N>& table,
                                std::uint8_t number) {
  for (const auto& [value, name] : table) {
    if (static_cast<std::uint8_t>(value) == number) {
      return value;
    }
  }
  return std::nullopt;
}

core::duration ReadDuration(std::int64_t microseconds) {
  // An extreme value would overflow when it is added to a time.
  const core::duration value{microseconds};
  if (value < -kMaxTimeLeft || value > kMaxTimeLeft) {
    ThrowMalformed();
  }
  return value;
}

// The verifier checks the alignment of a vector's length, but not that of its
// elements. A corrupted frame can place 8-byte numbers at any multiple of 4,
// and reading them in place would be undefined behavior, so they are copied.
std::vector<std::uint64_t> ReadNumbers(
    const flatbuffers::Vector<std::uint64_t>* numbers) {
  std::vector<std::uint64_t> result;
  if (!numbers) {
    return result;
  }
  result.resize(numbers->size());
  const std::uint8_t* from = numbers->Data();
  for (std::uint64_t& number : result) {
    std::memcpy(&number, from, sizeof(number));
    number = flatbuffers::EndianScalar(number);
    from += sizeof(number);
  }
  return result;
}

core::header_list ReadHeaders(const items_of<wire::Header>* headers) {
  core::header_list result;
  if (!headers) {
    return result;
  }
  result.reserve(headers->size());
  for (const wire::Header* header : *headers) {
    result.emplace_back(header->name()->str(), header->value()->str());
  }
  return result;
}

core::shared_body ReadBody(const flatbuffers::Vector<std::uint8_t>* body) {
  if (!body) {
    return nullptr;
  }
  return std::make_shared<const std::string>(
      reinterpret_cast<const char*>(body->data()), body->size());
}

std::vector<core::service_load> ReadLoad(
    const items_of<wire::ServiceLoad>* load) {
  std::vector<core::service_load> result;
  if (!load) {
    return result;
  }
  result.reserve(load->size());
  for (const wire::ServiceLoad* item : *load) {
    result.push_back({core::service_name(item->service()->str()), item->slots(),
                      item->busy(), item->queued()});
  }
  return result;
}

std::vector<core::vm_in_flight> ReadInFlight(
    const items_of<wire::VmInFlight>* in_flight) {
  std::vector<core::vm_in_flight> result;
  if (!in_flight) {
    return result;
  }
  result.reserve(in_flight->size());
  for (const wire::VmInFlight* item : *in_flight) {
    result.push_back({core::vm_id(item->vm()->str()), item->requests()});
  }
  return result;
}

std::vector<core::class_counts> ReadClasses(
    const items_of<wire::ClassCounts>* classes) {
  std::vector<core::class_counts> result;
  if (!classes) {
    return result;
  }
  result.reserve(classes->size());
  for (const wire::ClassCounts* item : *classes) {
    core::class_counts& read = result.emplace_back();
    read.work = core::class_name(item->work()->str());
    const std::vector<std::uint64_t> by_fate = ReadNumbers(item->by_fate());
    const std::size_t known = read.counts.by_fate.size();
    // A newer sender may have more fates than this version knows.
    for (std::size_t i = 0; i < std::min(known, by_fate.size()); ++i) {
      read.counts.by_fate[i] = by_fate[i];
    }
  }
  return result;
}

std::vector<core::service_times> ReadTimes(
    const items_of<wire::ServiceTimes>* times) {
  std::vector<core::service_times> result;
  if (!times) {
    return result;
  }
  result.reserve(times->size());
  for (const wire::ServiceTimes* item : *times) {
    result.push_back({core::service_name(item->service()->str()),
                      item->finished(),
                      core::duration(item->held_microseconds())});
  }
  return result;
}

core::request_envelope ReadRequest(const wire::Request& request,
                                   core::time_point now) {
  core::request_envelope result;
  result.caller = core::caller_id(ReadString(request.caller()));
  result.service = core::service_name(ReadString(request.service()));
  result.work = core::class_name(ReadString(request.work()));
  result.method = ReadString(request.method());
  result.path = ReadString(request.path());
  result.headers = ReadHeaders(request.headers());
  result.body = ReadBody(request.body());
  result.deadline = now + ReadDuration(request.microseconds_left());
  result.idempotent = request.idempotent();
  if (request.key()) {
    result.key = core::claim_key(request.key()->str());
  }
  return result;
}

core::response ReadResponse(const wire::Response& answer) {
  core::response result;
  result.status = answer.status();
  result.headers = ReadHeaders(answer.headers());
  result.body = ReadBody(answer.body());
  const auto outcome = FindEnumerator(core::kOutcomeNames, answer.result());
  if (!outcome) {
    ThrowMalformed();
  }
  result.result = *outcome;
  // A newer entry may send reasons that this version does not know. They are
  // read as kNone, because clients act on the outcome only.
  result.reason = FindEnumerator(core::kAnswerReasonNames, answer.reason())
                      .value_or(core::answer_reason::kNone);
  result.detail = ReadString(answer.detail());
  if (answer.retry_after_microseconds()) {
    result.retry_after = ReadDuration(*answer.retry_after_microseconds());
  }
  return result;
}

core::forward_stage ReadStage(std::uint8_t number) {
  const core::forward_stage stage{number};
  switch (stage) {
    case core::forward_stage::kClaim:
    case core::forward_stage::kDispatch:
      return stage;
  }
  ThrowMalformed();
}

core::heartbeat ReadHeartbeat(const wire::Heartbeat& item) {
  core::heartbeat result;
  result.sequence = item.sequence();
  result.offset = item.offset();
  result.digest = item.digest();
  result.ready = item.ready();
  result.stopping = item.stopping();
  result.load = ReadLoad(item.load());
  result.in_flight = ReadInFlight(item.in_flight());
  result.complete = item.complete();
  result.classes = ReadClasses(item.classes());
  result.times = ReadTimes(item.times());
  for (const std::uint64_t number : ReadNumbers(item.suspected())) {
    result.suspected.push_back(core::incarnation{number});
  }
  return result;
}

core::peer_message ReadMessage(const wire::Frame& frame, core::time_point now) {
  switch (frame.message_type()) {
    case wire::Message::ForwardRequest: {
      const auto& item = *frame.message_as_ForwardRequest();
      return core::forward_request{ReadId(*item.id()), ReadStage(item.stage()),
                                   ReadRequest(*item.request(), now)};
    }
    case wire::Message::ForwardReply: {
      const auto& item = *frame.message_as_ForwardReply();
      return core::forward_reply{ReadId(*item.id()),
                                 ReadResponse(*item.answer()),
                                 ReadLoad(item.load())};
    }
    case wire::Message::CancelForward:
      return core::cancel_forward{
          ReadId(*frame.message_as_CancelForward()->id())};
    case wire::Message::Heartbeat:
      return ReadHeartbeat(*frame.message_as_Heartbeat());
    case wire::Message::NONE:
      ThrowMalformed();
  }
  throw frame_error(frame_fault::kUnknownMessage);
}

}  // namespace

core::peer_frame ReadFrame(std::string_view payload, core::time_point now) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    ThrowMalformed();
  }
  const wire::Frame& frame = *wire::GetFrame(payload.data());
  return {core::incarnation{frame.from()}, frame.view(),
          ReadMessage(frame, now)};
}

}  // namespace plantainhead::entry
