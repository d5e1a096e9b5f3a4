#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

request_harness MakeWorld() {
  request_harness world;
  world.AddMember(kPeer, "goyang");
  world.AddMember(kOther, "seongnam");
  return world;
}

// The endpoint's connection breaks after bytes left. The caller of a request
// that isn't idempotent is told unknown at once: running it again might log a
// second appeal.
TEST_CASE("An endpoint is lost in the middle of a call") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon");
  world.AddEndpoint("runner-2", "suwon");
  world.Rebuild();

  SECTION("by a request that isn't idempotent, which is never sent again") {
    world.Arrive(world.Envelope(false));
    world.Fail(world.Calls()[0].call, endpoint_failure::kMaybeSent);
    CHECK(world.Calls().empty());
    CHECK(world.Answer().result == outcome::kUnknown);
    CHECK(world.Answer().reason == answer_reason::kEndpointLost);
    CHECK(world.Answer().status == 502);
  }

  SECTION("by an idempotent one, which goes to another endpoint") {
    world.Arrive(world.Envelope());
    const call_endpoint first = world.Calls()[0];
    world.Fail(first.call, endpoint_failure::kMaybeSent);
    REQUIRE(world.Calls().size() == 1);
    CHECK(world.Calls()[0].vm != first.vm);

    SECTION("and whose refusal there doesn't make it not-run") {
      world.Fail(world.Calls()[0].call, endpoint_failure::kRefused);
      CHECK(world.Answer().result == outcome::kUnknown);
    }
  }

  SECTION("more often than the retry budget allows") {
    int retries = 0;
    for (int i = 0; i < 200; ++i) {
      world.now += seconds(40);
      world.Arrive(world.Envelope());
      world.Fail(world.Calls().at(0).call, endpoint_failure::kMaybeSent);
      if (!world.Calls().empty()) {
        retries += 1;
        world.Reply(world.Calls()[0].call);
      }
    }
    CHECK(retries >= 20);
    CHECK(retries <= 10 + 200 / 10);
  }
}

// The endpoint is up but says that it didn't run the request, or can't be
// reached at all. Nothing ran, so any request may go elsewhere.
TEST_CASE("An endpoint doesn't take a request that isn't idempotent") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon");

  SECTION("and another endpoint of the same owner does") {
    world.AddEndpoint("runner-2", "suwon");
    world.Rebuild();
    world.Arrive(world.Envelope(false));
    world.Fail(world.Calls()[0].call, endpoint_failure::kNotSent);
    REQUIRE(world.Calls().size() == 1);
    world.Reply(world.Calls()[0].call);
    CHECK(world.Answer().result == outcome::kDone);
  }

  SECTION("and an endpoint of another owner does") {
    world.AddEndpoint("runner-2", "goyang");
    world.Rebuild();
    world.Arrive(world.Envelope(false));
    world.Fail(world.Calls().at(0).call, endpoint_failure::kRefused);
    CHECK(Sent<forward_request>(world.out, kPeer).size() == 1);
  }

  SECTION("and there is no other: the caller hears not-run") {
    world.Rebuild();
    world.Arrive(world.Envelope(false));
    world.Fail(world.Calls()[0].call, endpoint_failure::kRefused);
    CHECK(world.Answer().result == outcome::kNotRun);
    CHECK(world.Answer().retry_after.has_value());
    CHECK(world.Answer().status == 503);
  }
}

// A request was forwarded and the connection to its owner is lost. The owner
// may have sent it to an endpoint.
TEST_CASE("The owner of a forwarded request is lost") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "goyang");
  world.Rebuild();

  SECTION("by a request that isn't idempotent: the caller hears unknown") {
    world.Arrive(world.Envelope(false));
    world.Disconnect(kPeer);
    CHECK(world.Answer().result == outcome::kUnknown);
    CHECK(world.Answer().reason == answer_reason::kPeerLost);
  }

  SECTION("by an idempotent one, which goes to another owner") {
    world.AddEndpoint("runner-2", "seongnam");
    world.suspects = {kOther};
    world.Rebuild();
    world.Arrive(world.Envelope());
    const auto first = Sent<forward_request>(world.out, kPeer);
    REQUIRE(first.size() == 1);
    world.suspects = {};
    world.Disconnect(kPeer);
    const auto second = Sent<forward_request>(world.out, kOther);
    REQUIRE(second.size() == 1);

    SECTION("while the first owner's late answer meets a dead id") {
      response late;
      late.result = outcome::kDone;
      world.PeerReply(kPeer, first[0].id, late);
      CHECK(world.out.actions.empty());
    }
  }

  SECTION("and an answer to an earlier life of this entry meets nothing") {
    world.Arrive(world.Envelope());
    response late;
    late.result = outcome::kDone;
    world.PeerReply(kPeer, {kOther, 1}, late);
    CHECK(world.out.actions.empty());
  }
}

// Nothing is heard from an owner, but its connection stands: it may be frozen.
TEST_CASE("The owner of a forwarded request is suspected") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "goyang");
  world.AddEndpoint("runner-2", "seongnam");
  world.suspects = {kOther};
  world.Rebuild();

  const auto suspect = [&] {
    world.out = {};
    world.suspects = {kPeer};
    world.core.OnPeerSuspected(kPeer, world.Context(), world.now, world.out);
  };

  SECTION("an idempotent request moves, and the owner is told") {
    world.Arrive(world.Envelope());
    suspect();
    CHECK(Sent<cancel_forward>(world.out, kPeer).size() == 1);
    CHECK(Sent<forward_request>(world.out, kOther).size() == 1);
  }

  SECTION("another waits, since it may still be answered") {
    world.Arrive(world.Envelope(false));
    const request_id id = Sent<forward_request>(world.out, kPeer)[0].id;
    suspect();
    CHECK(world.out.actions.empty());
    response done;
    done.result = outcome::kDone;
    world.PeerReply(kPeer, id, done);
    CHECK(world.Answer().result == outcome::kDone);
  }
}

// An owner is frozen while a request waits in its queue, and wakes up after the
// caller has given up. It must not start it then.
TEST_CASE("A deadline passes") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon", 1);
  world.Rebuild();
  world.Arrive(world.Envelope(false));
  const call_endpoint first = world.Calls()[0];

  SECTION("for a queued request of a frozen owner: not-run") {
    const request_id id = world.Receive(kPeer, world.Envelope(false));
    CHECK(world.Calls().empty());
    world.now += seconds(5);
    world.Reply(first.call);
    CHECK(world.Calls().empty());
    const auto replies = Sent<forward_reply>(world.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == id);
    CHECK(replies[0].answer.result == outcome::kNotRun);
    CHECK(replies[0].answer.reason == answer_reason::kDeadline);
  }

  SECTION("for one that another entry sent too late: not-run") {
    world.Reply(first.call);
    request_envelope late = world.Envelope(false);
    late.deadline = world.now;
    world.Receive(kPeer, late);
    CHECK(world.Calls().empty());
    const auto replies = Sent<forward_reply>(world.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kDeadline);
  }

  SECTION("for one that was dispatched: unknown, and the slot stays taken") {
    world.Tick(seconds(2));
    CHECK(world.Answer().result == outcome::kUnknown);
    CHECK(world.Answer().status == 504);
    CHECK(world.core.InFlight().size() == 1);
    CHECK_FALSE(world.core.Idle());
    world.Reply(first.call);
    CHECK(All<answer_caller>(world.out).empty());
    CHECK(world.core.Idle());
  }

  SECTION("before the request arrives: not-run") {
    request_envelope late = world.Envelope();
    late.deadline = world.now;
    world.Arrive(late);
    CHECK(world.Answer().result == outcome::kNotRun);
    CHECK(world.Answer().status == 504);
  }
}

// The entry's VM is paused for five seconds. Requests that others forwarded
// meanwhile are read when it wakes, with their time left as it was when they
// were sent, and behind them the news that nobody waits any more. Their callers
// were told unknown and may have asked again: none may be started.
TEST_CASE("An owner wakes up with old requests before it") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon");
  world.Rebuild();
  world.Tick(milliseconds(20));
  world.Tick(milliseconds(20));
  world.now += seconds(5);
  const bool tick_first = GENERATE(false, true);
  if (tick_first) {
    world.Tick({});
  }
  const request_id old = world.Receive(kPeer, world.Envelope(false));
  CHECK(world.Calls().empty());

  SECTION("and drops those that were given up") {
    world.out = {};
    world.core.OnCancel(kPeer, {old}, world.Context(), world.now, world.out);
    CHECK(Sent<forward_reply>(world.out, kPeer).size() == 1);
    for (int i = 0; i < 10; ++i) {
      world.Tick(milliseconds(20));
      CHECK(world.Calls().empty());
    }
  }

  SECTION("and starts the others a little later") {
    std::size_t calls = 0;
    for (int i = 0; i < 10; ++i) {
      world.Tick(milliseconds(20));
      calls += world.Calls().size();
    }
    CHECK(calls == 1);
  }
}

TEST_CASE("A caller hangs up") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon", 1);
  world.Rebuild();
  world.Arrive(world.Envelope());
  const call_endpoint first = world.Calls()[0];
  const auto hang_up = [&](std::uint64_t sequence) {
    world.out = {};
    world.core.OnCallerGone({sequence}, world.Context(), world.now, world.out);
  };

  SECTION("while the request is queued: it is never sent") {
    const std::uint64_t queued = world.Arrive(world.Envelope());
    hang_up(queued);
    CHECK(world.Answer().result == outcome::kNotRun);
    world.Reply(first.call);
    CHECK(world.Calls().empty());
  }

  SECTION("while it runs: the call is waited for") {
    hang_up(world.last_sequence);
    CHECK(world.out.actions.empty());
    world.Reply(first.call);
    CHECK(All<answer_caller>(world.out).size() == 1);
  }

  SECTION("while another entry has it: that entry is told") {
    world.AddEndpoint("runner-2", "goyang");
    world.Rebuild();
    const std::uint64_t forwarded = world.Arrive(world.Envelope());
    const auto sent = Sent<forward_request>(world.out, kPeer);
    REQUIRE(sent.size() == 1);
    hang_up(forwarded);
    const auto cancels = Sent<cancel_forward>(world.out, kPeer);
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].id == sent[0].id);
  }
}

// A VM is drained while its requests run and others wait.
TEST_CASE("An endpoint leaves") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon", 1);
  world.AddEndpoint("runner-2", "goyang", 1);
  world.Rebuild();
  world.Arrive(world.Envelope());
  const call_endpoint first = world.Calls().at(0);

  SECTION("by the fold: it gets nothing new, and what runs ends") {
    world.fleet.vms[vm_id("runner-1")].phase = vm_phase::kDraining;
    world.Rebuild();
    world.Arrive(world.Envelope());
    CHECK(world.Calls().empty());
    CHECK(Sent<forward_request>(world.out, kPeer).size() == 1);
    world.Reply(first.call);
    CHECK(world.Answer().result == outcome::kDone);
  }

  SECTION("by the list") {
    world.listings[0].state = vm_listing_state::kLeaving;
    world.Rebuild();
    world.Arrive(world.Envelope());
    CHECK(world.Calls().empty());
  }

  SECTION("by its own word, long before the list shows it") {
    world.Fail(first.call, endpoint_failure::kRefused, true);
    CHECK(Sent<forward_request>(world.out, kPeer).size() == 1);
    world.now += seconds(60);
    world.Arrive(world.Envelope());
    CHECK(world.Calls().empty());

    SECTION("and takes part again once it was seen leaving and back") {
      world.listings[0].state = vm_listing_state::kLeaving;
      world.Rebuild();
      world.listings[0].state = vm_listing_state::kLive;
      world.Rebuild();
      world.Arrive(world.Envelope());
      CHECK(world.Calls().size() == 1);
    }
  }

  SECTION("and the requests that wait for it follow to another owner") {
    world.suspects = {kPeer};
    world.Arrive(world.Envelope());
    CHECK(world.Calls().empty());
    world.suspects = {};
    world.listings[0].state = vm_listing_state::kLeaving;
    world.Rebuild();
    CHECK(Sent<forward_request>(world.out, kPeer).size() == 1);
  }
}

// A worker fails every task at once. Being the least busy, it would get most of
// the requests; it is ejected, and the others get them.
TEST_CASE("An endpoint fails all it gets") {
  request_harness world = MakeWorld();
  for (const char* vm : {"runner-1", "runner-2", "runner-3"}) {
    world.AddEndpoint(vm, "suwon");
  }
  world.Rebuild();
  const auto serve = [&](int times, bool all_fail) {
    std::map<vm_id, int> served;
    for (int i = 0; i < times; ++i) {
      world.now += milliseconds(1);
      world.Arrive(world.Envelope());
      const call_endpoint call = world.Calls().at(0);
      served[call.vm] += 1;
      const bool fails = all_fail || call.vm == vm_id("runner-1");
      world.Reply(call.call, fails ? 500 : 200);
      CHECK(world.Answer().status == (fails ? 500 : 200));
    }
    return served;
  };

  SECTION("and gets no more") {
    serve(20, false);
    CHECK(serve(100, false).count(vm_id("runner-1")) == 0);
    CHECK(world.core.Load(world.Context(), world.now)[0].slots == 16);

    SECTION("until it is tried again") {
      world.now += seconds(1);
      CHECK(serve(100, false)[vm_id("runner-1")] == 1);
    }
  }

  SECTION("like all others, and never more than a third is ejected") {
    serve(200, true);
    CHECK(world.core.Load(world.Context(), world.now)[0].slots == 16);
  }
}

TEST_CASE("An entry stops") {
  request_harness world = MakeWorld();
  world.AddEndpoint("runner-1", "suwon", 1);
  world.Rebuild();
  world.Arrive(world.Envelope());
  const call_endpoint running = world.Calls()[0];
  world.Arrive(world.Envelope());
  world.core.OnStop();

  SECTION("and takes nothing new") {
    world.Arrive(world.Envelope());
    CHECK(world.Answer().result == outcome::kNotRun);
    CHECK(world.Answer().reason == answer_reason::kStopping);
    world.Receive(kPeer, world.Envelope());
    const auto replies = Sent<forward_reply>(world.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kStopping);
  }

  SECTION("but ends what runs and what waits, and is idle then") {
    world.Reply(running.call);
    CHECK(world.Answer().result == outcome::kDone);
    REQUIRE(world.Calls().size() == 1);
    CHECK_FALSE(world.core.Idle());
    world.Reply(world.Calls()[0].call);
    CHECK(world.Answer().result == outcome::kDone);
    CHECK(world.core.Idle());
  }
}

}  // namespace
}  // namespace plantainhead::core
