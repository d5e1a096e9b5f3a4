#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantainhead::net {

void SetSocketOptions(int socket) {
  const int no_delay = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  const auto user_timeout = static_cast<unsigned>(kTcpUserTimeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
             sizeof(user_timeout));
}

}  // namespace plantainhead::net
