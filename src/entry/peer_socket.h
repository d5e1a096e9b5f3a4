#ifndef PLANTAINHEAD_ENTRY_PEER_SOCKET_H_
#define PLANTAINHEAD_ENTRY_PEER_SOCKET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::entry {

/// Starts to connect to an IP number and returns the socket at once; the
/// connection may still be on its way. Returns nothing when the address is
/// malformed or the machine refuses. The socket reports an error once its bytes
/// (or the handshake) go unacknowledged for about `stall_timeout`.
/// Thread safety: safe from any thread.
std::optional<int> StartConnecting(const std::string& host,
                                   std::uint16_t port,
                                   core::duration stall_timeout);

/// Ends a connection with all bytes that it still holds; its owner sees the
/// end of the stream.
/// Thread safety: safe while nobody closes `socket`.
void Abort(int socket);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_PEER_SOCKET_H_
