#ifndef PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
#define PLANTAINHEAD_TESTS_FREE_ADDRESS_H_

#include <unistd.h>

#include <cstdint>
#include <string>

namespace plantainhead::testing {

/// Returns an unused address as "IP:PORT": a loopback IP that only this process
/// uses, with a port that this function has not returned before. A port that
/// the system reports free on a shared IP may be taken, by another process or
/// as the local end of a connection, before the caller listens on it. Thread
/// safety: one thread at a time.
inline std::string FreeAddress() {
  constexpr std::uint32_t kByte = 256;
  static std::uint16_t next_port = 20000;
  const auto id = static_cast<std::uint32_t>(getpid());
  // Avoids 127.0.x.x, which outgoing connections use as their local address.
  const std::uint32_t second = 1 + id / kByte / kByte % (kByte - 2);
  return "127." + std::to_string(second) + "." +
         std::to_string(id / kByte % kByte) + "." + std::to_string(id % kByte) +
         ":" + std::to_string(next_port++);
}

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
