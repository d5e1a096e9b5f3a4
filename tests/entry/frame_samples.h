#ifndef PLANTAINHEAD_TESTS_ENTRY_FRAME_SAMPLES_H_
#define PLANTAINHEAD_TESTS_ENTRY_FRAME_SAMPLES_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/frame_generated.h"
#include "plantainhead/core/entry/messages.h"
#include "plantainhead/entry/frame_codec.h"

namespace plantainhead::entry {

inline const core::time_point kSampleNow{std::chrono::hours(24 * 365 * 55)};

inline core::peer_frame SampleRequest() {
  core::forward_request item;
  item.id = {core::incarnation{7}, 8};
  item.stage = core::forward_stage::kClaim;
  item.request.caller = core::caller_id("surgery");
  item.request.service = core::service_name("intake");
  item.request.work = core::class_name("urgent");
  item.request.method = "POST";
  item.request.path = "/appeals?a=b";
  item.request.headers = {{"content-type", "text/plain"}};
  item.request.body = std::make_shared<const std::string>("an appeal");
  item.request.deadline = kSampleNow + std::chrono::seconds(3);
  item.request.idempotent = false;
  item.request.key = core::claim_key("surgery/42");
  return {core::incarnation{7}, 99, item};
}

inline core::peer_frame SampleReply() {
  core::forward_reply item;
  item.id = {core::incarnation{7}, 8};
  item.answer.status = 503;
  item.answer.headers = {{"a", "b"}, {"a", ""}};
  item.answer.body = std::make_shared<const std::string>("");
  item.answer.result = core::outcome::kNotRun;
  item.answer.reason = core::answer_reason::kStopping;
  item.answer.detail = "the entry stops";
  item.answer.retry_after = std::chrono::milliseconds(250);
  item.load = {{core::service_name("intake"), 8, 3, 1}};
  return {core::incarnation{9}, 100, item};
}

inline core::peer_frame SampleCancel() {
  return {core::incarnation{7}, 99,
          core::cancel_forward{{core::incarnation{7}, 8}}};
}

inline core::peer_frame SampleHeartbeat() {
  core::heartbeat item;
  item.sequence = 5;
  item.offset = 1234;
  item.digest = 0xFEEDFACE12345678ULL;
  item.ready = true;
  item.load = {{core::service_name("intake"), 8, 3, 1},
               {core::service_name("routing"), 16, 0, 0}};
  item.in_flight = {{core::vm_id("vm-17"), 2}};
  item.classes = {{core::class_name("petitions"), {{7, 1, 0, 2, 3}}}};
  item.times = {{core::service_name("intake"), 9, std::chrono::seconds(3)}};
  return {core::incarnation{11}, 101, item};
}

// Returns a heartbeat without load that reports suspected members.
inline core::peer_frame SampleSmallHeartbeat() {
  core::heartbeat item;
  item.sequence = 6;
  item.offset = 1234;
  item.digest = 0xFEEDFACE12345678ULL;
  item.complete = false;
  item.suspected = {core::incarnation{3}, core::incarnation{4}};
  return {core::incarnation{11}, 101, item};
}

// Returns the bytes of a valid frame of a message type that this version does
// not know.
inline std::string FrameOfUnknownKind() {
  flatbuffers::FlatBufferBuilder builder;
  const wire::RequestId id(7, 8);
  const auto message = wire::CreateCancelForward(builder, &id).Union();
  const auto kind = static_cast<wire::Message>(200);
  builder.Finish(wire::CreateFrame(builder, 7, 99, kind, message));
  return PrependHeader(
      {reinterpret_cast<const char*>(builder.GetBufferPointer()),
       builder.GetSize()});
}

inline std::vector<core::peer_frame> SampleFrames() {
  return {SampleRequest(), SampleReply(), SampleCancel(), SampleHeartbeat(),
          SampleSmallHeartbeat()};
}

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_TESTS_ENTRY_FRAME_SAMPLES_H_
