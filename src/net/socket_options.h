#ifndef PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_
#define PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_

#include <chrono>

namespace plantainhead::net {

/// A connection whose sent bytes stay unacknowledged this long is dead. Peers
/// answer within milliseconds; packets that were lost are sent again after 0.2,
/// 0.6 and 1.4 s, so three losses in a row pass.
inline constexpr std::chrono::milliseconds kTcpUserTimeout =
    std::chrono::milliseconds(2500);

/// Sets the options that each TCP connection needs: no delay of small packets,
/// and `kTcpUserTimeout`. Without that a write to a peer that lost its power
/// waits for many minutes. Failures are ignored: the calls have timeouts of
/// their own.
void SetSocketOptions(int socket);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_SOCKET_OPTIONS_H_
