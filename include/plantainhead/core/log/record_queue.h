#ifndef PLANTAINHEAD_CORE_LOG_RECORD_QUEUE_H_
#define PLANTAINHEAD_CORE_LOG_RECORD_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/append_ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Settings of a record_queue.
struct record_queue_settings {
  /// Incarnation of the process that writes the records.
  incarnation self = incarnation::kNone;
  /// Minimum time between two appends. It limits the append rate of an entry
  /// with a large backlog, for example after an outage.
  duration append_interval = std::chrono::milliseconds(50);
  /// Maximum number of records in one append.
  std::size_t max_batch_records = 64;
  /// Maximum number of queued records; further ones are rejected.
  std::size_t limit = 1024;
  /// Delay after a failed append, doubled after each further failure.
  duration initial_backoff = std::chrono::milliseconds(100);
  duration max_backoff = std::chrono::seconds(5);
  /// Maximum delay after an append that the log rejected. It is short, because
  /// other records of the batch may only be waiting for a smaller batch.
  duration max_rejected_backoff = std::chrono::milliseconds(500);
  /// After an outage each entry resumes appending after a random delay up to
  /// this.
  duration recovery_jitter = std::chrono::seconds(1);
};

/// Whether a withdrawn record can still appear in the stream.
enum class withdrawal { kNotWritten, kMaybeWritten };

/// A record whose id was changed.
struct renamed_record {
  record_id from;
  record_id to;
};

/// Queue of an entry's records that are not yet in the control stream. It
/// numbers the records, appends them in that order with at most one append in
/// flight, and retries with the same ids when the result of an append is
/// unknown; duplicates are ignored when the log is applied. Thread safety:
/// none.
class record_queue {
 public:
  /// Preconditions: `settings.self` is not `kNone`; the pointers outlive this
  /// object.
  record_queue(record_queue_settings settings,
               append_ids* ids,
               random_source* random);

  /// Adds a record and returns its id, or `nullopt` if the queue is full.
  std::optional<record_id> Push(std::string author, record_body body);

  /// Removes a record that is still queued. Returns `nullopt` if it is not (it
  /// was appended or read back).
  std::optional<withdrawal> Withdraw(const record_id& id);

  /// Removes a record that has been read back. Unknown ids are ignored.
  void OnReadBack(const record_id& id);

  /// Handles the end of an outage: the stream is readable again.
  void OnRecovered(time_point now);

  /// Returns true if this queue issued the append. A record that the log
  /// rejected moves to the end of the queue under a new id, which is added to
  /// `renamed`.
  bool OnAppendFinished(time_point now,
                        const append_finished& event,
                        std::vector<renamed_record>& renamed);

  /// Appends queued records if an append is due. First drops records that have
  /// become obsolete under `state`.
  void AppendPending(time_point now, const fleet_state& state, effects& out);

  std::size_t size() const { return waiting_.size(); }

 private:
  struct waiting_record {
    record content;
    /// True if an append that contained the record ended with an unknown
    /// result.
    bool maybe_written = false;
    bool in_flight = false;
  };

  void DropObsolete(const fleet_state& state, effects& out);
  void OnAppended();
  void OnUnknown(time_point now);
  void OnRejected(time_point now, std::vector<renamed_record>& renamed);
  void BackOff(time_point now, duration greatest);
  record_id NextId();
  std::deque<waiting_record>::iterator Find(const record_id& id);

  record_queue_settings settings_;
  append_ids* ids_;
  random_source* random_;
  std::deque<waiting_record> waiting_;
  std::uint64_t last_number_ = 0;
  append_id in_flight_ = append_id::kNone;
  /// Maximum number of records in the next append.
  std::size_t batch_ = 0;
  time_point next_append_{};
  duration backoff_{};
};

/// Returns true for a record that would have no effect under `state` or any
/// later state: a record of a replaced planner, or about members that are gone.
/// Thread safety: safe from any thread while no thread writes to `state`.
bool IsObsolete(const record_body& body, const fleet_state& state);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORD_QUEUE_H_
