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

// The connection to the endpoint breaks after bytes were sent. The caller of a
// request that is not idempotent is answered unknown at once, since running the
// request again could have its effect twice.
TEST_CASE("The connection to an endpoint is lost during a call") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon");
  harness.AddEndpoint("runner-2", "suwon");
  harness.Rebuild();

  SECTION("a request that is not idempotent is never sent again") {
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls()[0].call, endpoint_failure::kMaybeSent);
    CHECK(harness.Calls().empty());
    CHECK(harness.Answer().result == outcome::kUnknown);
    CHECK(harness.Answer().reason == answer_reason::kEndpointLost);
    CHECK(harness.Answer().status == 502);
  }

  SECTION("an idempotent request goes to another endpoint") {
    harness.Arrive(harness.Envelope());
    const call_endpoint first = harness.Calls()[0];
    harness.Fail(first.call, endpoint_failure::kMaybeSent);
    REQUIRE(harness.Calls().size() == 1);
    CHECK(harness.Calls()[0].vm != first.vm);

    SECTION("and a refusal there is not reported as not-run") {
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

// The endpoint reports that it did not run the request, or cannot be reached at
// all. Nothing ran, so any request may be sent elsewhere.
TEST_CASE("An endpoint refuses a request that is not idempotent") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon");

  SECTION("and another endpoint of the same owner accepts it") {
    harness.AddEndpoint("runner-2", "suwon");
    harness.Rebuild();
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls()[0].call, endpoint_failure::kNotSent);
    REQUIRE(harness.Calls().size() == 1);
    harness.Reply(harness.Calls()[0].call);
    CHECK(harness.Answer().result == outcome::kDone);
  }

  SECTION("and an endpoint of another owner accepts it") {
    harness.AddEndpoint("runner-2", "goyang");
    harness.Rebuild();
    harness.Arrive(harness.Envelope(false));
    harness.Fail(harness.Calls().at(0).call, endpoint_failure::kRefused);
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
  }

  SECTION("and there is no other: the caller is answered not-run") {
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
TEST_CASE("The connection to the owner of a forwarded request is lost") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "goyang");
  harness.Rebuild();

  SECTION("a request that is not idempotent is answered unknown") {
    harness.Arrive(harness.Envelope(false));
    harness.Disconnect(kPeer);
    CHECK(harness.Answer().result == outcome::kUnknown);
    CHECK(harness.Answer().reason == answer_reason::kPeerLost);
  }

  SECTION("an idempotent request goes to another owner") {
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

    SECTION("and the late answer of the first owner is ignored") {
      response late;
      late.result = outcome::kDone;
      harness.PeerReply(kPeer, first[0].id, late);
      CHECK(harness.out.actions.empty());
    }
  }

  SECTION("and an answer to an earlier incarnation of this entry is ignored") {
    harness.Arrive(harness.Envelope());
    response late;
    late.result = outcome::kDone;
    harness.PeerReply(kPeer, {kOther, 1}, late);
    CHECK(harness.out.actions.empty());
  }
}

// An owner sends no heartbeats but its connection is open: its process may be
// paused.
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

  SECTION(
      "an idempotent request moves, and a cancellation is sent to the owner") {
    harness.Arrive(harness.Envelope());
    suspect();
    CHECK(Sent<cancel_forward>(harness.out, kPeer).size() == 1);
    CHECK(Sent<forward_request>(harness.out, kOther).size() == 1);
  }

  SECTION("any other request waits, since it may still be answered") {
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

// An owner is paused while a request waits in its queue, and resumes after the
// caller has given up. It must not start the request then.
TEST_CASE("A deadline passes") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope(false));
  const call_endpoint first = harness.Calls()[0];

  SECTION("for a queued request of a paused owner: not-run") {
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

  SECTION("for one that another entry forwarded too late: not-run") {
    harness.Reply(first.call);
    request_envelope late = harness.Envelope(false);
    late.deadline = harness.now;
    harness.Receive(kPeer, late);
    CHECK(harness.Calls().empty());
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kDeadline);
  }

  SECTION("for one that was dispatched: unknown, and its slot stays in use") {
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

// The VM of the entry is paused for five seconds. When it resumes, it reads
// requests that others forwarded meanwhile, with the remaining time that they
// had when they were sent, followed by their cancellations. Their callers were
// answered unknown and may have retried, so none may be started.
TEST_CASE("An owner resumes from a pause and reads old requests") {
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

  SECTION("and drops those that were cancelled") {
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

TEST_CASE("A caller closes its connection") {
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

  SECTION("while the call is in flight: its answer is awaited") {
    disconnect_caller(harness.last_sequence);
    CHECK(harness.out.actions.empty());
    harness.Reply(first.call);
    CHECK(All<answer_caller>(harness.out).size() == 1);
  }

  SECTION("while it is forwarded: a cancellation is sent to the owner") {
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

// A VM is drained while some of its requests run and others are queued.
TEST_CASE("An endpoint stops taking new work") {
  request_harness harness = MakeHarness();
  harness.AddEndpoint("runner-1", "suwon", 1);
  harness.AddEndpoint("runner-2", "goyang", 1);
  harness.Rebuild();
  harness.Arrive(harness.Envelope());
  const call_endpoint first = harness.Calls().at(0);

  SECTION(
      "by its phase in the fold: calls in flight finish, no new ones start") {
    harness.fleet.vms[vm_id("runner-1")].phase = vm_phase::kDraining;
    harness.Rebuild();
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
    harness.Reply(first.call);
    CHECK(harness.Answer().result == outcome::kDone);
  }

  SECTION("by the platform's list") {
    harness.listings[0].state = vm_listing_state::kLeaving;
    harness.Rebuild();
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
  }

  SECTION("by its own announcement, long before the list shows it") {
    harness.Fail(first.call, endpoint_failure::kRefused, true);
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
    harness.now += seconds(60);
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());

    SECTION(
        "and takes new work again after the list showed it leaving and live") {
      harness.listings[0].state = vm_listing_state::kLeaving;
      harness.Rebuild();
      harness.listings[0].state = vm_listing_state::kLive;
      harness.Rebuild();
      harness.Arrive(harness.Envelope());
      CHECK(harness.Calls().size() == 1);
    }
  }

  SECTION("and the requests queued for it move to another owner") {
    harness.suspects = {kPeer};
    harness.Arrive(harness.Envelope());
    CHECK(harness.Calls().empty());
    harness.suspects = {};
    harness.listings[0].state = vm_listing_state::kLeaving;
    harness.Rebuild();
    CHECK(Sent<forward_request>(harness.out, kPeer).size() == 1);
  }
}

// An endpoint fails every request immediately. Being the least loaded, it would
// get most of the requests; it is ejected, and the others get them.
TEST_CASE("An endpoint fails all of its requests") {
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

  SECTION("and gets no more requests") {
    serve(20, false);
    CHECK(serve(100, false).count(vm_id("runner-1")) == 0);
    CHECK(harness.core.Load(harness.Context(), harness.now)[0].slots == 16);

    SECTION("until it is probed") {
      harness.now += seconds(1);
      CHECK(serve(100, false)[vm_id("runner-1")] == 1);
    }
  }

  SECTION("like all others, and at most a third of the slots is ejected") {
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

  SECTION("and accepts no new requests") {
    harness.Arrive(harness.Envelope());
    CHECK(harness.Answer().result == outcome::kNotRun);
    CHECK(harness.Answer().reason == answer_reason::kStopping);
    harness.Receive(kPeer, harness.Envelope());
    const auto replies = Sent<forward_reply>(harness.out, kPeer);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer.reason == answer_reason::kStopping);
  }

  SECTION("but finishes running and queued requests, and is then idle") {
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
