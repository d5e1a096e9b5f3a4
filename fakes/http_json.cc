#include "http_json.h"

#include <charconv>
#include <chrono>
#include <system_error>

namespace plantainhead::fakes {

void Answer(httplib::Response& to, int code, const platform::json& body) {
  to.status = code;
  to.set_content(platform::Dump(body), "application/json");
}

void Refuse(httplib::Response& to, int code, const std::string& why) {
  Answer(to, code, {{"error", why}});
}

std::uint64_t NumberOf(const httplib::Request& request,
                       const char* name,
                       std::uint64_t fallback) {
  if (!request.has_param(name)) {
    return fallback;
  }
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    throw platform::codec_error(name, "expected a whole number from 0");
  }
  return number;
}

void ReadMilliseconds(platform::json_reader& in,
                      const char* name,
                      core::duration* to) {
  std::int64_t count =
      std::chrono::duration_cast<std::chrono::milliseconds>(*to).count();
  in(name, count);
  *to = std::chrono::milliseconds(count);
}

}  // namespace plantainhead::fakes
