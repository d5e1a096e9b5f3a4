#include "plantainhead/core/claims/claims.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/claims/claims_fixture.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(500000)};
const claim_key kKey("casework/appeal-17");
const stream_name kStream = ClaimStream(PartitionOf(kKey));
constexpr duration kWindow = claim_options().window;
constexpr duration kSkew = claim_options().clock_skew;
constexpr duration kClaimTimeout = claim_options().claim_timeout;
/// How long a claim stays active.
constexpr duration kRetention = kWindow + kSkew + kClaimTimeout;

std::optional<claim_verdict> VerdictOf(claims_entry& entry,
                                       std::uint64_t sequence) {
  const std::optional<claim_decision> decision = entry.Take(sequence);
  return decision ? std::optional(decision->verdict) : std::nullopt;
}

// Returns the verdict on a new request after all log operations that it needs.
std::optional<claim_verdict> AcquireAndSettle(claims_entry& entry,
                                              std::uint64_t sequence,
                                              time_point now) {
  entry.Acquire(kKey, sequence, now);
  entry.Settle(now);
  return VerdictOf(entry, sequence);
}

// Returns another key of the same partition.
claim_key KeyInSamePartition(const claim_key& key) {
  for (int i = 0;; ++i) {
    claim_key other("other-" + std::to_string(i));
    if (PartitionOf(other) == PartitionOf(key)) {
      return other;
    }
  }
}

claims_entry& MakeCoordinator(claims_entry& entry, time_point now) {
  entry.SetCoordinator(true, now);
  entry.Read(now);
  entry.Tick(now);
  entry.Settle(now);
  return entry;
}

TEST_CASE("A request with a key is claimed before it may run") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  coordinator.Acquire(kKey, 1, kStart);

  SECTION("and granted only once its record was read back") {
    REQUIRE(coordinator.appends().size() == 1);
    coordinator.CompleteAppend(kStart);
    CHECK_FALSE(coordinator.Take(1));
    coordinator.Read(kStart);
    CHECK(VerdictOf(coordinator, 1) == claim_verdict::kGranted);

    SECTION("a second request is refused because the key is in progress") {
      coordinator.Acquire(kKey, 2, kStart);
      const auto decision = coordinator.Take(2);
      REQUIRE(decision);
      CHECK(decision->verdict == claim_verdict::kInProgress);
      CHECK(decision->retry_after > duration::zero());
    }

    SECTION("a retry after its completion gets the stored answer") {
      coordinator.Finish(kKey, 1, kStart);
      coordinator.Acquire(kKey, 2, kStart + seconds(1));
      const auto decision = coordinator.Take(2);
      REQUIRE(decision);
      CHECK(decision->verdict == claim_verdict::kStoredAnswer);
      REQUIRE(decision->stored);
      CHECK(decision->stored->status == 201);
    }

    SECTION("a retry at another coordinator is told that it may have run") {
      claims_entry other(2, &log);
      MakeCoordinator(other, kStart);
      CHECK(AcquireAndSettle(other, 1, kStart) == claim_verdict::kAlreadyRun);
    }
  }

  SECTION("with at least the append interval between appends to a stream") {
    claims_entry paced(2, &log, claim_options());
    MakeCoordinator(paced, kStart);
    paced.Acquire(kKey, 1, kStart);
    paced.Settle(kStart);
    paced.Release(kKey, 1, kStart);
    CHECK(paced.appends().empty());
    paced.Tick(kStart + claim_options().append_interval);
    CHECK(paced.appends().size() == 1);
  }

  SECTION("with all pending claims in one append, and one append in flight") {
    for (std::uint64_t i = 2; i <= 400; ++i) {
      coordinator.Acquire(claim_key("other-" + std::to_string(i)), i, kStart);
    }
    CHECK(coordinator.appends().size() == kClaimPartitions);
    coordinator.Settle(kStart);
    CHECK(coordinator.core().stats(kStart).granted == 400);
    const std::uint64_t watermarks = kClaimPartitions;
    CHECK(coordinator.core().stats(kStart).appends ==
          watermarks + 2 * watermarks);
  }
}

// Guards against a request that runs twice: a view change makes two entries act
// as the coordinator of one key, and a caller's retry reaches the second while
// the first is still claiming. Both records are appended; only the first may
// run.
TEST_CASE("Two coordinators claim one key at the same time") {
  model_log log;
  claims_entry first(1, &log);
  claims_entry second(2, &log);
  MakeCoordinator(first, kStart);
  MakeCoordinator(second, kStart);
  first.Acquire(kKey, 1, kStart);
  second.Acquire(kKey, 1, kStart);
  second.CompleteAppend(kStart);
  first.CompleteAppend(kStart);
  first.Read(kStart);
  second.Read(kStart);

  SECTION("and the order of the log decides which one runs") {
    CHECK(VerdictOf(second, 1) == claim_verdict::kGranted);
    CHECK(VerdictOf(first, 1) == claim_verdict::kAlreadyRun);
  }

  SECTION("and the rejected one does not block the key once it is released") {
    const time_point later = kStart + seconds(1);
    first.Tick(later);
    first.Settle(later);
    second.Release(kKey, 1, later);
    second.Settle(later);
    first.Read(later);
    CHECK(AcquireAndSettle(first, 2, later) == claim_verdict::kGranted);
  }
}

// One coordinator has evicted an old claim and the other, whose clock is slow,
// has not. The first grants a new claim. The second must record that claim,
// although it read it behind the old one; otherwise it would run the key again.
TEST_CASE("Two coordinators evict an old claim at different times") {
  model_log log;
  claims_entry dead(1, &log);
  MakeCoordinator(dead, kStart);
  REQUIRE(AcquireAndSettle(dead, 1, kStart) == claim_verdict::kGranted);

  const duration lag = kSkew / 2;
  const time_point later = kStart + kRetention;
  claims_entry quick(2, &log);
  claims_entry slow(3, &log);
  MakeCoordinator(slow, later - lag);
  MakeCoordinator(quick, later);
  REQUIRE(AcquireAndSettle(quick, 1, later) == claim_verdict::kGranted);
  slow.Read(later - lag);
  slow.Tick(later);

  CHECK(AcquireAndSettle(slow, 1, later) == claim_verdict::kAlreadyRun);
}

// The platform's store accepted an append, but its answer was lost. The
// coordinator cannot know this and appends the same record again; the stream
// may contain it twice.
TEST_CASE("The answer to the append of a claim is lost") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  coordinator.Acquire(kKey, 1, kStart);
  const record_id first_id = coordinator.appends().at(0).records.at(0).id;
  const time_point later = kStart + milliseconds(500);

  SECTION("after it took effect: one grant, the duplicate has no effect") {
    coordinator.CompleteAppend(kStart, append_result::kUnknown);
    coordinator.Tick(later);
    REQUIRE_FALSE(coordinator.appends().empty());
    CHECK(coordinator.appends().at(0).records.at(0).id == first_id);
    coordinator.Settle(later);
    CHECK(VerdictOf(coordinator, 1) == claim_verdict::kGranted);
    CHECK(coordinator.decisions().empty());
    CHECK(coordinator.core().stats(later).claims_held == 1);
  }

  SECTION("and it had no effect: the copy is the claim, ahead of later ones") {
    const claim_key other = KeyInSamePartition(kKey);
    coordinator.Acquire(other, 2, kStart);
    coordinator.FailAppend(kStart);
    coordinator.Tick(later);
    const std::vector<record>& records = coordinator.appends().at(0).records;
    REQUIRE(records.size() == 2);
    CHECK(records[0].id == first_id);
    coordinator.Settle(later);
    CHECK(VerdictOf(coordinator, 1) == claim_verdict::kGranted);
    CHECK(VerdictOf(coordinator, 2) == claim_verdict::kGranted);
  }

  SECTION("and it takes effect after its release: the key stays unclaimed") {
    const append_records lost = coordinator.TakeAppend();
    coordinator.End(lost, append_result::kUnknown, 0, kStart);
    const time_point given_up = kStart + kClaimTimeout;
    coordinator.Tick(given_up);
    CHECK(VerdictOf(coordinator, 1) == claim_verdict::kLogUnavailable);
    coordinator.Settle(given_up);
    log.Append(kStream, lost.records);
    coordinator.Read(given_up);
    CHECK(coordinator.decisions().empty());

    claims_entry other(2, &log);
    MakeCoordinator(other, given_up);
    CHECK(AcquireAndSettle(other, 1, given_up) == claim_verdict::kGranted);
  }
}

// A coordinator is paused after its claim was appended. Its caller gave up;
// after the window the others have evicted the key and may run it. When the
// coordinator resumes and reads its own claim, a grant would run the key a
// second time.
TEST_CASE("A claimant is paused while its claim is appended") {
  model_log log;
  claims_entry frozen(1, &log);
  MakeCoordinator(frozen, kStart);
  frozen.Acquire(kKey, 1, kStart);
  frozen.CompleteAppend(kStart);

  SECTION("and resumes after the deadline: no grant, and a release") {
    const time_point later = kStart + seconds(31);
    frozen.Read(later);
    CHECK(VerdictOf(frozen, 1) == claim_verdict::kLogUnavailable);
    frozen.Settle(later);

    claims_entry other(2, &log);
    MakeCoordinator(other, later);
    CHECK(AcquireAndSettle(other, 1, later) == claim_verdict::kGranted);
  }

  SECTION(
      "and resumes before a late deadline: the claim timeout ends the claim") {
    const claim_key key("appeal-with-a-patient-caller");
    frozen.Acquire(key, 2, kStart, kWindow * 3);
    frozen.CompleteAppend(kStart);
    frozen.Read(kStart + kClaimTimeout);
    CHECK(VerdictOf(frozen, 2) == claim_verdict::kLogUnavailable);
  }

  SECTION("and its clock did not advance: newer records show that it is late") {
    claims_entry other(2, &log);
    const time_point later = kStart + kRetention;
    MakeCoordinator(other, later);
    REQUIRE(AcquireAndSettle(other, 1, later) == claim_verdict::kGranted);

    frozen.Read(kStart);
    CHECK(VerdictOf(frozen, 1) == claim_verdict::kLogUnavailable);
  }
}

// A claimant crashes. No other entry can tell whether it had dispatched the
// request, so the key stays claimed for the window: retries are answered with
// an unknown outcome, and the request is never run a second time.
TEST_CASE("A claimant crashes") {
  model_log log;
  {
    claims_entry killed(1, &log);
    MakeCoordinator(killed, kStart);
    killed.Acquire(kKey, 1, kStart);
    killed.CompleteAppend(kStart);

    SECTION("before it read its claim back") {}
    SECTION("after it was granted and dispatched") {
      killed.Read(kStart);
      CHECK(VerdictOf(killed, 1) == claim_verdict::kGranted);
    }
  }
  claims_entry next(2, &log);
  MakeCoordinator(next, kStart + seconds(5));
  CHECK(AcquireAndSettle(next, 1, kStart + seconds(5)) ==
        claim_verdict::kAlreadyRun);

  // The last retry within the window, by a clock that is ahead.
  const time_point last = kStart + kWindow + kSkew;
  CHECK(AcquireAndSettle(next, 2, last) == claim_verdict::kAlreadyRun);
  const time_point forgotten = kStart + kRetention + seconds(5);
  CHECK(AcquireAndSettle(next, 3, forgotten) == claim_verdict::kGranted);
}

// The log becomes unavailable. Callers are answered not-run at once, which must
// stay true if one of their claims is appended late; and a retry after the
// outage must be able to run.
TEST_CASE("The log becomes unavailable") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  coordinator.Acquire(kKey, 1, kStart);
  const append_records pending = coordinator.TakeAppend();
  coordinator.LogUnavailable(kStart);
  const auto decision = coordinator.Take(1);
  REQUIRE(decision);
  CHECK(decision->verdict == claim_verdict::kLogUnavailable);
  CHECK(decision->retry_after > duration::zero());

  SECTION(
      "while it is known to be unavailable, claims fail without an append") {
    coordinator.Acquire(claim_key("another"), 2, kStart);
    coordinator.Acquire(kKey, 3, kStart);
    CHECK(VerdictOf(coordinator, 2) == claim_verdict::kLogUnavailable);
    CHECK(VerdictOf(coordinator, 3) == claim_verdict::kLogUnavailable);
    CHECK(coordinator.appends().empty());
    CHECK(coordinator.core().stats(kStart).refusing == kClaimPartitions);
  }

  SECTION(
      "and the claim is appended late: never granted, released, retry runs") {
    const log_offset first = log.Append(kStream, pending.records);
    const time_point back = kStart + seconds(60);
    coordinator.End(pending, append_result::kAppended, first, back);
    coordinator.Read(back);
    CHECK_FALSE(coordinator.Take(1));
    coordinator.Tick(back);
    coordinator.Settle(back);
    CHECK(AcquireAndSettle(coordinator, 2, back) == claim_verdict::kGranted);
  }

  SECTION("and the append was refused: a retry runs after the outage") {
    const time_point back = kStart + seconds(60);
    coordinator.End(pending, append_result::kRejected, 0, back);
    coordinator.Tick(back + seconds(1));
    coordinator.Settle(back + seconds(1));
    CHECK(AcquireAndSettle(coordinator, 2, back + seconds(1)) ==
          claim_verdict::kGranted);
  }
}

// The log is slow: appends take seconds. A caller must not wait for it
// indefinitely, and later callers must not each wait as long again.
TEST_CASE("The log is slow") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  coordinator.Acquire(kKey, 1, kStart);
  coordinator.Tick(kStart + kClaimTimeout - milliseconds(1));
  CHECK_FALSE(coordinator.Take(1));
  const time_point late = kStart + kClaimTimeout;
  coordinator.Tick(late);
  CHECK(VerdictOf(coordinator, 1) == claim_verdict::kLogUnavailable);

  SECTION("the next caller is refused at once") {
    coordinator.Acquire(kKey, 2, late);
    CHECK(VerdictOf(coordinator, 2) == claim_verdict::kLogUnavailable);
  }

  SECTION("a watermark that is read back late does not end the refusal") {
    coordinator.Settle(late + kClaimTimeout);
    coordinator.Acquire(kKey, 2, late + kClaimTimeout);
    CHECK(VerdictOf(coordinator, 2) == claim_verdict::kLogUnavailable);
  }

  SECTION("a watermark that is read back in time does, and a retry runs once") {
    coordinator.Settle(late + seconds(1));
    const time_point again = late + kClaimTimeout;
    coordinator.Tick(again);
    coordinator.Settle(again + seconds(1));
    CHECK(AcquireAndSettle(coordinator, 2, again + seconds(1)) ==
          claim_verdict::kGranted);
    CHECK(AcquireAndSettle(coordinator, 3, again + seconds(1)) ==
          claim_verdict::kInProgress);
  }
}

// Retention removes records that the coordinator has not read, or a new
// coordinator finds a stream whose oldest records are missing. A claim may have
// been among them, so a grant could run its key twice. After a window all
// claims of that time are expired.
TEST_CASE("A claim stream was truncated by retention") {
  model_log log;
  claims_entry old_coordinator(1, &log);
  MakeCoordinator(old_coordinator, kStart);
  const claim_key& lost = kKey;
  REQUIRE(AcquireAndSettle(old_coordinator, 1, kStart) ==
          claim_verdict::kGranted);
  const time_point later = kStart + seconds(30);

  SECTION("before a new coordinator has read it: it waits for a window") {
    log.Cut(kStream, log.End(kStream) + 1);
    claims_entry coordinator(2, &log);
    MakeCoordinator(coordinator, later);
    coordinator.Acquire(lost, 1, later);
    const auto decision = coordinator.Take(1);
    REQUIRE(decision);
    CHECK(decision->verdict == claim_verdict::kLogUnavailable);
    CHECK(decision->retry_after == kRetention);

    const time_point end = later + kRetention;
    CHECK(AcquireAndSettle(coordinator, 2, end - seconds(1)) ==
          claim_verdict::kLogUnavailable);
    coordinator.Tick(end);
    coordinator.Settle(end);
    CHECK(AcquireAndSettle(coordinator, 3, end) == claim_verdict::kGranted);
  }

  SECTION("ahead of a reader that fell behind: its claims are rejected") {
    claims_entry coordinator(2, &log);
    MakeCoordinator(coordinator, kStart);
    old_coordinator.Release(lost, 1, later);
    REQUIRE(AcquireAndSettle(old_coordinator, 2, later) ==
            claim_verdict::kGranted);
    old_coordinator.Release(lost, 2, later);
    old_coordinator.Settle(later);
    coordinator.Read(later);
    coordinator.Acquire(lost, 3, later);
    REQUIRE(AcquireAndSettle(old_coordinator, 4, later) ==
            claim_verdict::kGranted);
    coordinator.CompleteAppend(later);
    log.Cut(kStream, log.End(kStream));
    coordinator.Read(later);
    CHECK(VerdictOf(coordinator, 3) == claim_verdict::kLogUnavailable);
    CHECK(coordinator.core().stats(later).unreadable_gaps == 1);
  }

  SECTION("ahead of a reader that stops there: it continues after the gap") {
    claims_entry coordinator(2, &log);
    MakeCoordinator(coordinator, later);
    log_read cut;
    cut.stream = kStream;
    cut.begin = 500;
    cut.end = 510;
    coordinator.ApplyRead(cut, later);
    CHECK(coordinator.followed().at(kStream) == 499);
    CHECK(coordinator.core().stats(later).refusing == 1);
  }

  SECTION("outside of the window: the watermarks of an idle stream show it") {
    time_point now = kStart;
    log_offset kept_for_two_windows = 0;
    for (int half_windows = 1; half_windows <= 5; ++half_windows) {
      now += kWindow / 2;
      old_coordinator.Tick(now);
      old_coordinator.Settle(now);
      if (half_windows == 1) {
        kept_for_two_windows = log.End(kStream) + 1;
      }
    }
    log.Cut(kStream, kept_for_two_windows);
    claims_entry coordinator(2, &log);
    MakeCoordinator(coordinator, now);
    CHECK(AcquireAndSettle(coordinator, 1, now) == claim_verdict::kGranted);
  }

  SECTION("behind an old record that was appended late: grants stay blocked") {
    const time_point now = kStart + kRetention;
    record late;
    late.body = claim_request{claim_key("x"), old_coordinator.self(),
                              old_coordinator.Request(7), kStart};
    old_coordinator.Tick(now);
    REQUIRE(AcquireAndSettle(old_coordinator, 2, now) ==
            claim_verdict::kGranted);
    log.Append(kStream, {late});
    log.Cut(kStream, log.End(kStream));
    claims_entry coordinator(2, &log);
    MakeCoordinator(coordinator, now);
    CHECK(AcquireAndSettle(coordinator, 1, now) ==
          claim_verdict::kLogUnavailable);
  }
}

TEST_CASE("Grants are blocked after the log was reset") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  REQUIRE(AcquireAndSettle(coordinator, 1, kStart) == claim_verdict::kGranted);
  log_read shorter;
  shorter.stream = kStream;
  coordinator.ApplyRead(shorter, kStart);
  coordinator.Acquire(claim_key(kKey.value()), 2, kStart);
  CHECK(VerdictOf(coordinator, 2) == claim_verdict::kInProgress);
  CHECK(coordinator.core().stats(kStart).unreadable_gaps == 1);
  CHECK(coordinator.core().stats(kStart).refusing == 1);

  SECTION("and an old watermark behind a gap does not unblock them") {
    const time_point old = kStart - kRetention;
    record watermark;
    watermark.body = claim_request{
        claim_key(), coordinator.self(), {coordinator.self(), 1000}, old};
    log_read cut;
    cut.stream = kStream;
    cut.begin = cut.end = 500;
    cut.entries.push_back({500, watermark});
    coordinator.ApplyRead(cut, kStart);
    CHECK(coordinator.core().stats(kStart).refusing == 1);
  }

  // Offsets restart: a watermark with an old offset would cover records that
  // its writer never read.
  SECTION("and a watermark that is written meanwhile covers no record") {
    const time_point later = kStart + kWindow / 2;
    coordinator.Tick(later);
    coordinator.CompleteAppendsExcept(kStream, later);
    const append_records append = coordinator.TakeAppend();
    REQUIRE(append.records.size() == 1);
    const auto& watermark = std::get<claim_request>(append.records[0].body);
    CHECK(watermark.key.empty());
    CHECK(watermark.request.sequence == 0);
  }

  SECTION("but after a window all lost claims are expired") {
    CHECK(coordinator.core().stats(kStart + kRetention).refusing == 0);
  }
}

TEST_CASE("Reads that overlap or skip records are not a truncation") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  REQUIRE(AcquireAndSettle(coordinator, 1, kStart) == claim_verdict::kGranted);

  SECTION("records that were read before have no effect") {
    coordinator.ApplyRead(log.Read(kStream, 0), kStart);
    CHECK(coordinator.decisions().empty());
  }

  SECTION("records that were skipped are read again") {
    const log_offset last_read = log.End(kStream);
    coordinator.Release(kKey, 1, kStart);
    coordinator.CompleteAppend(kStart);
    coordinator.Acquire(kKey, 2, kStart);
    coordinator.CompleteAppend(kStart);
    coordinator.ApplyRead(log.Read(kStream, last_read + 1), kStart);
    CHECK_FALSE(coordinator.Take(2));
    CHECK(coordinator.followed().at(kStream) == last_read);
    coordinator.Read(kStart);
    CHECK(VerdictOf(coordinator, 2) == claim_verdict::kGranted);
  }
  CHECK(coordinator.core().stats(kStart).unreadable_gaps == 0);
}

// The view changes while a claim is pending or granted: another entry becomes
// the coordinator. The records of the old coordinator stay valid, and only it
// may run the request.
TEST_CASE("The view changes between claim and dispatch") {
  model_log log;
  claims_entry old_coordinator(1, &log);
  claims_entry new_coordinator(2, &log);
  MakeCoordinator(old_coordinator, kStart);
  old_coordinator.Acquire(kKey, 1, kStart);

  SECTION("before the claim was read back: the old coordinator completes it") {
    old_coordinator.SetCoordinator(false, kStart);
    MakeCoordinator(new_coordinator, kStart);
    old_coordinator.Settle(kStart);
    CHECK(VerdictOf(old_coordinator, 1) == claim_verdict::kGranted);
    CHECK(AcquireAndSettle(new_coordinator, 1, kStart) ==
          claim_verdict::kAlreadyRun);
    CHECK(old_coordinator.followed().empty());
  }

  SECTION("before the new coordinator has read the stream: it writes nothing") {
    old_coordinator.CompleteAppend(kStart);
    new_coordinator.SetCoordinator(true, kStart);
    new_coordinator.Acquire(kKey, 1, kStart);
    CHECK(new_coordinator.appends().empty());
    new_coordinator.Read(kStart);
    CHECK(VerdictOf(new_coordinator, 1) == claim_verdict::kAlreadyRun);
    CHECK(new_coordinator.appends().empty());
  }

  SECTION("after the grant: the old coordinator may still release it") {
    old_coordinator.Settle(kStart);
    REQUIRE(VerdictOf(old_coordinator, 1) == claim_verdict::kGranted);
    old_coordinator.SetCoordinator(false, kStart);
    MakeCoordinator(new_coordinator, kStart);
    const time_point later = kStart + seconds(1);
    CHECK(AcquireAndSettle(new_coordinator, 1, later) ==
          claim_verdict::kAlreadyRun);
    old_coordinator.Release(kKey, 1, later);
    old_coordinator.Settle(later);
    new_coordinator.Read(later);
    CHECK(AcquireAndSettle(new_coordinator, 2, later) ==
          claim_verdict::kGranted);
  }

  SECTION("an entry that is not the coordinator refuses") {
    CHECK(AcquireAndSettle(new_coordinator, 1, kStart) ==
          claim_verdict::kLogUnavailable);
  }
}

// A granted request got no slot before its deadline. Its caller is answered
// not-run; because of the release a retry can run, once.
TEST_CASE("A granted claim is released") {
  model_log log;
  claims_entry coordinator(1, &log);
  MakeCoordinator(coordinator, kStart);
  REQUIRE(AcquireAndSettle(coordinator, 1, kStart) == claim_verdict::kGranted);
  const time_point later = kStart + seconds(1);

  SECTION("and a retry runs at once, but not a third request") {
    coordinator.Release(kKey, 1, later);
    CHECK(AcquireAndSettle(coordinator, 2, later) == claim_verdict::kGranted);
    CHECK(AcquireAndSettle(coordinator, 3, later) ==
          claim_verdict::kInProgress);
  }

  SECTION("twice: the second release does not end the retry's claim") {
    coordinator.Release(kKey, 1, later);
    coordinator.Settle(later);
    REQUIRE(AcquireAndSettle(coordinator, 2, later + seconds(1)) ==
            claim_verdict::kGranted);
    coordinator.Release(kKey, 1, later + seconds(2));
    coordinator.Settle(later + seconds(2));
    CHECK(AcquireAndSettle(coordinator, 3, later + seconds(2)) ==
          claim_verdict::kInProgress);
  }

  SECTION("after it was completed: ignored, the key has run") {
    coordinator.Finish(kKey, 1, later);
    coordinator.Release(kKey, 1, later);
    CHECK(coordinator.appends().empty());
  }

  SECTION("by another entry: ignored by all") {
    record foreign;
    foreign.body = release_claim{kKey, static_cast<incarnation>(2),
                                 coordinator.Request(1)};
    log.Append(kStream, {foreign});
    foreign.body =
        release_claim{kKey, coordinator.self(), coordinator.Request(9)};
    log.Append(kStream, {foreign});
    claims_entry other(2, &log);
    MakeCoordinator(other, later);
    CHECK(AcquireAndSettle(other, 1, later) == claim_verdict::kAlreadyRun);
  }
}

TEST_CASE("A key with a timestamp is refused once it is too old") {
  model_log log;
  claims_entry coordinator(1, &log);
  const time_point made{milliseconds(0x018F00000000)};
  MakeCoordinator(coordinator, made);
  const claim_key key("casework/018f0000-0000-7abc-8def-0123456789ab");
  coordinator.Acquire(key, 1, made + kWindow - milliseconds(1));
  coordinator.Settle(made + kWindow - milliseconds(1));
  CHECK(VerdictOf(coordinator, 1) == claim_verdict::kGranted);
  coordinator.Acquire(key, 2, made + kWindow);
  CHECK(VerdictOf(coordinator, 2) == claim_verdict::kTooOld);

  const claim_key random("casework/018f0000-0000-4abc-8def-0123456789ab");
  coordinator.Acquire(random, 3, made + kWindow);
  coordinator.Settle(made + kWindow);
  CHECK(VerdictOf(coordinator, 3) == claim_verdict::kGranted);
}

TEST_CASE("The memory of the claims is bounded") {
  model_log log;
  claim_options options = UnthrottledOptions();
  options.max_claims = 10;
  options.max_stored_bytes = 1000;
  claims_entry coordinator(1, &log, options);
  MakeCoordinator(coordinator, kStart);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    const claim_key key("k" + std::to_string(i));
    coordinator.Acquire(key, i, kStart);
    coordinator.Settle(kStart);
    coordinator.Finish(key, i, kStart);
  }
  coordinator.Tick(kStart);
  const claim_stats full = coordinator.core().stats(kStart);
  CHECK(full.claims_held == 10);
  CHECK(full.answer_bytes <= options.max_stored_bytes);
  CHECK(full.answer_bytes > 0);

  SECTION("claims: new ones are refused, none is evicted early") {
    CHECK(AcquireAndSettle(coordinator, 20, kStart) ==
          claim_verdict::kLogUnavailable);
    coordinator.Acquire(claim_key("k1"), 21, kStart);
    CHECK(VerdictOf(coordinator, 21) == claim_verdict::kAlreadyRun);
  }

  SECTION("and released after the window") {
    const time_point later = kStart + kRetention;
    coordinator.Tick(later);
    CHECK(coordinator.core().stats(later).claims_held == 0);
    CHECK(coordinator.core().stats(later).answer_bytes == 0);
  }
}

TEST_CASE("Each partition has one coordinator") {
  fleet_state state;
  for (std::uint64_t i = 1; i <= 9; ++i) {
    const auto who = static_cast<incarnation>(i * 1000003);
    state.members[who].who = who;
  }
  const auto gone = static_cast<incarnation>(3 * 1000003);

  SECTION("and only those of a member that leaves get another one") {
    for (std::uint32_t partition = 0; partition < kClaimPartitions;
         ++partition) {
      const incarnation before = CoordinatorOf(partition, state, {});
      const incarnation after = CoordinatorOf(partition, state, {gone});
      CHECK(after != gone);
      CHECK((before == gone || before == after));
    }
  }

  SECTION("and none if there is no member") {
    CHECK(CoordinatorOf(0, {}, {}) == incarnation::kNone);
  }
}

}  // namespace
}  // namespace plantainhead::core
