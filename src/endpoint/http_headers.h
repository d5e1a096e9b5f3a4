#ifndef PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_
#define PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_

#include <string>
#include <string_view>

#include "plantainhead/core/requests/request.h"

/// What HTTP says of headers, for both sides of an entry. All functions here
/// are safe from any thread.
namespace plantainhead::endpoint {

/// The bytes that end a chunked body without trailers.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns `text` without spaces and tabs at its ends.
std::string_view Trim(std::string_view text);

/// Returns the first value of the header called `name` (in lower case), or
/// null.
const std::string* FindHeader(const core::header_list& headers,
                              std::string_view name);

/// Returns `text` with ASCII letters in lower case.
std::string ToLower(std::string_view text);

/// Returns the headers without those that concern one connection only: the
/// fixed ones and those that `Connection` names.
core::header_list WithoutHopByHop(const core::header_list& headers);

/// True when the name is one that HTTP allows and the value can't end its line.
/// Others are refused: readers differ in what they take them for, so that one
/// sees a `Transfer-Encoding` where the next sees none, and the rest of one
/// caller's body becomes another caller's request.
bool IsWellFormed(std::string_view name, std::string_view value);

/// True when `text` has digits only, and at least one.
bool IsNumber(std::string_view text);

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_HTTP_HEADERS_H_
