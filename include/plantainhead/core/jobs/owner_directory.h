#ifndef PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_
#define PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Address at which the owner of a partition of pools serves other processes.
struct owner_address {
  std::uint64_t epoch = 0;
  /// Formatted as "IP:PORT".
  std::string address;

  friend bool operator==(const owner_address&, const owner_address&) = default;
};

/// Settings of the circuit breakers.
struct owner_directory_settings {
  /// An owner that left a request unanswered receives no further request for
  /// this time, and then one per interval until it answers.
  duration retry_interval = std::chrono::seconds(1);
};

/// Keeps the latest known owner of each partition of pools, with a circuit
/// breaker for each owner.
///
/// An owner that is frozen or partitioned from the network answers nothing, and
/// each request forwarded to it costs the caller a time-out. With the circuit
/// breaker only one caller per `retry_interval` waits for the time-out, and all
/// others read the store immediately.
///
/// Pure: it makes no calls and reads no clock. Not thread-safe.
class owner_directory {
 public:
  explicit owner_directory(const owner_directory_settings& settings)
      : settings_(settings) {}

  /// Notes an owner's announcement. Returns whether it is newer than the known
  /// one; announcements may be read in any order.
  bool NoteAnnouncement(std::uint32_t partition, owner_address owner);
  /// Returns the latest announcement for the partition; its epoch is 0 if there
  /// is none.
  owner_address Latest(std::uint32_t partition) const;

  /// Returns the owner to which a request may be sent now, if any.
  std::optional<owner_address> Choose(std::uint32_t partition, time_point now);
  /// Notes that the owner of this epoch has answered (`NoteAnswered`), or that
  /// it has not answered or has reported that it is no longer the owner
  /// (`NoteFailed`).
  void NoteAnswered(std::uint32_t partition, std::uint64_t epoch);
  void NoteFailed(std::uint32_t partition, std::uint64_t epoch, time_point now);

 private:
  struct entry {
    owner_address owner;
    /// Set while the owner is considered unable to answer.
    std::optional<time_point> resume_at;
  };

  owner_directory_settings settings_;
  std::map<std::uint32_t, entry> entries_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_
