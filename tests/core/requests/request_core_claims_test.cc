#include <catch2/catch.hpp>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

/// Returns a key whose first home is `coordinator`.
std::string KeyCoordinatedBy(const request_harness& harness,
                             incarnation coordinator) {
  for (int i = 0;; ++i) {
    const std::string key = "appeal-" + std::to_string(i);
    if (harness.table.CoordinatorsOf(PartitionOf(claim_key(key))).at(0) ==
        coordinator) {
      return key;
    }
  }
}

claim_command OnlyClaimCommand(request_harness& harness) {
  const std::vector<claim_command> claim_commands =
      harness.core.TakeClaimCommands();
  REQUIRE(claim_commands.size() == 1);
  return claim_commands[0];
}

TEST_CASE("A request with a key is claimed before it is sent") {
  request_harness harness;
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();
  harness.Arrive(harness.WithKey("appeal"));
  CHECK(harness.out.actions.empty());
  const claim_command command = OnlyClaimCommand(harness);
  CHECK(command.operation == claim_operation::kAcquire);

  SECTION("and sent once the claim is granted") {
    harness.Decide(command.request, claim_verdict::kGranted);
    REQUIRE(harness.Calls().size() == 1);
    const call_id call = harness.Calls()[0].call;

    SECTION("whose answer is kept for a retry") {
      harness.Reply(call);
      CHECK(harness.Answer().result == outcome::kDone);
      const claim_command finished = OnlyClaimCommand(harness);
      CHECK(finished.operation == claim_operation::kComplete);
      CHECK(finished.answer->result == outcome::kDone);
    }

    SECTION("and a second grant does nothing") {
      harness.Decide(command.request, claim_verdict::kGranted);
      CHECK(harness.out.actions.empty());
    }

    SECTION("and a surely unsent one gives the claim back") {
      harness.Fail(call, endpoint_failure::kNotSent);
      CHECK(harness.Answer().result == outcome::kNotRun);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kRelease);
    }

    SECTION("and one that may have run keeps it") {
      harness.Fail(call, endpoint_failure::kMaybeSent);
      CHECK(harness.Answer().result == outcome::kUnknown);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kComplete);
    }
  }

  SECTION("or refused with what is known of the key") {
    struct expectation {
      claim_verdict verdict;
      outcome result;
      answer_reason reason;
    };
    const auto expected =
        GENERATE(expectation{claim_verdict::kInProgress, outcome::kUnknown,
                             answer_reason::kKeyInProgress},
                 expectation{claim_verdict::kAlreadyRun, outcome::kUnknown,
                             answer_reason::kKeyAlreadyRun},
                 expectation{claim_verdict::kTooOld, outcome::kUnknown,
                             answer_reason::kKeyTooOld},
                 expectation{claim_verdict::kLogUnavailable, outcome::kNotRun,
                             answer_reason::kLogUnavailable});
    harness.Decide(command.request, expected.verdict);
    CHECK(harness.Answer().result == expected.result);
    CHECK(harness.Answer().reason == expected.reason);
    CHECK(harness.core.TakeClaimCommands().empty());
  }

  SECTION("or answered with the stored answer") {
    response stored;
    stored.status = 201;
    stored.result = outcome::kDone;
    harness.out = {};
    harness.core.OnClaimDecision(
        {command.request, claim_verdict::kStoredAnswer, stored, {}},
        harness.Context(), harness.now, harness.out);
    CHECK(harness.Answer().status == 201);
    CHECK(harness.Calls().empty());
  }

  // The caller's time is up while the log is slow; the claim is granted later.
  // Without the release its retry would be refused although nothing ran.
  SECTION("and a grant that comes after the deadline is released") {
    harness.Tick(seconds(3));
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().reason == answer_reason::kDeadline);
    CHECK(harness.core.TakeClaimCommands().empty());
    harness.Decide(command.request, claim_verdict::kGranted);
    CHECK(harness.Calls().empty());
    CHECK(OnlyClaimCommand(harness).operation == claim_operation::kRelease);
  }
}

TEST_CASE("A request with a key goes to the key's home") {
  request_harness harness;
  harness.AddMember(kPeer, "goyang");
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();

  SECTION("on another entry, which answers") {
    harness.Arrive(harness.WithKey(KeyCoordinatedBy(harness, kPeer)));
    const auto sent = Sent<forward_request>(harness.out, kPeer);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].stage == forward_stage::kClaim);

    // The home may have claimed and sent it before it was lost. The log tells:
    // the next home is refused if the key was claimed.
    SECTION("or is lost, and the next home claims it") {
      harness.Disconnect(kPeer);
      const claim_command command = OnlyClaimCommand(harness);
      CHECK(command.operation == claim_operation::kAcquire);

      SECTION("whose refusal by the log isn't not-run") {
        harness.Decide(command.request, claim_verdict::kLogUnavailable);
        CHECK(harness.Answer().result == outcome::kUnknown);
      }
    }

    SECTION("or is stopping, and the next home claims it") {
      response stopping;
      stopping.result = outcome::kNotRun;
      stopping.reason = answer_reason::kStopping;
      harness.PeerReply(kPeer, sent[0].id, stopping);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kAcquire);
    }
  }

  SECTION("which is this entry, for a request of another") {
    const request_id id = harness.Receive(
        kPeer, harness.WithKey(KeyCoordinatedBy(harness, kSelf)),
        forward_stage::kClaim);
    const claim_command command = OnlyClaimCommand(harness);
    harness.Decide(command.request, claim_verdict::kGranted);
    REQUIRE(harness.Calls().size() == 1);
    harness.Reply(harness.Calls()[0].call);
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == id);
  }

  SECTION("and a frame that comes twice is claimed once") {
    const request_envelope envelope =
        harness.WithKey(KeyCoordinatedBy(harness, kSelf));
    harness.Receive(kPeer, envelope, forward_stage::kClaim);
    CHECK(harness.core.TakeClaimCommands().size() == 1);
    harness.last_peer_forward -= 1;
    harness.Receive(kPeer, envelope, forward_stage::kClaim);
    CHECK(harness.core.TakeClaimCommands().empty());
  }
}

}  // namespace
}  // namespace plantainhead::core
