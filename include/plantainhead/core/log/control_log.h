#ifndef PLANTAINHEAD_CORE_LOG_CONTROL_LOG_H_
#define PLANTAINHEAD_CORE_LOG_CONTROL_LOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/log/append_ids.h"
#include "plantainhead/core/log/digest.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/core/log/record_queue.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Settings of a control_log.
struct control_log_settings {
  /// Name of this entry, written as the author of its records.
  entry_id name;
  record_queue_settings queue;
  /// An operator's command whose record is not read back within this time is
  /// answered with the result unknown.
  duration command_timeout = std::chrono::seconds(5);
  /// Number of new records after which a snapshot is due. An entry that starts
  /// reads up to this many records after the snapshot. Every entry reads every
  /// snapshot.
  log_offset snapshot_records = 4000;
  /// A snapshot that is not read back within this time is written again.
  duration snapshot_retry = std::chrono::seconds(10);
};

/// Reason why an entry cannot follow the log.
enum class log_fault {
  kNone,
  /// The log ends before the offset that this entry has applied.
  kTruncated,
  /// The log contains a different record at an offset that this entry has
  /// applied.
  kReplaced,
  /// Retention has deleted records that this entry needs, and no snapshot
  /// covers them.
  kRetentionGap,
};

inline constexpr name_table<log_fault, 4> kLogFaultNames = {{
    {log_fault::kNone, "none"},
    {log_fault::kTruncated, "log-shorter"},
    {log_fault::kReplaced, "log-replaced"},
    {log_fault::kRetentionGap, "log-cut"},
}};
inline constexpr const auto& NamesOf(log_fault) {
  return kLogFaultNames;
}

/// Entries compute the digest of their fleet state only at offsets that are
/// multiples of this interval. A digest traverses the whole state, which is too
/// expensive for each record.
inline constexpr log_offset kDigestInterval = 64;

/// Maintains one entry's fleet state from the control stream: restores it from
/// the newest valid snapshot, applies the records read, appends this entry's
/// records and snapshots, and answers operators' commands once their records
/// have been read back.
///
/// The owner passes in every event of the control and snapshot streams and of
/// the appends, a tick at least every `kTickInterval`, and the offsets and
/// digests from heartbeats. The adapter keeps trying to read a followed stream
/// after `log_unavailable`.
///
/// Thread safety: none.
class control_log {
 public:
  /// Preconditions: `settings.queue.self` is not `kNone`; the pointers outlive
  /// this object.
  control_log(control_log_settings settings,
              append_ids* ids,
              random_source* random);

  /// Starts reading the log. Must be called exactly once.
  void Start(time_point now, effects& out);

  /// Handles records read from the control or snapshot stream; other streams
  /// are ignored. Returns the number of records applied.
  std::size_t OnLogRead(time_point now, const log_read& event, effects& out);
  void OnLogUnavailable(time_point now,
                        const log_unavailable& event,
                        effects& out);

  /// Returns true if this module issued the append.
  bool OnAppendFinished(time_point now,
                        const append_finished& event,
                        effects& out);
  void OnTick(time_point now, effects& out);

  /// Handles the offset and digest from a peer's heartbeat; `digest` is 0 if
  /// the peer has none at that offset. Heartbeats of processes that are not
  /// members of this entry's view are ignored.
  void OnPeerOffset(log_offset offset,
                    std::uint64_t digest,
                    incarnation from,
                    effects& out);

  /// Queues records for this entry's own decisions, in order.
  void Submit(time_point now, std::vector<record_body> bodies, effects& out);

  /// Queues the record of an operator's command. Each command results in
  /// exactly one `answer_operator`: accepted with the offset at which the
  /// record was read back and applied; conflict with the value in force and its
  /// author; invalid; or unknown after `command_timeout`. After an unknown
  /// answer the record is not appended again, so that the change cannot take
  /// effect long after the operator has moved on. The detail says whether an
  /// append in flight may still write it.
  void OnCommand(time_point now, const operator_command& event, effects& out);

  const fleet_state& state() const { return state_; }

  /// Returns the digest of `state()` for heartbeats, or 0 if there is none at
  /// this offset: entries compare digests only at multiples of
  /// `kDigestInterval`.
  std::uint64_t digest() const;

  /// Returns true once this entry has applied everything it knows of: the end
  /// of the stream and the offsets from peers and snapshots. Stays true while
  /// the log is unavailable or truncated, since no entry has a newer state
  /// then.
  bool caught_up() const;

  /// Returns false while the stream cannot be read or while `fault()` is set:
  /// appended records would not be read back, and records of other entries do
  /// not arrive.
  bool log_readable() const;

  /// Greatest offset of the control stream that this entry knows of, from
  /// reads, peers or snapshots.
  log_offset max_known_offset() const { return max_known_offset_; }

  log_fault fault() const { return fault_; }
  /// Description of `fault()`; empty if there is none.
  const std::string& fault_detail() const { return fault_detail_; }

  /// Peers that reported a different digest at the same offset: either their
  /// state or this entry's is wrong.
  const std::set<incarnation>& divergent_peers() const {
    return divergent_peers_;
  }

  /// Offset of the state in the newest valid snapshot that was read.
  log_offset newest_snapshot() const { return newest_snapshot_; }

 private:
  enum class phase {
    kStopped,
    /// Determining the end of the snapshot stream.
    kFindingSnapshots,
    kReadingSnapshots,
    kFollowing,
  };

  struct command {
    std::uint64_t sequence = 0;
    time_point deadline;
  };

  // Reading and applying the control stream (control_log.cc).
  std::size_t OnControlRead(const log_read& event, effects& out);
  std::size_t ApplyEntries(const log_read& event, effects& out);
  void ApplyEntry(const log_entry& entry, log_offset end, effects& out);
  bool CanApply(const log_read& event, effects& out);
  bool MatchesAppliedHistory(const log_read& event, effects& out);
  bool IsNextRecordAvailable(const log_read& event, effects& out);
  void FollowControl(log_offset after, effects& out);
  void OnReadable(time_point now, effects& out);
  void AppendPending(time_point now, effects& out);
  bool CanWrite() const;
  void SetFault(log_fault fault, std::string detail, effects& out);
  void ClearFault(effects& out);

  // Reading and writing snapshots (control_log_snapshots.cc).
  void FindSnapshots(effects& out);
  void ReadSnapshots(log_offset count, effects& out);
  void OnSnapshotRead(const log_read& event, effects& out);
  void ConsiderSnapshot(const log_entry& entry, effects& out);
  void FinishSnapshots(effects& out);
  void TakeSnapshot(time_point now, effects& out);
  bool IsSnapshotDue(log_offset records, log_offset divisor) const;
  bool IsBackupSnapshotDue(time_point now);
  bool IsSnapshotWriter() const;

  // Digest comparison (control_log_digests.cc).
  void CompareDigests(log_offset offset,
                      std::uint64_t digest,
                      incarnation from,
                      effects& out);
  void CheckDigests(log_offset end, effects& out);

  // Answers to operators (control_log_commands.cc).
  void AnswerReadBack(const log_entry& entry,
                      const fold_result& result,
                      effects& out);
  void RenameCommands(const std::vector<renamed_record>& renamed);
  void AnswerTimedOut(time_point now, effects& out);

  control_log_settings settings_;
  append_ids* ids_;
  random_source* random_;
  fleet_state state_;
  record_queue queue_;
  phase phase_ = phase::kStopped;

  log_fault fault_ = log_fault::kNone;
  std::string fault_detail_;
  bool log_readable_ = true;
  /// True once the end of the control stream is known.
  bool end_known_ = false;
  /// True after the stream was requested again because of a gap, until the next
  /// contiguous read.
  bool following_again_ = false;
  log_offset begin_ = 0;
  log_offset end_ = 0;
  log_offset max_known_offset_ = 0;
  /// Id of the record at `state_.offset`; empty if the state comes from a
  /// snapshot.
  std::optional<record_id> newest_record_;

  std::shared_ptr<const fleet_state> candidate_;
  log_offset newest_snapshot_ = 0;
  /// Position of that snapshot in the snapshot stream, and the first offset
  /// that this stream still retains.
  log_offset newest_snapshot_at_ = 0;
  log_offset snapshots_begin_ = 0;
  log_offset snapshots_end_ = 0;
  log_offset snapshots_read_ = 0;
  /// Number of newest snapshots requested by the current read.
  log_offset snapshots_requested_ = 0;
  append_id snapshot_append_ = append_id::kNone;
  time_point next_snapshot_{};
  std::optional<time_point> backup_snapshot_at_;

  std::map<log_offset, std::uint64_t> own_digests_;
  std::map<std::pair<log_offset, incarnation>, std::uint64_t> peer_digests_;
  std::set<incarnation> divergent_peers_;

  std::map<record_id, command> commands_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_CONTROL_LOG_H_
