#ifndef PLANTAINHEAD_CORE_IDS_H_
#define PLANTAINHEAD_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Identifiers of the objects that plantainhead manages. Each kind has its own
/// type, so that for example a pool cannot be passed where a VM is expected.
namespace plantainhead::core {

/// A string identifier for one kind of object. `Tag` makes the kinds distinct
/// types. Thread safety: the same as `std::string`.
template <typename Tag>
class basic_id {
 public:
  basic_id() = default;
  explicit basic_id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // clang-tidy 14 mistakes the 0 that the compiler writes into the defaulted
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
/// Identifies one platform operation. Operations are idempotent by this id:
/// sending one twice executes it once.
using operation_id = basic_id<struct operation_tag>;
/// Identifies one log record. A second copy of a record is ignored when the log
/// is applied.
using record_id = basic_id<struct record_tag>;
/// Names a stream of the platform's log.
using stream_name = basic_id<struct stream_tag>;
/// A caller's identity combined with its `Idempotency-Key`.
using claim_key = basic_id<struct claim_tag>;

/// Identifies one run of one entry process: a random number drawn at process
/// start.
enum class incarnation : std::uint64_t { kNone = 0 };

/// Position of a record in a stream. The first record has offset 1; 0 means
/// that no record has been applied.
using log_offset = std::uint64_t;

/// Version number of one object, incremented by each change. A change names the
/// generation that it expects (optimistic concurrency control).
using generation = std::uint64_t;

/// Epoch of the planner lease, incremented each time the lease is taken.
using lease_epoch = std::uint64_t;

/// Identifies a request from arrival to response. Because it includes the
/// incarnation, a response meant for an earlier run of the entry matches no
/// current request.
struct request_id {
  incarnation entry = incarnation::kNone;
  std::uint64_t sequence = 0;

  // See basic_id. NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// Identifies one call to an endpoint, within one entry process.
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
