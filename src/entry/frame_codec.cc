#include "plantainhead/entry/frame_codec.h"

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>

#include "entry/frame_generated.h"
#include "entry/frame_reader.h"
#include "entry/frame_writer.h"

namespace plantainhead::entry {
namespace {

constexpr unsigned char kMagic = 0xA7;
constexpr unsigned char kGreetingMagic = 0xC3;
constexpr std::size_t kIncarnationOffset = 4;
constexpr unsigned char kVersion = 1;
constexpr std::size_t kMagicOffset = 4;
constexpr std::size_t kVersionOffset = 5;
constexpr std::size_t kChecksumOffset = 8;
// FlatBuffers reads scalars in place; the largest ones have 8 bytes.
constexpr std::size_t kAlignment = 8;

void PutUint32(std::uint32_t value, char* at) {
  for (int i = 0; i < 4; ++i) {
    at[i] = static_cast<char>((value >> (8 * i)) & 0xFF);
  }
}

std::uint32_t GetUint32(const char* at) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i) {
    value |= std::uint32_t{static_cast<unsigned char>(at[i])} << (8 * i);
  }
  return value;
}

std::uint32_t Checksum(std::string_view payload) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(payload.data(), payload.size()));
}

bool IsAligned(const char* data) {
  return reinterpret_cast<std::uintptr_t>(data) % kAlignment == 0;
}

}  // namespace

frame_error::frame_error(frame_fault fault)
    : std::runtime_error("invalid frame: " + std::string(core::NameOf(fault))),
      fault_(fault) {}

std::string EncodeGreeting(core::incarnation to) {
  std::string bytes(kFrameHeaderSize, '\0');
  bytes[0] = static_cast<char>(kMagic);
  bytes[1] = static_cast<char>(kGreetingMagic);
  bytes[2] = static_cast<char>(kVersion);
  const auto number = static_cast<std::uint64_t>(to);
  PutUint32(static_cast<std::uint32_t>(number), &bytes[kIncarnationOffset]);
  PutUint32(static_cast<std::uint32_t>(number >> 32),
            &bytes[kIncarnationOffset + 4]);
  return bytes;
}

core::incarnation DecodeGreeting(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderSize) {
    throw frame_error(frame_fault::kTruncated);
  }
  if (static_cast<unsigned char>(bytes[0]) != kMagic ||
      static_cast<unsigned char>(bytes[1]) != kGreetingMagic) {
    throw frame_error(frame_fault::kBadMagic);
  }
  if (static_cast<unsigned char>(bytes[2]) != kVersion || bytes[3] != 0) {
    throw frame_error(frame_fault::kUnknownVersion);
  }
  const std::uint64_t low = GetUint32(&bytes[kIncarnationOffset]);
  const std::uint64_t high = GetUint32(&bytes[kIncarnationOffset + 4]);
  return core::incarnation{low | (high << 32)};
}

std::string PrependHeader(std::string_view payload) {
  std::string bytes(kFrameHeaderSize, '\0');
  PutUint32(static_cast<std::uint32_t>(payload.size()), bytes.data());
  bytes[kMagicOffset] = static_cast<char>(kMagic);
  bytes[kVersionOffset] = static_cast<char>(kVersion);
  PutUint32(Checksum(payload), bytes.data() + kChecksumOffset);
  bytes.append(payload);
  return bytes;
}

std::string EncodeFrame(const core::peer_frame& frame,
                        core::time_point now,
                        std::size_t limit) {
  flatbuffers::FlatBufferBuilder builder;
  WriteFrame(frame, now, builder);
  if (builder.GetSize() > limit) {
    throw frame_error(frame_fault::kTooLong);
  }
  return PrependHeader(
      {reinterpret_cast<const char*>(builder.GetBufferPointer()),
       builder.GetSize()});
}

frame_header DecodeHeader(std::string_view bytes, std::size_t limit) {
  if (bytes.size() < kFrameHeaderSize) {
    throw frame_error(frame_fault::kTruncated);
  }
  if (static_cast<unsigned char>(bytes[kMagicOffset]) != kMagic) {
    throw frame_error(frame_fault::kBadMagic);
  }
  const bool reserved_are_zero =
      bytes[kVersionOffset + 1] == 0 && bytes[kVersionOffset + 2] == 0;
  if (static_cast<unsigned char>(bytes[kVersionOffset]) != kVersion ||
      !reserved_are_zero) {
    throw frame_error(frame_fault::kUnknownVersion);
  }
  const frame_header header{GetUint32(bytes.data()),
                            GetUint32(bytes.data() + kChecksumOffset)};
  if (header.payload_size == 0) {
    throw frame_error(frame_fault::kMalformed);
  }
  if (header.payload_size > limit) {
    throw frame_error(frame_fault::kTooLong);
  }
  return header;
}

core::peer_frame DecodePayload(const frame_header& header,
                               std::string_view payload,
                               core::time_point now) {
  if (payload.size() != header.payload_size) {
    throw frame_error(frame_fault::kTruncated);
  }
  // The FlatBuffers verifier does not detect a flipped bit in a number or a
  // name, which could deliver a response to the wrong client.
  if (Checksum(payload) != header.checksum) {
    throw frame_error(frame_fault::kBadChecksum);
  }
  if (IsAligned(payload.data())) {
    return ReadFrame(payload, now);
  }
  // Memory allocated by new is aligned for all scalars.
  const auto copy = std::make_unique<char[]>(payload.size());
  payload.copy(copy.get(), payload.size());
  return ReadFrame({copy.get(), payload.size()}, now);
}

core::peer_frame DecodeFrame(std::string_view bytes,
                             core::time_point now,
                             std::size_t limit) {
  const frame_header header = DecodeHeader(bytes, limit);
  return DecodePayload(header, bytes.substr(kFrameHeaderSize), now);
}

}  // namespace plantainhead::entry
