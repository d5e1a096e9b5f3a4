#include "plantainhead/core/request_core.h"

#include <catch2/catch.hpp>

#include "core/request_harness.h"

namespace plantainhead::core {
namespace {

TEST_CASE("A caller's request is served by an endpoint of this entry") {
  request_harness world;
  world.AddEndpoint("runner-1", "suwon");
  world.Rebuild();
  const std::uint64_t sequence = world.Arrive(world.Envelope());
  REQUIRE(world.Calls().size() == 1);
  const call_endpoint call = world.Calls()[0];
  CHECK(call.vm == vm_id("runner-1"));

  SECTION("whose whole answer goes to the caller") {
    world.Reply(call.call, 201);

    const auto answers = All<answer_caller>(world.out);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].sequence == sequence);
    CHECK(answers[0].answer.status == 201);
    CHECK(answers[0].answer.result == outcome::kDone);
    CHECK(*answers[0].answer.body == "whole answer");
    CHECK(world.core.Idle());

    SECTION("and a second answer to the same call meets no one") {
      world.Reply(call.call, 500);
      CHECK(world.out.actions.empty());
    }
  }
}

TEST_CASE("A caller's request is served by another entry's endpoint") {
  request_harness world;
  world.AddMember(kPeer, "goyang");
  world.AddEndpoint("runner-1", "goyang");
  world.Rebuild();
  world.Arrive(world.Envelope());

  const auto forwards = Sent<forward_request>(world.out, kPeer);
  REQUIRE(forwards.size() == 1);
  CHECK(forwards[0].stage == forward_stage::kDispatch);
  CHECK(forwards[0].id.entry == kSelf);
  CHECK(world.Calls().empty());

  response done;
  done.status = 200;
  done.result = outcome::kDone;
  world.PeerReply(kPeer, forwards[0].id, done);
  CHECK(world.Answer().result == outcome::kDone);
  CHECK(world.core.Idle());
}

TEST_CASE("Another entry's request is served by an endpoint of this entry") {
  request_harness world;
  world.AddMember(kPeer, "goyang");
  world.AddEndpoint("runner-1", "suwon");
  world.Rebuild();
  const request_id id = world.Receive(kPeer, world.Envelope());
  REQUIRE(world.Calls().size() == 1);

  world.Reply(world.Calls()[0].call);
  const auto replies = Sent<forward_reply>(world.out, kPeer);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].id == id);
  CHECK(replies[0].answer.result == outcome::kDone);
  REQUIRE(replies[0].load.size() == 1);
  CHECK(replies[0].load[0].slots == 8);
}

}  // namespace
}  // namespace plantainhead::core
