#include "plantainhead/operators/client.h"

#include <httplib.h>

#include <optional>
#include <sstream>
#include <utility>

#include "settings/units.h"

namespace plantainhead::operators {
namespace {

constexpr int kUnavailable = 503;

// The end of one try at one entry.
struct attempt {
  std::optional<caller::http_answer> answer;
  // True when no byte of the request can have arrived.
  bool not_sent = false;
  std::string trouble;
};

httplib::Request ToWire(const client_request& request) {
  httplib::Request wire;
  wire.method = request.method;
  wire.path = request.path;
  wire.body = request.body;
  for (const auto& [name, value] : request.headers) {
    wire.headers.emplace(name, value);
  }
  return wire;
}

caller::http_answer FromWire(const httplib::Response& wire) {
  caller::http_answer answer;
  answer.status = wire.status;
  answer.body = wire.body;
  answer.content_type = wire.get_header_value("Content-Type");
  for (const auto& [name, value] : wire.headers) {
    answer.headers.emplace(name, value);
  }
  return answer;
}

attempt Try(const entry_address& entry,
            const client_request& request,
            const client_options& options) {
  httplib::Client client(entry.host, entry.port);
  client.set_connection_timeout(options.connect_timeout);
  client.set_read_timeout(options.read_timeout);
  client.set_write_timeout(options.read_timeout);
  client.set_keep_alive(false);
  const httplib::Result result = client.send(ToWire(request));
  attempt end;
  if (result) {
    end.answer = FromWire(*result);
    return end;
  }
  end.not_sent = result.error() == httplib::Error::Connection ||
                 result.error() == httplib::Error::ConnectionTimeout;
  end.trouble = httplib::to_string(result.error());
  return end;
}

std::string ToString(const entry_address& entry) {
  return entry.host + ":" + std::to_string(entry.port);
}

}  // namespace

entry_address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  constexpr std::uint64_t kMostPort = 65535;
  const char* const help = "' is not an address such as 10.0.1.11:8080";
  if (colon == std::string::npos || colon == 0) {
    throw std::invalid_argument("'" + text + help);
  }
  entry_address address;
  address.host = text.substr(0, colon);
  if (address.host.front() == '[' && address.host.back() == ']') {
    address.host = address.host.substr(1, address.host.size() - 2);
  }
  std::uint64_t port = 0;
  try {
    port = settings::ParseWholeNumber(text.substr(colon + 1));
  } catch (const settings::unit_error&) {
    throw std::invalid_argument("'" + text + help);
  }
  if (port == 0 || port > kMostPort) {
    throw std::invalid_argument("'" + text + help);
  }
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

std::vector<entry_address> ParseAddresses(const std::string& text) {
  std::vector<entry_address> addresses;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    addresses.push_back(ParseAddress(part));
  }
  return addresses;
}

entry_client::entry_client(std::vector<entry_address> entries,
                           client_options options)
    : entries_(std::move(entries)), options_(options) {}

caller::http_answer entry_client::Send(const client_request& request) const {
  std::optional<caller::http_answer> unavailable;
  std::string troubles;
  for (const entry_address& entry : entries_) {
    attempt end = Try(entry, request, options_);
    if (end.answer && end.answer->status != kUnavailable) {
      return *std::move(end.answer);
    }
    if (end.answer) {
      unavailable = std::move(end.answer);
    } else {
      troubles += "\n" + ToString(entry) + ": " + end.trouble;
    }
    // The first entry may have carried the request out before the connection
    // broke, or may still do so after a 503: a second copy could then act
    // twice, for example bring back targets that another operator has replaced
    // in between. A repeatable request names the version that it changes, so
    // its second copy is refused.
    if (!end.not_sent && !request.repeatable) {
      break;
    }
  }
  if (unavailable) {
    return *std::move(unavailable);
  }
  throw unreachable_error("no entry answered:" + troubles);
}

}  // namespace plantainhead::operators
