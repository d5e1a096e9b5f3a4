#include <catch2/catch.hpp>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

/// Returns a key whose first coordinator is `coordinator`.
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

    SECTION("whose answer is stored for a retry") {
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

    SECTION("and one that was certainly not sent releases the claim") {
      harness.Fail(call, endpoint_failure::kNotSent);
      CHECK(harness.Answer().result == outcome::kNotRun);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kRelease);
    }

    SECTION("and one that may have run keeps the claim") {
      harness.Fail(call, endpoint_failure::kMaybeSent);
      CHECK(harness.Answer().result == outcome::kUnknown);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kComplete);
    }
  }

  SECTION("or refused with the reason for the verdict") {
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

  // The caller's deadline passes while the log is slow, and the claim is
  // granted later. Without the release a retry would be refused although
  // nothing ran.
  SECTION("and a grant after the deadline is released") {
    harness.Tick(seconds(3));
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().reason == answer_reason::kDeadline);
    CHECK(harness.core.TakeClaimCommands().empty());
    harness.Decide(command.request, claim_verdict::kGranted);
    CHECK(harness.Calls().empty());
    CHECK(OnlyClaimCommand(harness).operation == claim_operation::kRelease);
  }
}

TEST_CASE("A request with a key goes to the coordinator of the key") {
  request_harness harness;
  harness.AddMember(kPeer, "goyang");
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();

  SECTION("on another entry") {
    harness.Arrive(harness.WithKey(KeyCoordinatedBy(harness, kPeer)));
    const auto sent = Sent<forward_request>(harness.out, kPeer);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].stage == forward_stage::kClaim);

    // The coordinator may have claimed the key and dispatched the request
    // before the connection was lost. The log shows this: the next coordinator
    // is refused if the key was claimed.
    SECTION(
        "whose connection is lost, and the next coordinator claims the key") {
      harness.Disconnect(kPeer);
      const claim_command command = OnlyClaimCommand(harness);
      CHECK(command.operation == claim_operation::kAcquire);

      SECTION("whose refusal by the log is not reported as not-run") {
        harness.Decide(command.request, claim_verdict::kLogUnavailable);
        CHECK(harness.Answer().result == outcome::kUnknown);
      }
    }

    SECTION("which is stopping, and the next coordinator claims the key") {
      response stopping;
      stopping.result = outcome::kNotRun;
      stopping.reason = answer_reason::kStopping;
      harness.PeerReply(kPeer, sent[0].id, stopping);
      CHECK(OnlyClaimCommand(harness).operation == claim_operation::kAcquire);
    }
  }

  SECTION("which is this entry, for a request of another entry") {
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

  SECTION("and a duplicate frame is claimed once") {
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
