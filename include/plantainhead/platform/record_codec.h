#ifndef PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_
#define PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/records.h"

/// The client side of the platform's log, VM list and operations, as used by an
/// entry.
namespace plantainhead::platform {

/// Thrown when a text is not a well-formed record, state or configuration, or
/// when a value cannot be encoded (a share that is not a finite number).
class codec_error : public std::runtime_error {
 public:
  codec_error(std::string place, const std::string& message);

  /// Returns the location of the error as a path such as
  /// "/body/document/classes/2"; empty if the error concerns the text as a
  /// whole.
  /// Thread safety: safe from any thread.
  const std::string& place() const { return place_; }

 private:
  std::string place_;
};

/// Returns the encoded record: one JSON object on one line. Time points and
/// durations are whole microseconds; incarnations and digests are 16
/// hexadecimal digits. Strings that are not valid UTF-8 are preserved.
/// Precondition: `snapshot_taken::state` is not null.
/// Errors: `codec_error` for a number that is not finite.
/// Thread safety: safe from any thread.
std::string EncodeRecord(const core::record& content);

/// Returns the record encoded in `text`. A missing field keeps its default and
/// an unknown field is skipped, so that entries of adjacent versions can read
/// each other's records. A record of an unknown type becomes
/// `core::unknown_record`.
/// Errors: `codec_error` with the location of the first error.
/// Thread safety: safe from any thread.
core::record DecodeRecord(std::string_view text);

/// Returns the whole replicated fleet state as JSON, for operators and
/// snapshots.
/// Errors: `codec_error` for a number that is not finite.
/// Thread safety: safe from any thread while no thread writes to `state`.
std::string EncodeState(const core::fleet_state& state);

/// Returns the state encoded in `text`.
/// Errors: `codec_error` with the location of the first error.
/// Thread safety: safe from any thread.
core::fleet_state DecodeState(std::string_view text);

/// Returns a configuration as JSON.
/// Errors: `codec_error` for a number that is not finite.
/// Thread safety: safe from any thread while no thread writes to `targets`.
std::string EncodeConfiguration(const core::configuration& targets);

/// Returns the configuration encoded in `text`. It is not validated; use
/// `core::configuration_builder` for that.
/// Errors: `codec_error` with the location of the first error.
/// Thread safety: safe from any thread.
core::configuration DecodeConfiguration(std::string_view text);

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_
