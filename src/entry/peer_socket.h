#ifndef PLANTAINHEAD_ENTRY_PEER_SOCKET_H_
#define PLANTAINHEAD_ENTRY_PEER_SOCKET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::entry {

/// Starts a non-blocking connect to an IP address and returns the socket, whose
/// connection may still be in progress. Returns nothing if the address is
/// malformed or the system rejects the connect. The socket reports an error if
/// sent bytes or the handshake stay unacknowledged for about `stall_timeout`.
/// Thread safety: safe from any thread.
std::optional<int> StartConnecting(const std::string& host,
                                   std::uint16_t port,
                                   core::duration stall_timeout);

/// Shuts down both directions of a connection and discards its pending bytes.
/// The owner of the socket then reads the end of the stream. Thread safety:
/// safe as long as no other thread closes `socket`.
void Abort(int socket);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_PEER_SOCKET_H_
