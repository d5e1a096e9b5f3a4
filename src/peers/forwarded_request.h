#ifndef PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_
#define PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_

#include <chrono>

#include "net/http_message.h"

/// Protocol between processes of the scheduler: a caller's request is forwarded
/// unchanged over HTTP, with an additional header that counts the hops.
namespace plantainhead::peers {

/// Maximum number of times that a request is forwarded: once from the process
/// that received it to the owner of the queue, and once more if the job belongs
/// to a pool to which the queue no longer belongs.
inline constexpr unsigned kMaxHops = 2;

/// Returns the request to be sent to another process, which has to answer
/// within `timeout`. Thread safety: safe from any thread.
net::client_request MakeForwardedRequest(const net::server_request& request,
                                         std::chrono::milliseconds timeout);

/// Returns how many times the request was forwarded: 0 if it comes directly
/// from a caller. Thread safety: safe from any thread.
unsigned HopCountOf(const net::server_request& request);

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_FORWARDED_REQUEST_H_
