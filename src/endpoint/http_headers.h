#ifndef PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_
#define PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_

#include <string>
#include <string_view>

#include "plantainhead/core/requests/request.h"

/// Helpers for HTTP headers, used for connections from clients and for
/// connections to endpoints. All functions are safe from any thread.
namespace plantainhead::endpoint {

/// The terminating bytes of a chunked body without trailers.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns `text` without leading and trailing spaces and tabs.
std::string_view Trim(std::string_view text);

/// Returns the first value of the header `name`, which must be in lower case,
/// or null if there is none.
const std::string* FindHeader(const core::header_list& headers,
                              std::string_view name);

/// Returns `text` with ASCII letters converted to lower case.
std::string ToLower(std::string_view text);

/// Returns the headers without the hop-by-hop headers, which are a fixed set
/// and those listed in `Connection`.
core::header_list WithoutHopByHop(const core::header_list& headers);

/// Returns true if the name is a valid HTTP token and the value contains no
/// line end or null byte. Other headers must be rejected to prevent request
/// smuggling: parsers interpret them differently, so that one sees a
/// `Transfer-Encoding` where the next sees none, and the rest of one client's
/// body becomes another client's request.
bool IsWellFormed(std::string_view name, std::string_view value);

/// Returns true if `text` is not empty and consists of decimal digits.
bool IsNumber(std::string_view text);

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_
