#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

request_harness MakeHarness() {
  request_harness harness;
  harness.AddMember(kPeer, "goyang");
  harness.AddMember(kOther, "seongnam");
  return harness;
}

// The endpoint's connection breaks after bytes left. The caller of a request
// that isn't idempotent is told unknown at once: running it again might log a
// second appeal.
TEST_CASE("An endpoint is lost in the middle of a call") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon");
  harness.AddEndpoint("runner-2", "suwon");
  harness.Rebuild();

  SECTION("by a request that isn't idempotent, which is never sent again") {
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls()[0].call, endpoint_failure::kMaybeSent);
    CHECK(harness.Calls().empty());
    CHECK(harness.Answer().result == outcome::kUnknown);
    CHECK(harness.Answer().reason == answer_reason::kEndpointLost);
    CHECK(harness.Answer().status == 502);
  }

  SECTION("by an idempotent one, which goes to another endpoint") {
    harness.Arrive(harness.Envelope());
    const call_endpoint first = harness.Calls()[0];
    harness.Fail(first.call, endpoint_failure::kMaybeSent);
    REQUIRE(harness.Calls().size() == 1);
    CHECK(harness.Calls()[0].vm != first.vm);

    SECTION("and whose refusal there doesn't make it not-run") {
      harness.Fail(harness.Calls()[0].call, endpoint_failure::kRefused);
      CHECK(harness.Answer().result == outcome::kUnknown);
    }
  }

  SECTION("more often than the retry budget allows") {
    int retries = 0;
    for (int i = 0; i < 200; ++i) {
      harness.now += seconds(40);
      harness.Arrive(harness.Envelope());
      harness.Fail(harness.Calls().at(0).call, endpoint_failure::kMaybeSent);
      if (!harness.Calls().empty()) {
        retries += 1;
        harness.Reply(harness.Calls()[0].call);
      }
    }
    CHECK(retries >= 20);
    CHECK(retries <= 10 + 200 / 10);
  }
}

// The endpoint is up but says that it didn't run the request, or can't be
// reached at all. Nothing ran, so any request may go elsewhere.
TEST_CASE("An endpoint doesn't take a request that isn't idempotent") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon");

  SECTION("and another endpoint of the same owner does") {
    harness.AddEndpoint("runner-2", "suwon");
    harness.Rebuild();
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls()[0].call, endpoint_failure::kNotSent);
    REQUIRE(harness.Calls().size() == 1);
    harness.Reply(harness.Calls()[0].call);
    CHECK(harness.Answer().result == outcome::kDone);
  }

  SECTION("and an endpoint of another owner does") {
    harness.AddEndpoint("runner-2", "goyang");
    harness.Rebuild();
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls().at(0).call, endpoint_failure::kRefused);
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
  }

  SECTION("and there is no other: the caller hears not-run") {
    harness.Rebuild();
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls()[0].call, endpoint_failure::kRefused);
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().retry_after.has_value());
    CHECK(harness.Answer().status == 503);
  }
}

// A request was forwarded and the connection to its owner is lost. The owner
// may have sent it to an endpoint.
TEST_CASE("The owner of a forwarded request is lost") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "goyang");
  harness.Rebuild();

  SECTION("by a request that isn't idempotent: the caller hears unknown") {
    harness.Arrive(harness.Envelope(false));
    harness.Disconnect(kPeer);
    CHECK(harness.Answer().result == outcome::kUnknown);
    CHECK(harness.Answer().reason == answer_reason::kPeerLost);
  }

  SECTION("by an idempotent one, which goes to another owner") {
    harness.AddEndpoint("runner-2", "seongnam");
    harness.suspects = {kOther};
    harness.Rebuild();
    harness.Arrive(harness.Envelope());
    const auto first = Sent<forward_request>(harness.out, kPeer);
    REQUIRE(first.size() == 1);
    harness.suspects = {};
    harness.Disconnect(kPeer);
    const auto second = Sent<forward_request>(harness.out, kOther);
    REQUIRE(second.size() == 1);

    SECTION("while the first owner's late answer meets a dead id") {
      response late;
      late.result = outcome::kDone;
      harness.PeerReply(kPeer, first[0].id, late);
      CHECK(harness.out.actions.empty());
    }
  }

  SECTION("and an answer to an earlier life of this entry meets nothing") {
    harness.Arrive(harness.Envelope());
    response late;
    late.result = outcome::kDone;
    harness.PeerReply(kPeer, {kOther, 1}, late);
    CHECK(harness.out.actions.empty());
  }
}

// Nothing is heard from an owner, but its connection stands: it may be frozen.
TEST_CASE("The owner of a forwarded request is suspected") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "goyang");
  harness.AddEndpoint("runner-2", "seongnam");
  harness.suspects = {kOther};
  harness.Rebuild();

  const auto suspect = [&] {
    harness.out = {};
    harness.suspects = {kPeer};
    harness.core.OnPeerSuspected(kPeer, harness.Context(), harness.now,
                                 harness.out);
  };

  SECTION("an idempotent request moves, and the owner is told") {
    harness.Arrive(harness.Envelope());
    suspect();
    CHECK(Sent<cancel_forward>(harness.out, kPeer).size() == 1);
    CHECK(Sent<forward_request>(harness.out, kOther).size() == 1);
  }

  SECTION("another waits, since it may still be answered") {
    harness.Arrive(harness.Envelope(false));
    const request_id id = Sent<forward_request>(harness.out, kPeer)[0].id;
    suspect();
    CHECK(harness.out.actions.empty());
    response done;
    done.result = outcome::kDone;
    harness.PeerReply(kPeer, id, done);
    CHECK(harness.Answer().result == outcome::kDone);
  }
}

// An owner is frozen while a request waits in its queue, and wakes up after the
// caller has given up. It must not start it then.
TEST_CASE("A deadline passes") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope(false));
  const call_endpoint first = harness.Calls()[0];

  SECTION("for a queued request of a frozen owner: not-run") {
    const request_id id = harness.Receive(kPeer, harness.Envelope(false));
    CHECK(harness.Calls().empty());
    harness.now += seconds(5);
    harness.Reply(first.call);
    CHECK(harness.Calls().empty());
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == id);
    CHECK(replies[0].answer.result == outcome::kNotRun);
    CHECK(replies[0].answer.reason == answer_reason::kDeadline);
  }

  SECTION("for one that another entry sent too late: not-run") {
    harness.Reply(first.call);
    request_envelope late = harness.Envelope(false);
    late.deadline = harness.now;
    harness.Receive(kPeer, late);
    CHECK(harness.Calls().empty());
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kDeadline);
  }

  SECTION("for one that was dispatched: unknown, and the slot stays taken") {
    harness.Tick(seconds(2));
    CHECK(harness.Answer().result == outcome::kUnknown);
    CHECK(harness.Answer().status == 504);
    CHECK(harness.core.InFlight().size() == 1);
    CHECK_FALSE(harness.core.Idle());
    harness.Reply(first.call);
    CHECK(All<answer_caller>(harness.out).empty());
    CHECK(harness.core.Idle());
  }

  SECTION("before the request arrives: not-run") {
    request_envelope late = harness.Envelope();
    late.deadline = harness.now;
    harness.Arrive(late);
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().status == 504);
  }
}

// The entry's VM is paused for five seconds. Requests that others forwarded
// meanwhile are read when it wakes, with their time left as it was when they
// were sent, and behind them the news that nobody waits any more. Their callers
// were told unknown and may have asked again: none may be started.
TEST_CASE("An owner wakes up with old requests before it") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon");
  harness.Rebuild();
  harness.Tick(milliseconds(20));
  harness.Tick(milliseconds(20));
  harness.now += seconds(5);
  const bool tick_first = GENERATE(false, true);
  if (tick_first) {
    harness.Tick({});
  }
  const request_id old = harness.Receive(kPeer, harness.Envelope(false));
  CHECK(harness.Calls().empty());

  SECTION("and drops those that were given up") {
    harness.out = {};
    harness.core.OnCancel(kPeer, {old}, harness.Context(), harness.now,
                          harness.out);
    CHECK(Sent<forward_reply>(harness.out, kPeer).size() == 1);
    for (int i = 0; i < 10; ++i) {
      harness.Tick(milliseconds(20));
      CHECK(harness.Calls().empty());
    }
  }

  SECTION("and starts the others a little later") {
    std::size_t calls = 0;
    for (int i = 0; i < 10; ++i) {
      harness.Tick(milliseconds(20));
      calls += harness.Calls().size();
    }
    CHECK(calls == 1);
  }
}

TEST_CASE("A caller hangs up") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope());
  const call_endpoint first = harness.Calls()[0];
  const auto disconnect_caller = [&](std::uint64_t sequence) {
    harness.out = {};
    harness.core.OnCallerGone({sequence}, harness.Context(), harness.now,
                              harness.out);
  };

  SECTION("while the request is queued: it is never sent") {
    const std::uint64_t queued = harness.Arrive(harness.Envelope());
    disconnect_caller(queued);
    CHECK(harness.Answer().result == outcome::kNotRun);
    harness.Reply(first.call);
    CHECK(harness.Calls().empty());
  }

  SECTION("while it runs: the call is waited for") {
    disconnect_caller(harness.last_sequence);
    CHECK(harness.out.actions.empty());
    harness.Reply(first.call);
    CHECK(All<answer_caller>(harness.out).size() == 1);
  }

  SECTION("while another entry has it: that entry is told") {
    harness.AddEndpoint("runner-2", "goyang");
    harness.Rebuild();
    const std::uint64_t forwarded = harness.Arrive(harness.Envelope());
    const auto sent = Sent<forward_request>(harness.out, kPeer);
    REQUIRE(sent.size() == 1);
    disconnect_caller(forwarded);
    const auto cancels = Sent<cancel_forward>(harness.out, kPeer);
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].id == sent[0].id);
  }
}

// A VM is drained while its requests run and others wait.
TEST_CASE("An endpoint leaves") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.AddEndpoint("runner-2", "goyang", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope());
  const call_endpoint first = harness.Calls().at(0);

  SECTION("by the fold: it gets nothing new, and what runs ends") {
    harness.fleet.vms[vm_id("runner-1")].phase = vm_phase::kDraining;
    harness.Rebuild();
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
    harness.Reply(first.call);
    CHECK(harness.Answer().result == outcome::kDone);
  }

  SECTION("by the list") {
    harness.listings[0].state = vm_listing_state::kLeaving;
    harness.Rebuild();
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
  }

  SECTION("by its own word, long before the list shows it") {
    harness.Fail(first.call, endpoint_failure::kRefused, true);
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
    harness.now += seconds(60);
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());

    SECTION("and takes part again once it was seen leaving and back") {
      harness.listings[0].state = vm_listing_state::kLeaving;
      harness.Rebuild();
      harness.listings[0].state = vm_listing_state::kLive;
      harness.Rebuild();
      harness.Arrive(harness.Envelope());
      CHECK(harness.Calls().size() == 1);
    }
  }

  SECTION("and the requests that wait for it follow to another owner") {
    harness.suspects = {kPeer};
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
    harness.suspects = {};
    harness.listings[0].state = vm_listing_state::kLeaving;
    harness.Rebuild();
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
  }
}

// A worker fails every task at once. Being the least busy, it would get most of
// the requests; it is ejected, and the others get them.
TEST_CASE("An endpoint fails all it gets") {
  request_harness harness = MakeHarness();
  for (const char* vm : {"runner-1", "runner-2", "runner-3"}) {
    harness.AddEndpoint(vm, "suwon");
  }
  harness.Rebuild();
  const auto serve = [&](int times, bool all_fail) {
    std::map<vm_id, int> served;
    for (int i = 0; i < times; ++i) {
      harness.now += milliseconds(1);
      harness.Arrive(harness.Envelope());
      const call_endpoint call = harness.Calls().at(0);
      served[call.vm] += 1;
      const bool fails = all_fail || call.vm == vm_id("runner-1");
      harness.Reply(call.call, fails ? 500 : 200);
      CHECK(harness.Answer().status == (fails ? 500 : 200));
    }
    return served;
  };

  SECTION("and gets no more") {
    serve(20, false);
    CHECK(serve(100, false).count(vm_id("runner-1")) == 0);
    CHECK(harness.core.Load(harness.Context(), harness.now)[0].slots == 16);

    SECTION("until it is tried again") {
      harness.now += seconds(1);
      CHECK(serve(100, false)[vm_id("runner-1")] == 1);
    }
  }

  SECTION("like all others, and never more than a third is ejected") {
    serve(200, true);
    CHECK(harness.core.Load(harness.Context(), harness.now)[0].slots == 16);
  }
}

TEST_CASE("An entry stops") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope());
  const call_endpoint running = harness.Calls()[0];
  harness.Arrive(harness.Envelope());
  harness.core.OnStop();

  SECTION("and takes nothing new") {
    harness.Arrive(harness.Envelope());
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().reason == answer_reason::kStopping);
    harness.Receive(kPeer, harness.Envelope());
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kStopping);
  }

  SECTION("but ends what runs and what waits, and is idle then") {
    harness.Reply(running.call);
    CHECK(harness.Answer().result == outcome::kDone);
    REQUIRE(harness.Calls().size() == 1);
    CHECK_FALSE(harness.core.Idle());
    harness.Reply(harness.Calls()[0].call);
    CHECK(harness.Answer().result == outcome::kDone);
    CHECK(harness.core.Idle());
  }
}

}  // namespace
}  // namespace plantainhead::core
