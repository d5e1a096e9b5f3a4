#ifndef PLANTAINHEAD_RUNTIME_ENTRY_DAEMON_H_
#define PLANTAINHEAD_RUNTIME_ENTRY_DAEMON_H_

#include <cstdint>
#include <memory>

#include "plantainhead/settings/entry_settings.h"

namespace plantainhead::runtime {

/// A whole entry: the decisions in one actor, and a link to each peer (callers
/// and operators over HTTP, other entries, endpoints, the platform).
///
///     entry_daemon daemon(settings::LoadEntrySettings(path));
///     daemon.Start();
///     // ... on SIGTERM:
///     daemon.RequestStop();
///     daemon.Wait();
class entry_daemon {
 public:
  explicit entry_daemon(settings::entry_settings settings);
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;
  /// Precondition: `Wait()` has returned, or `Start()` was never called.
  ~entry_daemon();

  /// Binds the ports and starts to take part. Throws `std::system_error` when a
  /// port can't be bound. Precondition: called once.
  /// Thread safety: none.
  void Start();

  /// Returns the port for callers and operators.
  /// Precondition: `Start()` has returned. Thread safety: safe from any thread.
  std::uint16_t http_port() const;

  /// Returns the port for other entries.
  /// Precondition: `Start()` has returned. Thread safety: safe from any thread.
  std::uint16_t peer_port() const;

  /// Starts the graceful shutdown: not ready, no new work after a moment, work
  /// in progress ends. Precondition: `Start()` has returned. Thread safety:
  /// safe from any thread; further calls do nothing.
  void RequestStop();

  /// Returns once the shutdown has ended; true when the fleet expelled this
  /// entry while it lived, so that it is to start anew (a new `entry_daemon`,
  /// on the same ports). Thread safety: one thread.
  bool Wait();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_RUNTIME_ENTRY_DAEMON_H_
