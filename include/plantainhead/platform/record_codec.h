#ifndef PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_
#define PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/records.h"

/// The platform's log, VM list and operations, as seen by an entry.
namespace plantainhead::platform {

/// Thrown when a text isn't a well-formed record, state or configuration, or
/// when a value has no form as text (a share that isn't a finite number).
class codec_error : public std::runtime_error {
 public:
  codec_error(std::string place, const std::string& message);

  /// Returns where the fault is, as a path such as "/body/document/classes/2";
  /// empty for the text as a whole.
  /// Thread safety: safe from any thread.
  const std::string& place() const { return place_; }

 private:
  std::string place_;
};

/// Returns the text of a record: one JSON object on one line. Time points and
/// durations are whole microseconds; incarnations and digests are 16
/// hexadecimal digits. Strings that aren't UTF-8 survive the round trip.
/// Precondition: `snapshot_taken::state` isn't null.
/// Errors: `codec_error` for a number that isn't finite.
/// Thread safety: safe from any thread.
std::string EncodeRecord(const core::record& content);

/// Returns the record that `text` holds. A field that isn't there keeps its
/// default and a field that isn't known is skipped, so that entries of
/// neighbouring versions read each other's records. A record of a type that
/// isn't known becomes `core::unknown_record`.
/// Errors: `codec_error` with the place of the first fault.
/// Thread safety: safe from any thread.
core::record DecodeRecord(std::string_view text);

/// Returns the whole agreed state as JSON, for operators and snapshots.
/// Errors: `codec_error` for a number that isn't finite.
/// Thread safety: safe from any thread while nobody writes to `state`.
std::string EncodeState(const core::fleet_state& state);

/// Returns the state that `text` holds.
/// Errors: `codec_error` with the place of the first fault.
/// Thread safety: safe from any thread.
core::fleet_state DecodeState(std::string_view text);

/// Returns a configuration as JSON.
/// Errors: `codec_error` for a number that isn't finite.
/// Thread safety: safe from any thread while nobody writes to `targets`.
std::string EncodeConfiguration(const core::configuration& targets);

/// Returns the configuration that `text` holds. It is not checked: use
/// `core::configuration_builder` for that.
/// Errors: `codec_error` with the place of the first fault.
/// Thread safety: safe from any thread.
core::configuration DecodeConfiguration(std::string_view text);

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_PLATFORM_RECORD_CODEC_H_
