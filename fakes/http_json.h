#ifndef PLANTAINHEAD_FAKES_HTTP_JSON_H_
#define PLANTAINHEAD_FAKES_HTTP_JSON_H_

#include <cstdint>
#include <string>

#include <httplib.h>

#include "plantainhead/core/time.h"
#include "platform/json_archive.h"

/// What the handlers of a stand-in share. All are safe from any thread.
namespace plantainhead::fakes {

/// The statuses of HTTP that stand-ins answer with.
namespace status {
inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kTooMany = 429;
inline constexpr int kServerError = 500;
inline constexpr int kUnavailable = 503;
}  // namespace status

/// Answers with `body`.
void Answer(httplib::Response& to, int code, const platform::json& body);

/// Answers with an error that says `why`.
void Refuse(httplib::Response& to, int code, const std::string& why);

/// Returns the query parameter as a number, or `fallback` without one.
/// Errors: `platform::codec_error`.
std::uint64_t NumberOf(const httplib::Request& request,
                       const char* name,
                       std::uint64_t fallback);

/// Reads an optional field of whole milliseconds.
/// Errors: `platform::codec_error`.
void ReadMilliseconds(platform::json_reader& in,
                      const char* name,
                      core::duration* to);

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_HTTP_JSON_H_
