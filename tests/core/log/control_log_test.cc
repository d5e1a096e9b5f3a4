#include "plantainhead/core/log/control_log.h"

#include <catch2/catch.hpp>

#include <string>

#include "core/log/memory_log.h"

namespace plantainhead::core {
namespace {

using namespace std::chrono_literals;

constexpr duration kLong = 1s;

publish_configuration Publish(generation expected) {
  return {configuration(), expected};
}

TEST_CASE("Two operators publish at once at two entries") {
  // Both operators read generation 0 and publish through different entries.
  // Both records are written to the log, and the second operator must be told
  // who was first.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  control_log_harness two(&log, 2, "entry-2");
  one.Start();
  two.Start();
  one.Command(7, "ana", Publish(0));
  two.Command(8, "ben", Publish(0));

  REQUIRE(one.answers.size() == 1);
  CHECK(one.answers[0].sequence == 7);
  CHECK(one.answers[0].result == command_result::kAccepted);
  CHECK(one.answers[0].offset == 1);
  REQUIRE(two.answers.size() == 1);
  CHECK(two.answers[0].result == command_result::kConflict);
  CHECK(two.answers[0].detail.find("written by ana") != std::string::npos);
}

TEST_CASE("The answer to an append of the control log is lost") {
  // The records were written, but the entry does not know it and cannot read
  // the log for a while. It appends them again. Only the first copy is applied,
  // and the operator gets one answer, for that copy.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.next_result = append_result::kUnknown;
  one.is_down = false;
  one.Submit(Publish(0));
  CHECK(one.state().targets_version == 1);

  SECTION("and the record is not appended again once it was read back") {
    one.next_result = append_result::kAppended;
    one.Tick(kLong);
    CHECK(one.appends.size() == 1);
  }

  SECTION("and the record is appended again while reads are late") {
    // The log reports neither append results nor reads, but writes the records.
    effects out;
    append_ids ids;
    random_source random(3);
    control_log_settings settings;
    settings.queue.self = incarnation{3};
    control_log core(settings, &ids, &random);
    core.Start(one.now, out);
    core.OnLogRead(one.now, log.Read(kSnapshotStream, 0), out);
    core.OnLogRead(one.now, log.Read(kSnapshotStream, 0), out);
    core.OnLogRead(one.now, log.Read(kControlStream, 0), out);
    out.actions.clear();
    core.OnCommand(one.now, {5, "ana", Publish(1)}, out);
    const auto first = std::get<append_records>(out.actions.at(0));
    core.OnAppendFinished(one.now, {first.append, append_result::kUnknown, 0},
                          out);
    out.actions.clear();
    core.OnTick(one.now + kLong, out);
    const auto second = std::get<append_records>(out.actions.at(0));
    REQUIRE(second.records.at(0).id == first.records.at(0).id);
    log.Append(kControlStream, first.records);
    log.Append(kControlStream, second.records);
    out.actions.clear();
    core.OnLogRead(one.now + kLong, log.Read(kControlStream, 1), out);
    REQUIRE(out.actions.size() == 1);
    CHECK(std::get<answer_operator>(out.actions[0]).result ==
          command_result::kAccepted);
    CHECK(core.state().targets_version == 2);
    CHECK(core.state().offset == 3);
  }
}

TEST_CASE("An operator publishes while the log is unavailable") {
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.DisconnectLog();
  one.Command(7, "ana", Publish(0));
  CHECK(one.answers.empty());
  one.Tick(6s);
  REQUIRE(one.answers.size() == 1);
  CHECK(one.answers[0].result == command_result::kUnknown);
  CHECK(one.answers[0].detail.find("may still appear") != std::string::npos);

  SECTION("and the change is not applied when the log is available again") {
    const std::size_t tried = one.appends.size();
    one.is_down = false;
    one.Settle();
    one.Tick(6s);
    CHECK(one.appends.size() == tried);
    CHECK(one.state().targets_version == 0);
    CHECK(one.answers.size() == 1);
  }
}

TEST_CASE("The log returns truncated") {
  // The platform restores its log from a backup that lacks the newest records.
  // Following it would put an older configuration in force. The entry must keep
  // its state, continue serving with it, write nothing, and report the fault.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.Command(1, "ana", Publish(0));
  one.Command(2, "ana", Publish(1));
  REQUIRE(one.state().offset == 2);
  auto& records = log.streams[kControlStream].records;
  const record lost = records.back();
  records.pop_back();
  one.Settle();
  CHECK(one.core->fault() == log_fault::kTruncated);
  CHECK_FALSE(one.core->log_readable());
  CHECK(one.core->caught_up());
  CHECK(one.state().offset == 2);
  CHECK(one.log_messages.size() == 1);
  one.Command(3, "ana", Publish(2));
  CHECK(one.answers.back().result == command_result::kUnknown);
  CHECK(records.size() == 1);

  SECTION("but its end was only stale: the same record is there again") {
    records.push_back(lost);
    one.Settle();
    CHECK(one.core->fault() == log_fault::kNone);
    CHECK(one.core->log_readable());
    CHECK(one.core->caught_up());
  }

  SECTION("and a process that starts then never becomes ready") {
    records.clear();
    snapshot_taken taken;
    taken.state = std::make_shared<const fleet_state>(one.state());
    taken.digest = Digest(one.state());
    log.Append(kSnapshotStream, {record{record_id("s"), "", taken}});
    control_log_harness last(&log, 3, "entry-3");
    last.Start();
    CHECK(last.state().offset == 2);
    CHECK(last.core->fault() == log_fault::kTruncated);
    CHECK_FALSE(last.core->caught_up());
  }

  SECTION("and another record takes the offset of the lost one") {
    record other = lost;
    other.id = record_id("other");
    records.push_back(other);
    records.push_back(other);
    one.Settle();
    CHECK(one.core->fault() == log_fault::kReplaced);
    CHECK(one.state().offset == 2);
  }
}

TEST_CASE("Retention deletes records that an entry has not read") {
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  control_log_harness two(&log, 2, "entry-2");
  one.Start();
  one.Join();
  two.Start();
  two.DisconnectLog();
  constexpr int kPublications = 30;
  for (int i = 0; i < kPublications; ++i) {
    one.Tick(kLong);
    one.Submit(Publish(i));
  }
  REQUIRE(one.core->newest_snapshot() >= 20);
  log.streams[kControlStream].begin = 15;

  SECTION("and it continues from a newer snapshot") {
    two.is_down = false;
    two.Settle();
    CHECK(two.state() == one.state());
    CHECK(two.core->caught_up());
  }

  SECTION("and no snapshot covers the deleted records") {
    // The entry must not skip the missing records, because its state would
    // differ from that of the others. It waits, reports the fault, and
    // continues when a snapshot arrives.
    const auto snapshots = log.streams[kSnapshotStream];
    log.streams.erase(kSnapshotStream);
    two.is_down = false;
    two.Settle();
    CHECK(two.core->fault() == log_fault::kRetentionGap);
    CHECK(two.state().offset == 1);
    CHECK_FALSE(two.core->caught_up());

    log.streams[kSnapshotStream] = snapshots;
    two.Settle();
    CHECK(two.core->fault() == log_fault::kNone);
    CHECK(two.state() == one.state());
  }
}

TEST_CASE("The newest snapshots are damaged") {
  // An entry that trusted a damaged snapshot would start from a state that no
  // other entry has. It must use the newest valid one and read no more
  // snapshots than necessary.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.Join();
  for (int i = 0; i < 250; ++i) {
    one.Tick(kLong);
    one.Submit(Publish(i));
  }
  auto& snapshots = log.streams[kSnapshotStream].records;
  REQUIRE(snapshots.size() == 12);
  const std::size_t damaged = GENERATE(0, 1, 2, 7, 11);
  for (std::size_t i = 0; i < damaged; ++i) {
    const std::size_t at = snapshots.size() - 1 - i;
    std::get<snapshot_taken>(snapshots[at].body).digest ^= 1;
  }
  log.streams[kControlStream].begin = 10;

  control_log_harness two(&log, 2, "entry-2");
  two.Start();
  CHECK(two.HasLogMessage("wrong digest") == (damaged > 0));
  CHECK(two.snapshots_read <= 2 + 4 * damaged);
  CHECK(two.state() == one.state());
}

TEST_CASE("All entries are replaced one after another") {
  // The VMs have no persistent storage, so each configuration exists only in
  // the log. Each entry dies without leaving, and retention closely follows the
  // snapshots, so a live entry has to write them in place of a dead one.
  memory_log log;
  generation published = 0;
  for (std::uint64_t life = 1; life <= 12; ++life) {
    control_log_harness next(&log, life, "entry-" + std::to_string(life % 3));
    next.Start();
    REQUIRE(next.state().targets_version == published);
    next.Join();
    for (int i = 0; i < 15; ++i) {
      next.Command(published, "ana", Publish(published));
      REQUIRE(next.answers.back().result == command_result::kAccepted);
      ++published;
    }
    next.Tick(10s);
    next.Tick(10s);
    auto& control = log.streams[kControlStream];
    control.begin = std::max(control.begin, next.core->newest_snapshot() + 1);
  }
  CHECK(log.streams[kControlStream].begin > 1);
}

TEST_CASE("The log refuses connections for a while") {
  // An append without a connection ends as rejected: it was certainly not
  // written. The entry's own records must survive any number of such failures,
  // and an operator's command must not be answered invalid because of them.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.next_result = append_result::kRejected;
  one.next_is_written = false;
  one.Join();
  one.Command(7, "ana", Publish(0));
  for (int i = 0; i < 50; ++i) {
    one.Tick(kLong);
  }
  REQUIRE(one.answers.size() == 1);
  CHECK(one.answers[0].result == command_result::kUnknown);
  CHECK(one.answers[0].detail.find("will not be") != std::string::npos);

  one.next_result = append_result::kAppended;
  one.next_is_written = true;
  one.Tick(kLong);
  CHECK(one.state().members.size() == 1);
  CHECK(one.state().targets_version == 0);
}

TEST_CASE("The log permanently rejects one of the records") {
  // One record is too large for the log, which rejects each append that
  // contains it. The other records must still be written.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.Submit(unknown_record{memory_log::kTooLarge});
  for (int i = 0; i < 20; ++i) {
    one.Submit(Publish(i));
  }
  for (int i = 0; i < 40; ++i) {
    one.Tick(kLong);
  }
  CHECK(one.state().targets_version == 20);
}

TEST_CASE("Heartbeats of processes that are not members are ignored") {
  // A process of another fleet, or an expelled one, reports an offset far
  // beyond this log. Believing it would make every entry unready.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.Join();
  one.ReceivePeerOffset(1000000, 5, incarnation{66});
  one.ReceivePeerOffset(1, 5, incarnation{66});
  CHECK(one.core->caught_up());
  CHECK(one.core->divergent_peers().empty());
}

TEST_CASE("The end of an outage causes no burst of appends") {
  // Several entries have a backlog when the log becomes available again. Each
  // must keep to its append rate and start at a random time.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  one.Start();
  one.DisconnectLog();
  for (int i = 0; i < 500; ++i) {
    one.Submit(Publish(i));
  }
  one.Tick(10s);
  one.is_down = false;
  one.appends.clear();
  one.Settle();
  for (int i = 0; i < 200; ++i) {
    one.Tick(10ms);
  }
  CHECK(one.appends.size() <= 2 * 20 + 1);
  CHECK(one.state().targets_version == 500);
}

TEST_CASE("Entries compare their state digests") {
  // Faulty apply logic or corrupted memory in one entry could make it plan VMs
  // into pools that the others do not know. Heartbeats carry digests at some
  // offsets to detect this.
  memory_log log;
  control_log_harness one(&log, 1, "entry-1");
  control_log_harness two(&log, 2, "entry-2");
  one.Start();
  two.Start();
  two.Join();
  for (log_offset i = 0; one.state().offset < kDigestInterval; ++i) {
    CHECK(one.core->digest() == 0);
    one.Command(i, "ana", Publish(i));
  }
  two.Settle();
  const std::uint64_t digest = one.core->digest();
  REQUIRE(digest != 0);
  REQUIRE(digest == two.core->digest());

  SECTION("with a peer at the same offset") {
    one.ReceivePeerOffset(kDigestInterval, digest, two.who);
    CHECK(one.core->divergent_peers().empty());
    one.ReceivePeerOffset(kDigestInterval, digest + 1, two.who);
    one.ReceivePeerOffset(kDigestInterval, digest + 1, two.who);
    CHECK(one.core->divergent_peers().size() == 1);
    CHECK(one.log_messages.size() == 1);
  }

  SECTION("with a peer that is behind") {
    one.Command(2, "ana", Publish(one.state().targets_version));
    one.ReceivePeerOffset(kDigestInterval, digest, two.who);
    one.ReceivePeerOffset(kDigestInterval - 1, 0, two.who);
    CHECK(one.core->divergent_peers().empty());
    one.ReceivePeerOffset(kDigestInterval, digest + 1, two.who);
    CHECK(one.core->divergent_peers().contains(two.who));
  }

  SECTION("with a peer that is ahead, once they reach its offset") {
    one.ReceivePeerOffset(2 * kDigestInterval, 12345, two.who);
    CHECK_FALSE(one.core->caught_up());
    while (one.state().offset < 2 * kDigestInterval) {
      one.Command(2, "ana", Publish(one.state().targets_version));
    }
    CHECK(one.core->caught_up());
    CHECK(one.core->divergent_peers().contains(two.who));
  }
}

}  // namespace
}  // namespace plantainhead::core
