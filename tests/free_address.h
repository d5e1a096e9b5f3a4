#ifndef PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
#define PLANTAINHEAD_TESTS_FREE_ADDRESS_H_

#include <unistd.h>

#include <cstdint>
#include <string>

namespace plantainhead::testing {

/// Returns an address as "IP:PORT" that nobody else uses: a loopback IP of this
/// process alone, with a port that it hasn't returned before. A port that the
/// system finds free on an IP that all share may be taken, by another process
/// or as the near end of a connection, before the caller listens there. Thread
/// safety: one thread at a time.
inline std::string FreeAddress() {
  constexpr std::uint32_t kByte = 256;
  static std::uint16_t next_port = 20000;
  const auto id = static_cast<std::uint32_t>(getpid());
  // Not 127.0.x.x, from which connections are made.
  const std::uint32_t second = 1 + id / kByte / kByte % (kByte - 2);
  return "127." + std::to_string(second) + "." +
         std::to_string(id / kByte % kByte) + "." + std::to_string(id % kByte) +
         ":" + std::to_string(next_port++);
}

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
