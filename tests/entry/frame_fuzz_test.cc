#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "entry/frame_samples.h"
#include "plantainhead/entry/frame_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace plantainhead::entry {
namespace {

void RunFuzzTarget(const std::string& bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  CHECK(LLVMFuzzerTestOneInput(data, bytes.size()) == 0);
}

TEST_CASE("The fuzz target accepts sample and mutated frames") {
  RunFuzzTarget("");
  for (const core::peer_frame& frame : SampleFrames()) {
    const std::string bytes = EncodeFrame(frame, kSampleNow);
    RunFuzzTarget(bytes);
    const std::string payload = bytes.substr(kFrameHeaderSize);
    RunFuzzTarget(payload);

    // Replaces a few bytes of the payload. The fuzz target adds a matching
    // checksum, so that the input passes the header check and reaches the
    // verifier and the reader.
    constexpr unsigned kSeed = 17;
    constexpr int kTries = 2000;
    std::mt19937 random(kSeed);
    for (int i = 0; i < kTries; ++i) {
      std::string damaged = payload;
      for (int change = 0; change < 3; ++change) {
        damaged[random() % damaged.size()] = static_cast<char>(random());
      }
      RunFuzzTarget(damaged);
    }
  }
}

}  // namespace
}  // namespace plantainhead::entry
