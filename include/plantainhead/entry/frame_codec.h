#ifndef PLANTAINHEAD_ENTRY_FRAME_CODEC_H_
#define PLANTAINHEAD_ENTRY_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

/// Frames between entries as bytes: a header of `kFrameHeaderSize` bytes, then
/// a FlatBuffers payload (schemas/frame.fbs). The header holds, in little
/// endian, the payload's length (4 bytes), a magic byte, the version, two zero
/// bytes and a checksum of the payload (4 bytes). A connection begins with a
/// greeting of the same size: two magic bytes, the version, a zero byte, and
/// the incarnation that it is for (8 bytes).
namespace plantainhead::entry {

inline constexpr std::size_t kFrameHeaderSize = 12;

/// The longest payload unless settings say otherwise: a body of 8 MiB and a
/// margin for headers and names.
inline constexpr std::size_t kDefaultFrameLimit =
    (std::size_t{8} << 20) + (std::size_t{256} << 10);

/// Times left until a deadline travel within plus or minus this much; longer
/// ones are cut to it.
inline constexpr core::duration kMaxTimeLeft = std::chrono::hours(24 * 30);

/// What is wrong with the bytes of a frame.
enum class frame_fault {
  kTruncated,
  kBadMagic,
  kUnknownVersion,
  kTooLong,
  kBadChecksum,
  kMalformed,
  /// Whole and valid, but of a kind that this version doesn't know. The stream
  /// of frames is still in step; the frame can be skipped.
  kUnknownMessage,
};

inline constexpr core::name_table<frame_fault, 7> kFrameFaultNames = {{
    {frame_fault::kTruncated, "truncated"},
    {frame_fault::kBadMagic, "bad-magic"},
    {frame_fault::kUnknownVersion, "unknown-version"},
    {frame_fault::kTooLong, "too-long"},
    {frame_fault::kBadChecksum, "bad-checksum"},
    {frame_fault::kMalformed, "malformed"},
    {frame_fault::kUnknownMessage, "unknown-message"},
}};
inline constexpr const auto& NamesOf(frame_fault) {
  return kFrameFaultNames;
}

/// Thrown for bytes that aren't a frame, and for a frame that is too long.
class frame_error : public std::runtime_error {
 public:
  explicit frame_error(frame_fault fault);

  /// Thread safety: safe from any thread.
  frame_fault fault() const { return fault_; }

 private:
  frame_fault fault_;
};

/// The checked header of a frame.
struct frame_header {
  std::uint32_t payload_size = 0;
  std::uint32_t checksum = 0;
};

/// Returns the first `kFrameHeaderSize` bytes of a connection, which say whom
/// it is for. Thread safety: safe from any thread.
std::string EncodeGreeting(core::incarnation to);

/// Returns whom a connection that begins with `bytes` is for. Throws
/// `frame_error` when they aren't a greeting of this version.
/// Thread safety: safe from any thread.
core::incarnation DecodeGreeting(std::string_view bytes);

/// Returns the bytes of a frame with its header. The deadline of a forwarded
/// request travels as the time left at `now`. Throws `frame_error` (kTooLong)
/// when the payload is longer than `limit` bytes.
/// Thread safety: safe from any thread.
std::string EncodeFrame(const core::peer_frame& frame,
                        core::time_point now,
                        std::size_t limit = kDefaultFrameLimit);

/// Returns what the first `kFrameHeaderSize` bytes say. Throws `frame_error`
/// when they are too few, aren't a header, or announce more than `limit` bytes.
/// Thread safety: safe from any thread.
frame_header DecodeHeader(std::string_view bytes,
                          std::size_t limit = kDefaultFrameLimit);

/// Returns the frame of a payload that follows `header`. Throws `frame_error`
/// when it isn't what the header announced or isn't valid.
/// Thread safety: safe from any thread.
core::peer_frame DecodePayload(const frame_header& header,
                               std::string_view payload,
                               core::time_point now);

/// Returns the frame whose bytes, header and payload, are exactly `bytes`.
/// Throws `frame_error` on anything else.
/// Thread safety: safe from any thread.
core::peer_frame DecodeFrame(std::string_view bytes,
                             core::time_point now,
                             std::size_t limit = kDefaultFrameLimit);

/// Returns `payload` behind a matching header, whether or not it is valid.
/// For `EncodeFrame`, and for tests that must get beyond the checksum.
/// Precondition: `payload` is shorter than 4 GiB.
/// Thread safety: safe from any thread.
std::string PrependHeader(std::string_view payload);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_FRAME_CODEC_H_
