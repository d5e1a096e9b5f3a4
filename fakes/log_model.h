#ifndef PLANTAINHEAD_FAKES_LOG_MODEL_H_
#define PLANTAINHEAD_FAKES_LOG_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::fakes {

/// What a log keeps and how much it takes.
struct log_limits {
  /// Records that a stream keeps.
  std::size_t retention_records = 1'000'000;
  /// How long a stream keeps a record.
  core::duration retention_time = std::chrono::hours(24);
  /// Appends a second over all streams; 0 for no limit.
  std::uint32_t appends_per_second = 0;
};

struct stored_record {
  core::log_offset offset = 0;
  core::time_point appended;
  std::string data;
};

/// What a read found.
struct read_result {
  /// Smallest and greatest offset that the stream keeps; `begin` is `end` + 1
  /// for a stream without records.
  core::log_offset begin = 1;
  core::log_offset end = 0;
  std::vector<stored_record> records;
};

/// Append-only streams with offsets from 1 and limited retention.
/// The time that is passed in never goes back. Thread safety: none.
class log_model {
 public:
  void set_limits(const log_limits& limits) { limits_ = limits; }
  const log_limits& limits() const { return limits_; }

  /// Appends `records` as one and returns the offset of the first, or nothing
  /// when the limit of appends a second has been reached.
  /// Precondition: `records` isn't empty.
  std::optional<core::log_offset> Append(const core::stream_name& stream,
                                         std::vector<std::string> records,
                                         core::time_point now);

  /// Returns at most `max` records after `after`, and no more than about
  /// `kReadBytes` of them but at least one.
  read_result Read(const core::stream_name& stream,
                   core::log_offset after,
                   std::size_t max,
                   core::time_point now);

  /// Loses the records after `end`, as a fault.
  void Truncate(const core::stream_name& stream, core::log_offset end);

  static constexpr std::size_t kReadBytes = 4U << 20U;

 private:
  struct stream_data {
    std::deque<stored_record> records;
    core::log_offset next = 1;
  };

  bool TakeToken(core::time_point now);
  void DropOld(stream_data* stream, core::time_point now) const;

  log_limits limits_;
  std::map<core::stream_name, stream_data> streams_;
  double tokens_ = 0;
  core::time_point tokens_at_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_LOG_MODEL_H_
