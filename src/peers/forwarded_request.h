#ifndef PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_
#define PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_

#include <chrono>

#include "net/http_message.h"

/// The protocol between processes of the scheduler: a caller's request is
/// passed on as it came, over HTTP, with a header that counts how often.
namespace plantainhead::peers {

/// Passed on once from where the caller sent it to its queue's owner, and once
/// more when the job belongs to a pool that its queue has left.
inline constexpr unsigned kMaxHops = 2;

/// Returns the request to send to another process, which is to answer within
/// `timeout`. Thread safety: safe from any thread.
net::client_request MakeForwardedRequest(const net::server_request& request,
                                         std::chrono::milliseconds timeout);

/// Returns how often the request was passed on: 0 when a caller sent it.
/// Thread safety: safe from any thread.
unsigned HopCountOf(const net::server_request& request);

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_
