#ifndef PLANTAINHEAD_CORE_IDS_H_
#define PLANTAINHEAD_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Names and numbers of the things that plantainhead manages. Each kind has a
/// type of its own, so that a pool can't be passed where a VM is meant.
namespace plantainhead::core {

/// A name of one kind of thing. `Tag` makes the kinds distinct.
/// Thread safety: as safe as `std::string`.
template <typename Tag>
class basic_id {
 public:
  basic_id() = default;
  explicit basic_id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // clang-tidy 14 takes the 0 that the compiler writes into the defaulted
  // operator for a null pointer, and reports it on this line.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const basic_id&, const basic_id&) = default;

 private:
  std::string value_;
};

using vm_id = basic_id<struct vm_tag>;
using rack_id = basic_id<struct rack_tag>;
using zone_id = basic_id<struct zone_tag>;
using region_id = basic_id<struct region_tag>;
using pool_id = basic_id<struct pool_tag>;
using team_id = basic_id<struct team_tag>;
using service_name = basic_id<struct service_tag>;
using class_name = basic_id<struct class_tag>;
using caller_id = basic_id<struct caller_tag>;
using entry_id = basic_id<struct entry_tag>;
using wave_id = basic_id<struct wave_tag>;
using job_id = basic_id<struct job_tag>;
/// Identifies one action at the platform; sending it twice acts once.
using operation_id = basic_id<struct operation_tag>;
/// Identifies one record of the log; the fold drops a second copy.
using record_id = basic_id<struct record_tag>;
/// A stream of the platform's log.
using stream_name = basic_id<struct stream_tag>;
/// A caller's identity joined with its `Idempotency-Key`.
using claim_key = basic_id<struct claim_tag>;

/// One life of one entry process: a random number drawn at its start.
enum class incarnation : std::uint64_t { kNone = 0 };

/// Position of a record in a stream. The first record has offset 1, so 0 means
/// "nothing applied yet".
using log_offset = std::uint64_t;

/// Counts the changes of one object; a change names the one that it expects.
using generation = std::uint64_t;

/// Counts the holders of the planner lease.
using lease_epoch = std::uint64_t;

/// Identifies a request from its arrival to its answer. The incarnation makes
/// an answer that was meant for an earlier life of the entry match nothing.
struct request_id {
  incarnation entry = incarnation::kNone;
  std::uint64_t sequence = 0;

  // As in basic_id. NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// Identifies one attempt at an endpoint, within one entry process.
enum class call_id : std::uint64_t { kNone = 0 };

/// Identifies one append to the log, within one entry process.
enum class append_id : std::uint64_t { kNone = 0 };

}  // namespace plantainhead::core

template <typename Tag>
struct std::hash<plantainhead::core::basic_id<Tag>> {
  std::size_t operator()(
      const plantainhead::core::basic_id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <>
struct std::hash<plantainhead::core::request_id> {
  std::size_t operator()(
      const plantainhead::core::request_id& id) const noexcept {
    constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
    return static_cast<std::size_t>(static_cast<std::uint64_t>(id.entry) ^
                                    (id.sequence * kOddMultiplier));
  }
};

#endif  // PLANTAINHEAD_CORE_IDS_H_
