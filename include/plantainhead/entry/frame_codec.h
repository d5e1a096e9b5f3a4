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

/// Encoding and decoding of the frames that entries exchange. A frame consists
/// of a header of `kFrameHeaderSize` bytes and a FlatBuffers payload
/// (schemas/frame.fbs). The header contains, in little endian, the length of
/// the payload (4 bytes), a magic byte, the version, two zero bytes and a
/// checksum of the payload (4 bytes). A connection starts with a greeting of
/// the same size: two magic bytes, the version, a zero byte, and the
/// incarnation of the intended receiver (8 bytes).
namespace plantainhead::entry {

inline constexpr std::size_t kFrameHeaderSize = 12;

/// Default limit for the payload size: a body of 8 MiB and a margin for headers
/// and names.
inline constexpr std::size_t kDefaultFrameLimit =
    (std::size_t{8} << 20) + (std::size_t{256} << 10);

/// Maximum absolute value of the time left until a deadline in a frame. The
/// encoder clamps longer times to it.
inline constexpr core::duration kMaxTimeLeft = std::chrono::hours(24 * 30);

/// Classifies why the bytes of a frame could not be encoded or decoded.
enum class frame_fault {
  kTruncated,
  kBadMagic,
  kUnknownVersion,
  kTooLong,
  kBadChecksum,
  kMalformed,
  /// Complete and valid, but of a message type that this version does not know.
  /// The stream of frames is still synchronized, so the frame can be skipped.
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

/// Thrown for bytes that are not a valid frame, and for frames that exceed the
/// size limit.
class frame_error : public std::runtime_error {
 public:
  explicit frame_error(frame_fault fault);

  /// Thread safety: safe from any thread.
  frame_fault fault() const { return fault_; }

 private:
  frame_fault fault_;
};

/// Holds the validated header of a frame.
struct frame_header {
  std::uint32_t payload_size = 0;
  std::uint32_t checksum = 0;
};

/// Returns the greeting of `kFrameHeaderSize` bytes that starts a connection to
/// the incarnation `to`. Thread safety: safe from any thread.
std::string EncodeGreeting(core::incarnation to);

/// Returns the intended receiver of a connection that starts with `bytes`.
/// Throws `frame_error` if they are not a greeting of this version.
/// Thread safety: safe from any thread.
core::incarnation DecodeGreeting(std::string_view bytes);

/// Returns the encoded frame, including its header. The deadline of a forwarded
/// request is encoded as the time left at `now`. Throws `frame_error`
/// (kTooLong) if the payload is longer than `limit` bytes. Thread safety: safe
/// from any thread.
std::string EncodeFrame(const core::peer_frame& frame,
                        core::time_point now,
                        std::size_t limit = kDefaultFrameLimit);

/// Decodes the header in the first `kFrameHeaderSize` bytes. Throws
/// `frame_error` if `bytes` is too short, is not a valid header, or announces a
/// payload of more than `limit` bytes. Thread safety: safe from any thread.
frame_header DecodeHeader(std::string_view bytes,
                          std::size_t limit = kDefaultFrameLimit);

/// Decodes the payload that follows `header`. Deadlines are computed from
/// `now`. Throws `frame_error` if the payload does not match the header or is
/// not valid. Thread safety: safe from any thread.
core::peer_frame DecodePayload(const frame_header& header,
                               std::string_view payload,
                               core::time_point now);

/// Decodes a frame from `bytes`, which must consist of exactly one header and
/// its payload. Throws `frame_error` otherwise. Thread safety: safe from any
/// thread.
core::peer_frame DecodeFrame(std::string_view bytes,
                             core::time_point now,
                             std::size_t limit = kDefaultFrameLimit);

/// Returns `payload` with a matching header in front of it, without validating
/// the payload. Used by `EncodeFrame`, and by tests that need a valid checksum
/// for an arbitrary payload.
/// Precondition: `payload` is shorter than 4 GiB.
/// Thread safety: safe from any thread.
std::string PrependHeader(std::string_view payload);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_FRAME_CODEC_H_
