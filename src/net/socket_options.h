#ifndef PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_
#define PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_

#include <chrono>

namespace plantainhead::net {

/// A connection is considered dead if sent data stays unacknowledged for this
/// time. Peers acknowledge within milliseconds, and lost packets are
/// retransmitted after 0.2, 0.6 and 1.4 s, so that three consecutive losses are
/// tolerated.
inline constexpr std::chrono::milliseconds kTcpUserTimeout =
    std::chrono::milliseconds(2500);

/// Sets the options of a TCP connection: TCP_NODELAY, and TCP_USER_TIMEOUT with
/// `kTcpUserTimeout`. Without the latter, a write to a peer that has lost power
/// blocks for many minutes. Failures are ignored, because calls have their own
/// timeouts.
void SetSocketOptions(int socket);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_
