#ifndef PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_
#define PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Where the owner of a partition of pools answers other processes.
struct owner_address {
  std::uint64_t epoch = 0;
  /// "IP:PORT"
  std::string address;

  friend bool operator==(const owner_address&, const owner_address&) = default;
};

struct owner_directory_settings {
  /// An owner that left a request without an answer gets no other for this
  /// time, and then one at a time until it answers.
  duration retry_interval = std::chrono::seconds(1);
};

/// Whom to ask about the pools of a partition: a circuit breaker for each
/// owner.
///
/// An owner that was frozen or cut off answers nothing, and each request that
/// is passed on to it costs its caller a timeout. With the breaker one caller
/// in each `retry_interval` pays that, and all others go to the store at once.
///
/// Pure: it neither calls nor looks at a clock. Not thread-safe.
class owner_directory {
 public:
  explicit owner_directory(const owner_directory_settings& settings)
      : settings_(settings) {}

  /// Notes what an owner has announced. Returns true when it is newer than what
  /// was known; announcements may be read in any order.
  bool NoteAnnouncement(std::uint32_t partition, owner_address owner);
  /// Returns the newest announcement of the partition; epoch 0: there is none.
  owner_address Latest(std::uint32_t partition) const;

  /// Returns the owner that a request may be sent to now, if there is one.
  std::optional<owner_address> Choose(std::uint32_t partition, time_point now);
  /// Notes that the owner of this epoch has answered, or that it said that it
  /// is the owner no more, or hasn't answered.
  void NoteAnswered(std::uint32_t partition, std::uint64_t epoch);
  void NoteFailed(std::uint32_t partition, std::uint64_t epoch, time_point now);

 private:
  struct entry {
    owner_address owner;
    /// Set while the owner is taken for unable to answer.
    std::optional<time_point> resume_at;
  };

  owner_directory_settings settings_;
  std::map<std::uint32_t, entry> entries_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_OWNER_DIRECTORY_H_
