#ifndef PLANTAINHEAD_OPERATORS_CLIENT_H_
#define PLANTAINHEAD_OPERATORS_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "plantainhead/caller/route.h"

namespace plantainhead::operators {

/// Where an entry takes operators' requests.
struct entry_address {
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const entry_address&, const entry_address&) = default;
};

/// Parses "10.0.1.11:8080" or "[fd00::1]:8080".
/// Thread safety: safe from any thread.
/// Errors: throws `std::invalid_argument`.
entry_address ParseAddress(const std::string& text);

/// Parses addresses that are parted by commas, as in PLANTAIN_ENTRIES.
/// Thread safety: safe from any thread.
/// Errors: throws `std::invalid_argument`.
std::vector<entry_address> ParseAddresses(const std::string& text);

/// No entry answered; the message has a line for each.
class unreachable_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct client_request {
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  /// True when the request can be sent twice without acting twice, as a GET or
  /// a change that names the version it expects.
  bool repeatable = true;
};

struct client_options {
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  /// Longer than an entry's patience with a command, so that the entry tells
  /// the end and the client needn't guess.
  std::chrono::milliseconds read_timeout = std::chrono::seconds(15);
};

/// Asks entries one after the other until one gives an answer.
/// Thread safety: safe from many threads at once; each call has its own
/// connection.
class entry_client {
 public:
  /// Precondition: `entries` isn't empty.
  explicit entry_client(std::vector<entry_address> entries,
                        client_options options = {});

  /// Returns the first answer other than 503, else the last 503. Goes on to the
  /// next entry when one can't be reached or says 503, and also when the answer
  /// was lost, if the request is repeatable.
  /// Thread safety: safe from any thread.
  /// Errors: throws `unreachable_error` when there is no answer at all.
  caller::http_answer Send(const client_request& request) const;

  const std::vector<entry_address>& entries() const { return entries_; }

 private:
  std::vector<entry_address> entries_;
  client_options options_;
};

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_OPERATORS_CLIENT_H_
