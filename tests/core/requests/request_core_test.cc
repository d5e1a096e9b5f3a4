#include "plantainhead/core/requests/request_core.h"

#include <catch2/catch.hpp>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

TEST_CASE("A caller's request is served by an endpoint of this entry") {
  request_harness harness;
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();
  const std::uint64_t sequence = harness.Arrive(harness.Envelope());
  REQUIRE(harness.Calls().size() == 1);
  const call_endpoint call = harness.Calls()[0];
  CHECK(call.vm == vm_id("runner-1"));

  SECTION("whose complete answer goes to the caller") {
    harness.Reply(call.call, 201);

    const auto answers = All<answer_caller>(harness.out);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].sequence == sequence);
    CHECK(answers[0].answer.status == 201);
    CHECK(answers[0].answer.result == outcome::kDone);
    CHECK(*answers[0].answer.body == "whole answer");
    CHECK(harness.core.Idle());

    SECTION("and a second answer to the same call is ignored") {
      harness.Reply(call.call, 500);
      CHECK(harness.out.actions.empty());
    }
  }
}

TEST_CASE("A caller's request is served by another entry's endpoint") {
  request_harness harness;
  harness.AddMember(kPeer, "goyang");
  harness.AddEndpoint("runner-1", "goyang");
  harness.Rebuild();
  harness.Arrive(harness.Envelope());

  const auto forwards = Sent<forward_request>(harness.out, kPeer);
  REQUIRE(forwards.size() == 1);
  CHECK(forwards[0].stage == forward_stage::kDispatch);
  CHECK(forwards[0].id.entry == kSelf);
  CHECK(harness.Calls().empty());

  response done;
  done.status = 200;
  done.result = outcome::kDone;
  harness.PeerReply(kPeer, forwards[0].id, done);
  CHECK(harness.Answer().result == outcome::kDone);
  CHECK(harness.core.Idle());
}

TEST_CASE("Another entry's request is served by an endpoint of this entry") {
  request_harness harness;
  harness.AddMember(kPeer, "goyang");
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();
  const request_id id = harness.Receive(kPeer, harness.Envelope());
  REQUIRE(harness.Calls().size() == 1);

  harness.Reply(harness.Calls()[0].call);
  const auto replies = Sent<forward_reply>(harness.out, kPeer);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].id == id);
  CHECK(replies[0].answer.result == outcome::kDone);
  REQUIRE(replies[0].load.size() == 1);
  CHECK(replies[0].load[0].slots == 8);
}

TEST_CASE("A request that cannot be accepted is answered at once") {
  request_harness harness;
  harness.AddEndpoint("runner-1", "suwon");
  request_envelope envelope = harness.Envelope();
  int status = 0;
  answer_reason reason = answer_reason::kNone;

  SECTION("because its service is unknown") {
    envelope.service = service_name("nowhere");
    status = 404;
    reason = answer_reason::kUnknownService;
  }
  SECTION("because its class is unknown: the answer lists the known ones") {
    envelope.work = class_name("other");
    status = 400;
    reason = answer_reason::kUnknownClass;
  }
  SECTION("because it names none of several classes") {
    envelope.work = class_name();
    status = 400;
    reason = answer_reason::kUnknownClass;
  }
  SECTION("because the entry is not ready") {
    harness.ready = false;
    status = 503;
    reason = answer_reason::kNotReady;
  }
  SECTION("because the service has no endpoint") {
    harness.listings.clear();
    status = 503;
    reason = answer_reason::kNoEndpoint;
  }

  harness.Rebuild();
  harness.Arrive(envelope);
  const response answer = harness.Answer();
  CHECK(answer.status == status);
  CHECK(answer.reason == reason);
  CHECK(answer.result == outcome::kNotRun);
  CHECK(answer.retry_after.has_value());
  if (reason == answer_reason::kUnknownClass) {
    CHECK(answer.detail.find("urgent, archive") != std::string::npos);
  }
}

TEST_CASE("A request may leave out the only class of its service") {
  request_harness harness;
  harness.fleet.targets.classes.pop_back();
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();
  request_envelope envelope = harness.Envelope();
  envelope.work = class_name();
  harness.Arrive(envelope);
  REQUIRE(harness.Calls().size() == 1);
  CHECK(harness.Calls()[0].envelope.work == kUrgent);
}

TEST_CASE("Requests without a free slot are queued, or refused if too late") {
  request_harness harness;
  harness.AddEndpoint("runner-1", "suwon", 2);
  harness.Rebuild();
  std::size_t calls = 0;
  std::size_t refused = 0;
  for (int i = 0; i < 2000; ++i) {
    harness.Arrive(harness.Envelope());
    calls += harness.Calls().size();
    for (const answer_caller& answer : All<answer_caller>(harness.out)) {
      refused += 1;
      CHECK(answer.answer.status == 429);
      CHECK(answer.answer.result == outcome::kNotRun);
      CHECK(answer.answer.retry_after.has_value());
    }
  }
  CHECK(calls == 2);
  CHECK(refused > 1000);
  const std::vector<service_load> load =
      harness.core.Load(harness.Context(), harness.now);
  REQUIRE(load.size() == 1);
  CHECK(load[0].busy == 2);
  CHECK(load[0].queued == 2000 - 2 - refused);
}

}  // namespace
}  // namespace plantainhead::core
