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

struct control_log_settings {
  /// Name of this entry, the author of its records.
  entry_id name;
  record_queue_settings queue;
  /// An operator's command that was not read back by then is answered unknown.
  duration command_timeout = std::chrono::seconds(5);
  /// A snapshot is due once the stream has grown by so many records. A start
  /// reads up to so many after it; every entry reads each snapshot.
  log_offset snapshot_records = 4000;
  /// A snapshot that was not read back by then is taken again.
  duration snapshot_retry = std::chrono::seconds(10);
};

/// What keeps an entry from following the log.
enum class log_fault {
  kNone,
  /// The log ends before the offset that this entry has applied.
  kTruncated,
  /// The log has another record at an offset that this entry has applied.
  kReplaced,
  /// Retention has dropped records that this entry needs, and no snapshot
  /// reaches beyond them.
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

/// Entries compute the digest of their folds at offsets that are multiples of
/// this. A digest walks the whole state, which costs too much at each record.
inline constexpr log_offset kDigestInterval = 64;

/// Owns one entry's fold of the control stream: starts it from the newest valid
/// snapshot, applies what is read, writes this entry's records and snapshots,
/// and answers operators' commands once their records are read back.
///
/// The owner hands in every event of the two streams and of the appends, a tick
/// at least every `kTickInterval`, and what heartbeats say. The adapter goes on
/// trying to read a followed stream after `log_unavailable`.
///
/// Thread safety: none.
class control_log {
 public:
  /// Preconditions: `settings.queue.self` isn't `kNone`; the pointers outlive
  /// this.
  control_log(control_log_settings settings,
              append_ids* ids,
              random_source* random);

  /// Starts to read. Call once.
  void Start(time_point now, effects& out);

  /// Takes in what was read of the control or the snapshot stream; other
  /// streams are ignored. Returns how many entries were applied.
  std::size_t OnLogRead(time_point now, const log_read& event, effects& out);
  void OnLogUnavailable(time_point now,
                        const log_unavailable& event,
                        effects& out);

  /// Returns true if the append was one of this module's.
  bool OnAppendFinished(time_point now,
                        const append_finished& event,
                        effects& out);
  void OnTick(time_point now, effects& out);

  /// Takes in what a peer's heartbeat says of its fold; its digest is 0 where
  /// it has none. Heartbeats of processes
  /// that aren't members of this entry's view tell nothing.
  void OnPeerOffset(log_offset offset,
                    std::uint64_t digest,
                    incarnation from,
                    effects& out);

  /// Queues records of this entry's own decisions, in order.
  void Submit(time_point now, std::vector<record_body> bodies, effects& out);

  /// Queues an operator's command. Ends in exactly one `answer_operator`:
  /// accepted with the offset at which the record was read back and applied;
  /// conflict with what is in force and who wrote it; invalid; or unknown after
  /// `command_timeout`. A command that was answered unknown isn't appended any
  /// more, so that it doesn't spring up long after the operator went on; the
  /// detail says if an append that is under way may still bring it.
  void OnCommand(time_point now, const operator_command& event, effects& out);

  const fleet_state& state() const { return state_; }

  /// Digest of `state()` for heartbeats, or 0 when there is none at this
  /// offset: entries compare their folds at every `kDigestInterval`th offset
  /// only.
  std::uint64_t digest() const;

  /// Returns true once all that this entry can learn of has been applied: the
  /// end of the stream, peers' offsets, snapshots. It stays true while the log
  /// is out or has come back shorter, since nobody has a newer state then.
  bool caught_up() const;

  /// False while the stream can't be read and while `fault()`: nothing that is
  /// appended will be read back, and others' records don't arrive.
  bool log_readable() const;

  /// Greatest offset of the control stream that this entry has heard of.
  log_offset max_known_offset() const { return max_known_offset_; }

  log_fault fault() const { return fault_; }
  /// A sentence about `fault()`; empty without one.
  const std::string& fault_detail() const { return fault_detail_; }

  /// Peers that had another digest at one offset: their fold or ours is wrong.
  const std::set<incarnation>& divergent_peers() const {
    return divergent_peers_;
  }

  /// Offset of the newest valid snapshot that was read.
  log_offset newest_snapshot() const { return newest_snapshot_; }

 private:
  enum class phase {
    kStopped,
    /// Asking where the snapshot stream ends.
    kFindingSnapshots,
    kReadingSnapshots,
    kFollowing,
  };

  struct command {
    std::uint64_t sequence = 0;
    time_point deadline;
  };

  // Reading (control_log.cc).
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

  // Snapshots (control_log_snapshots.cc).
  void FindSnapshots(effects& out);
  void ReadSnapshots(log_offset count, effects& out);
  void OnSnapshotRead(const log_read& event, effects& out);
  void ConsiderSnapshot(const log_entry& entry, effects& out);
  void FinishSnapshots(effects& out);
  void TakeSnapshot(time_point now, effects& out);
  bool IsSnapshotDue(log_offset records, log_offset divisor) const;
  bool IsBackupSnapshotDue(time_point now);
  bool IsSnapshotWriter() const;

  // Digests (control_log_digests.cc).
  void CompareDigests(log_offset offset,
                      std::uint64_t digest,
                      incarnation from,
                      effects& out);
  void CheckDigests(log_offset end, effects& out);

  // Operators (control_log_commands.cc).
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
  /// The stream's end is known.
  bool end_known_ = false;
  /// Asked for the stream again after a gap, and not read since.
  bool following_again_ = false;
  log_offset begin_ = 0;
  log_offset end_ = 0;
  log_offset max_known_offset_ = 0;
  /// Id of the record at `state_.offset`, if it was read as an entry.
  std::optional<record_id> newest_record_;

  std::shared_ptr<const fleet_state> candidate_;
  log_offset newest_snapshot_ = 0;
  /// Its place in the snapshot stream, and where that stream begins.
  log_offset newest_snapshot_at_ = 0;
  log_offset snapshots_begin_ = 0;
  log_offset snapshots_end_ = 0;
  log_offset snapshots_read_ = 0;
  /// How many of the newest snapshots are being read.
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
