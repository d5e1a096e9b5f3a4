#include <catch2/catch.hpp>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

/// Returns a key whose first home is `home`.
std::string KeyOf(const request_harness& world, incarnation home) {
  for (int i = 0;; ++i) {
    const std::string key = "appeal-" + std::to_string(i);
    if (world.table.HomesOf(PartitionOf(claim_key(key))).at(0) == home) {
      return key;
    }
  }
}

claim_question OnlyQuestion(request_harness& world) {
  const std::vector<claim_question> questions = world.core.TakeClaimQuestions();
  REQUIRE(questions.size() == 1);
  return questions[0];
}

TEST_CASE("A request with a key is claimed before it is sent") {
  request_harness world;
  world.AddEndpoint("runner-1", "suwon");
  world.Rebuild();
  world.Arrive(world.WithKey("appeal"));
  CHECK(world.out.actions.empty());
  const claim_question asked = OnlyQuestion(world);
  CHECK(asked.need == claim_need::kAsk);

  SECTION("and sent once the claim is granted") {
    world.Decide(asked.request, claim_verdict::kGranted);
    REQUIRE(world.Calls().size() == 1);
    const call_id call = world.Calls()[0].call;

    SECTION("whose answer is kept for a retry") {
      world.Reply(call);
      CHECK(world.Answer().result == outcome::kDone);
      const claim_question finished = OnlyQuestion(world);
      CHECK(finished.need == claim_need::kFinished);
      CHECK(finished.answer->result == outcome::kDone);
    }

    SECTION("and a second grant does nothing") {
      world.Decide(asked.request, claim_verdict::kGranted);
      CHECK(world.out.actions.empty());
    }

    SECTION("and a surely unsent one gives the claim back") {
      world.Fail(call, endpoint_failure::kNotSent);
      CHECK(world.Answer().result == outcome::kNotRun);
      CHECK(OnlyQuestion(world).need == claim_need::kRelease);
    }

    SECTION("and one that may have run keeps it") {
      world.Fail(call, endpoint_failure::kMaybeSent);
      CHECK(world.Answer().result == outcome::kUnknown);
      CHECK(OnlyQuestion(world).need == claim_need::kFinished);
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
    world.Decide(asked.request, expected.verdict);
    CHECK(world.Answer().result == expected.result);
    CHECK(world.Answer().reason == expected.reason);
    CHECK(world.core.TakeClaimQuestions().empty());
  }

  SECTION("or answered with the stored answer") {
    response stored;
    stored.status = 201;
    stored.result = outcome::kDone;
    world.out = {};
    world.core.OnClaimDecision(
        {asked.request, claim_verdict::kStoredAnswer, stored, {}},
        world.Context(), world.now, world.out);
    CHECK(world.Answer().status == 201);
    CHECK(world.Calls().empty());
  }

  // The caller's time is up while the log is slow; the claim is granted later.
  // Without the release its retry would be refused although nothing ran.
  SECTION("and a grant that comes after the deadline is released") {
    world.Tick(seconds(3));
    CHECK(world.Answer().result == outcome::kNotRun);
    CHECK(world.Answer().reason == answer_reason::kDeadline);
    CHECK(world.core.TakeClaimQuestions().empty());
    world.Decide(asked.request, claim_verdict::kGranted);
    CHECK(world.Calls().empty());
    CHECK(OnlyQuestion(world).need == claim_need::kRelease);
  }
}

TEST_CASE("A request with a key goes to the key's home") {
  request_harness world;
  world.AddMember(kPeer, "goyang");
  world.AddEndpoint("runner-1", "suwon");
  world.Rebuild();

  SECTION("on another entry, which answers") {
    world.Arrive(world.WithKey(KeyOf(world, kPeer)));
    const auto sent = Sent<forward_request>(world.out, kPeer);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].stage == forward_stage::kClaim);

    // The home may have claimed and sent it before it was lost. The log tells:
    // the next home is refused if the key was claimed.
    SECTION("or is lost, and the next home claims it") {
      world.Disconnect(kPeer);
      const claim_question asked = OnlyQuestion(world);
      CHECK(asked.need == claim_need::kAsk);

      SECTION("whose refusal by the log isn't not-run") {
        world.Decide(asked.request, claim_verdict::kLogUnavailable);
        CHECK(world.Answer().result == outcome::kUnknown);
      }
    }

    SECTION("or is stopping, and the next home claims it") {
      response stopping;
      stopping.result = outcome::kNotRun;
      stopping.reason = answer_reason::kStopping;
      world.PeerReply(kPeer, sent[0].id, stopping);
      CHECK(OnlyQuestion(world).need == claim_need::kAsk);
    }
  }

  SECTION("which is this entry, for a request of another") {
    const request_id id = world.Receive(
        kPeer, world.WithKey(KeyOf(world, kSelf)), forward_stage::kClaim);
    const claim_question asked = OnlyQuestion(world);
    world.Decide(asked.request, claim_verdict::kGranted);
    REQUIRE(world.Calls().size() == 1);
    world.Reply(world.Calls()[0].call);
    const auto replies = Sent<forward_reply>(world.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == id);
  }

  SECTION("and a frame that comes twice is claimed once") {
    const request_envelope envelope = world.WithKey(KeyOf(world, kSelf));
    world.Receive(kPeer, envelope, forward_stage::kClaim);
    CHECK(world.core.TakeClaimQuestions().size() == 1);
    world.last_peer_forward -= 1;
    world.Receive(kPeer, envelope, forward_stage::kClaim);
    CHECK(world.core.TakeClaimQuestions().empty());
  }
}

}  // namespace
}  // namespace plantainhead::core
