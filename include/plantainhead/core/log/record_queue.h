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

struct record_queue_settings {
  /// The process whose records these are.
  incarnation self = incarnation::kNone;
  /// Least time from one append to the next: the rate that an entry keeps to
  /// when it has much to write, as after an outage.
  duration append_interval = std::chrono::milliseconds(50);
  /// Most records in one append.
  std::size_t max_batch_records = 64;
  /// Most records that wait; what comes on top is refused.
  std::size_t limit = 1024;
  /// Pause after a failed append, doubled for each further one.
  duration initial_backoff = std::chrono::milliseconds(100);
  duration max_backoff = std::chrono::seconds(5);
  /// The greatest pause after an append that the log refused. It is short,
  /// since other records of the batch may be waiting for a smaller one.
  duration max_rejected_backoff = std::chrono::milliseconds(500);
  /// After an outage each entry starts to append at a random time within this.
  duration recovery_jitter = std::chrono::seconds(1);
};

/// Whether a record that is taken back can still appear in the stream.
enum class withdrawal { kNotWritten, kMaybeWritten };

/// A record that was given a new id.
struct renamed_record {
  record_id from;
  record_id to;
};

/// The records that an entry has yet to get into the control stream. It numbers
/// them, appends them in that order with one append in flight, and appends
/// again under the same ids when an answer was lost; the fold drops what
/// arrives twice. Thread safety: none.
class record_queue {
 public:
  /// Preconditions: `settings.self` isn't `kNone`; the pointers outlive this.
  record_queue(record_queue_settings settings,
               append_ids* ids,
               random_source* random);

  /// Adds a record and returns its id, or nothing when the queue is full.
  std::optional<record_id> Push(std::string author, record_body body);

  /// Takes back a record that is still here; nothing if it isn't (it was
  /// appended, or read back).
  std::optional<withdrawal> Withdraw(const record_id& id);

  /// Drops the record, which was read back. Unknown ids do nothing.
  void OnReadBack(const record_id& id);

  /// The stream can be read again after an outage.
  void OnRecovered(time_point now);

  /// Returns true if this was the queue's append. A record that the log refused
  /// goes to the end of the queue under a new id, which is added to `renamed`.
  bool OnAppendFinished(time_point now,
                        const append_finished& event,
                        std::vector<renamed_record>& renamed);

  /// Appends what waits, if it is time. Drops first what has become void under
  /// `state`.
  void AppendPending(time_point now, const fleet_state& state, effects& out);

  std::size_t size() const { return waiting_.size(); }

 private:
  struct waiting_record {
    record content;
    /// An append that held it ended without an answer.
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
  /// Most records in the next append.
  std::size_t batch_ = 0;
  time_point next_append_{};
  duration backoff_{};
};

/// Returns true for a record that would do nothing under `state` and can only
/// do less later: of a planner that was replaced, about members that are gone.
/// Thread safety: safe from any thread while nobody writes to `state`.
bool IsObsolete(const record_body& body, const fleet_state& state);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORD_QUEUE_H_
