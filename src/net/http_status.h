#ifndef PLANTAINHEAD_SRC_NET_HTTP_STATUS_H_
#define PLANTAINHEAD_SRC_NET_HTTP_STATUS_H_

/// The HTTP status codes that the job scheduler sends and interprets.
namespace plantainhead::net {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kMethodNotAllowed = 405;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kPreconditionFailed = 412;
inline constexpr unsigned kContentTooLarge = 413;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kHeadersTooLarge = 431;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;
inline constexpr unsigned kInsufficientStorage = 507;

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_STATUS_H_
