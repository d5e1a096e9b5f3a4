#ifndef PLANTAINHEAD_TESTS_CROWD_ENTRY_PROCESS_H_
#define PLANTAINHEAD_TESTS_CROWD_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "platform_server.h"

namespace plantainhead::testing {

/// A running plantain-entry on loopback with a stand-in platform, for tests
/// that look at the whole process.
/// Thread safety: none.
class entry_process {
 public:
  /// Starts the entry and waits until it is ready. `limits` are lines for the
  /// section `limits` of its settings.
  /// Errors: throws `std::runtime_error` if it does not start.
  explicit entry_process(const std::string& limits);
  /// Ends the entry.
  ~entry_process();

  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  std::uint16_t http_port() const { return http_port_; }
  std::uint16_t peer_port() const { return peer_port_; }

  /// Returns true while the process runs.
  bool IsAlive();
  /// Returns the largest resident size that the process has had, in bytes.
  std::size_t PeakMemory() const;
  /// Returns the number of its open descriptors.
  std::size_t Descriptors() const;
  /// Waits until a metric of the entry has at least the value `least`.
  /// Errors: throws `std::runtime_error` if it never does.
  void AwaitMetric(const std::string& name, double least) const;
  /// Returns the incarnation that peers name in their greeting.
  std::uint64_t Incarnation() const;

 private:
  void AwaitReady();

  fakes::platform_server platform_;
  std::string directory_;
  pid_t pid_ = -1;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
};

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_CROWD_ENTRY_PROCESS_H_
