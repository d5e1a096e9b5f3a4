#include "runner_client.h"

#include <httplib.h>

#include "platform/json_archive.h"

namespace plantainhead::fakes {
namespace {

constexpr core::duration kRunnerTimeout = std::chrono::seconds(2);

}  // namespace

std::optional<std::uint32_t> CallRunner(const runner_call& call) {
  httplib::Client client(call.host, call.port);
  client.set_connection_timeout(kRunnerTimeout);
  client.set_read_timeout(kRunnerTimeout);
  const httplib::Result result =
      client.Post(call.path, "{}", "application/json");
  if (!result) {
    return result.error() == httplib::Error::Connection
               ? std::optional<std::uint32_t>(0)
               : std::nullopt;
  }
  try {
    const platform::json body = platform::ParseObject(result->body);
    std::uint32_t in_flight = 0;
    const platform::json_reader in(body, "");
    platform::json_reader::Read(in.Require("in_flight"), in_flight,
                                "/in_flight");
    return in_flight;
  } catch (const platform::codec_error&) {
    return std::nullopt;
  }
}

}  // namespace plantainhead::fakes
