#ifndef PLANTAINHEAD_FAKES_PLATFORM_SERVER_H_
#define PLANTAINHEAD_FAKES_PLATFORM_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::fakes {

struct platform_server_options {
  std::string host = "127.0.0.1";
  /// 0 picks a free port.
  std::uint16_t port = 0;
  core::duration list_lag{};
  core::duration reboot_time = std::chrono::seconds(2);
  /// 0 for no limit.
  std::uint32_t appends_per_second = 0;
};

/// The stand-in for the platform: the interface of docs/PLATFORM.md over a
/// `log_model` and a `fleet_model`, kept in memory, with faults by call.
/// Thread safety: all methods are safe from any thread.
class platform_server {
 public:
  /// Listens and serves from threads of its own.
  /// Errors: `std::runtime_error` when the port can't be had.
  explicit platform_server(const platform_server_options& options);
  /// Stops it; reads that wait are answered.
  ~platform_server();

  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  std::uint16_t port() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_PLATFORM_SERVER_H_
