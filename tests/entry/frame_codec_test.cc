#include "plantainhead/entry/frame_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <optional>

#include "entry/frame_samples.h"

namespace plantainhead::entry {
namespace {

std::optional<frame_fault> FaultOf(std::string_view bytes) {
  try {
    DecodeFrame(bytes, kSampleNow);
    return std::nullopt;
  } catch (const frame_error& error) {
    return error.fault();
  }
}

// Encoding the decoded frame yields the same bytes only if no field was lost.
void CheckRoundTrip(const core::peer_frame& frame) {
  const std::string bytes = EncodeFrame(frame, kSampleNow);
  const core::peer_frame back = DecodeFrame(bytes, kSampleNow);
  CHECK(back.from == frame.from);
  CHECK(back.view == frame.view);
  CHECK(back.message.index() == frame.message.index());
  CHECK(EncodeFrame(back, kSampleNow) == bytes);
}

TEST_CASE("Frames are encoded and decoded") {
  SECTION("for every message type") {
    for (const core::peer_frame& frame : SampleFrames()) {
      CheckRoundTrip(frame);
    }
  }

  SECTION("with all fields of a request") {
    const core::peer_frame frame =
        DecodeFrame(EncodeFrame(SampleRequest(), kSampleNow), kSampleNow);
    const auto& item = std::get<core::forward_request>(frame.message);
    CHECK(item.id == core::request_id{core::incarnation{7}, 8});
    CHECK(item.stage == core::forward_stage::kClaim);
    CHECK(item.request.caller == core::caller_id("surgery"));
    CHECK(item.request.headers.front().first == "content-type");
    CHECK(*item.request.body == "an appeal");
    CHECK_FALSE(item.request.idempotent);
    CHECK(item.request.key == core::claim_key("surgery/42"));
  }

  SECTION("with all fields of a response and of a heartbeat") {
    const auto reply = std::get<core::forward_reply>(
        DecodeFrame(EncodeFrame(SampleReply(), kSampleNow), kSampleNow)
            .message);
    CHECK(reply.answer.status == 503);
    CHECK(reply.answer.body->empty());
    CHECK(reply.answer.result == core::outcome::kNotRun);
    CHECK(reply.answer.reason == core::answer_reason::kStopping);
    CHECK(reply.answer.retry_after == std::chrono::milliseconds(250));
    CHECK(reply.load.front().busy == 3);
    const auto beat = std::get<core::heartbeat>(
        DecodeFrame(EncodeFrame(SampleHeartbeat(), kSampleNow), kSampleNow)
            .message);
    CHECK(beat.digest == 0xFEEDFACE12345678ULL);
    CHECK(beat.load.size() == 2);
    CHECK(beat.in_flight.front().requests == 2);
    CHECK(beat.complete);
    CHECK(beat.classes.front().counts == core::request_counts{{7, 1, 0, 2, 3}});
    CHECK(beat.times.front().held == std::chrono::seconds(3));
    const auto small = std::get<core::heartbeat>(
        DecodeFrame(EncodeFrame(SampleSmallHeartbeat(), kSampleNow), kSampleNow)
            .message);
    CHECK_FALSE(small.complete);
    CHECK(small.suspected ==
          std::vector{core::incarnation{3}, core::incarnation{4}});
  }

  SECTION("with the deadline computed from the receiver's clock") {
    const core::time_point receiver_now = kSampleNow + std::chrono::minutes(90);
    const core::peer_frame frame =
        DecodeFrame(EncodeFrame(SampleRequest(), kSampleNow), receiver_now);
    CHECK(std::get<core::forward_request>(frame.message).request.deadline ==
          receiver_now + std::chrono::seconds(3));
  }

  SECTION("with extreme deadlines clamped to 30 days") {
    core::peer_frame frame = SampleRequest();
    auto& deadline =
        std::get<core::forward_request>(frame.message).request.deadline;
    for (const core::time_point extreme :
         {core::time_point::min(), core::time_point::max()}) {
      deadline = extreme;
      const auto back = std::get<core::forward_request>(
          DecodeFrame(EncodeFrame(frame, kSampleNow), kSampleNow).message);
      const core::duration left = back.request.deadline - kSampleNow;
      CHECK(std::chrono::abs(left) == kMaxTimeLeft);
    }
  }
}

TEST_CASE("A greeting identifies the intended receiver") {
  const core::incarnation to{0xFEDCBA9876543210ULL};
  const std::string greeting = EncodeGreeting(to);
  CHECK(greeting.size() == kFrameHeaderSize);
  CHECK(DecodeGreeting(greeting) == to);
  CHECK_THROWS_AS(DecodeGreeting(greeting.substr(1)), frame_error);
  for (std::size_t i = 0; i < 4; ++i) {
    std::string damaged = greeting;
    damaged[i] ^= 1;
    CHECK_THROWS_AS(DecodeGreeting(damaged), frame_error);
  }
}

TEST_CASE("Random frames are encoded and decoded without loss") {
  const auto round_trips = [](std::string text, std::uint64_t number,
                              bool has_body) {
    core::peer_frame frame = SampleRequest();
    auto& item = std::get<core::forward_request>(frame.message);
    item.id.sequence = number;
    item.request.path = text;
    item.request.headers = {{text, text}, {"", text}};
    item.request.body =
        has_body ? std::make_shared<const std::string>(text) : nullptr;
    if (number % 2 == 0) {
      item.request.key.reset();
    }
    const auto back = std::get<core::forward_request>(
        DecodeFrame(EncodeFrame(frame, kSampleNow), kSampleNow).message);
    RC_ASSERT(back.id == item.id);
    RC_ASSERT(back.request.path == text);
    RC_ASSERT(back.request.headers == item.request.headers);
    RC_ASSERT(back.request.key == item.request.key);
    RC_ASSERT((back.request.body != nullptr) == has_body);
    if (has_body) {
      RC_ASSERT(*back.request.body == text);
    }
  };
  CHECK(
      rc::check("arbitrary bytes in texts and arbitrary numbers", round_trips));
}

// Guards against delivering a corrupted response to a client. A frame is
// corrupted in transit: truncated, a bit flipped, or random bytes with a valid
// checksum. Each is rejected with a reason, or decoded as a valid frame if the
// checksum matches; none crashes the entry.
TEST_CASE("A corrupted frame is rejected") {
  SECTION("when it is truncated at any position") {
    for (const core::peer_frame& frame : SampleFrames()) {
      const std::string bytes = EncodeFrame(frame, kSampleNow);
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK(FaultOf(std::string_view(bytes).substr(0, size)) ==
              frame_fault::kTruncated);
      }
    }
  }

  SECTION("when any one bit is flipped") {
    for (const core::peer_frame& frame : SampleFrames()) {
      std::string bytes = EncodeFrame(frame, kSampleNow);
      for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        bytes[bit / 8] ^= static_cast<char>(1 << (bit % 8));
        CHECK(FaultOf(bytes).has_value());
        bytes[bit / 8] ^= static_cast<char>(1 << (bit % 8));
      }
    }
  }

  SECTION("or decoded without a crash when the checksum matches") {
    for (const core::peer_frame& frame : SampleFrames()) {
      std::string payload =
          EncodeFrame(frame, kSampleNow).substr(kFrameHeaderSize);
      for (std::size_t bit = 0; bit < payload.size() * 8; ++bit) {
        payload[bit / 8] ^= static_cast<char>(1 << (bit % 8));
        FaultOf(PrependHeader(payload));
        payload[bit / 8] ^= static_cast<char>(1 << (bit % 8));
      }
    }
    CHECK(rc::check("random payloads", [](const std::string& payload) {
      RC_ASSERT(FaultOf(PrependHeader(payload)).has_value());
    }));
  }

  SECTION("by sender and receiver when it exceeds the size limit") {
    const std::string bytes = EncodeFrame(SampleRequest(), kSampleNow);
    const std::size_t payload_size = bytes.size() - kFrameHeaderSize;
    CHECK_NOTHROW(EncodeFrame(SampleRequest(), kSampleNow, payload_size));
    CHECK_THROWS_AS(EncodeFrame(SampleRequest(), kSampleNow, payload_size - 1),
                    frame_error);
    CHECK_THROWS_AS(DecodeFrame(bytes, kSampleNow, payload_size - 1),
                    frame_error);
  }

  SECTION("when its message type is unknown to this version") {
    CHECK(FaultOf(FrameOfUnknownKind()) == frame_fault::kUnknownMessage);
  }

  SECTION("when it has another version") {
    std::string bytes = EncodeFrame(SampleCancel(), kSampleNow);
    bytes[5] = 2;
    CHECK(FaultOf(bytes) == frame_fault::kUnknownVersion);
  }
}

}  // namespace
}  // namespace plantainhead::entry
