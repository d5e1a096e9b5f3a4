// libFuzzer target for the bytes that an entry reads from other entries.
// Configure with clang++ and -DPLANTAINHEAD_FUZZ=ON, then run
//
//     build-fuzz/frame_fuzz -max_total_time=60
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "plantainhead/entry/frame_codec.h"

namespace plantainhead::entry {
namespace {

const core::time_point kNow{std::chrono::hours(24 * 365 * 55)};

// Refused, or read as a frame that can be written and read again.
void ReadAndWriteBack(std::string_view bytes) {
  core::peer_frame frame;
  try {
    frame = DecodeFrame(bytes, kNow);
  } catch (const frame_error&) {
    return;
  }
  const std::string written = EncodeFrame(frame, kNow);
  const core::peer_frame again = DecodeFrame(written, kNow);
  if (EncodeFrame(again, kNow) != written) {
    std::abort();
  }
}

}  // namespace
}  // namespace plantainhead::entry

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  plantainhead::entry::ReadAndWriteBack(bytes);
  // Random bytes hardly ever have a matching checksum.
  plantainhead::entry::ReadAndWriteBack(
      plantainhead::entry::PrependHeader(bytes));
  return 0;
}
