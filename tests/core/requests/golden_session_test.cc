#include <catch2/catch.hpp>

#include "core/requests/request_harness.h"
#include "core/requests/session_text.h"
#include "plantainhead/core/log/fold.h"

namespace plantainhead::core {
namespace {

/// Drives the fold, endpoints and requests of one entry and writes a transcript
/// of all events and actions. The test script makes the decisions of the
/// claims.
class request_session {
 public:
  void Title(const std::string& words) { text_.Title(words); }

  void HandleEvent(const event& what) {
    text_.In(now_, Text(what));
    effects out;
    std::visit(
        overloaded{
            [&](const request_arrived& item) {
              core_.OnArrival(item, Context(), now_, out);
            },
            [&](const caller_disconnected& item) {
              core_.OnCallerGone(item, Context(), now_, out);
            },
            [&](const peer_disconnected& item) {
              core_.OnPeerDisconnected(item.peer, Context(), now_, out);
            },
            [&](const endpoint_replied& item) {
              core_.OnEndpointReplied(item, Context(), now_, out);
            },
            [&](const endpoint_failed& item) {
              core_.OnEndpointFailed(item, Context(), now_, out);
            },
            [&](const frame_received& item) { Receive(item.frame, out); },
            [&](const log_read& item) { Read(item, out); },
            [&](const vm_list_read& item) {
              listings_ = item.vms;
              Rebuild(out);
            },
            [&](const tick&) { core_.OnTick(Context(), now_, out); },
            [&](const stop_requested&) { core_.OnStop(); }, [](const auto&) {}},
        what);
    Write(out);
  }

  void Decide(const claim_decision& decision) {
    text_.In(now_, "claim_decision " + std::string(NameOf(decision.verdict)));
    effects out;
    core_.OnClaimDecision(decision, Context(), now_, out);
    Write(out);
  }

  void AdvanceTime(duration time) { now_ += time; }

  /// Applies records as if they were read from the control stream.
  void Fold(std::vector<record_body> bodies) {
    log_read read;
    read.stream = kControlStream;
    log_offset offset = fleet_.offset;
    for (record_body& body : bodies) {
      offset += 1;
      const record_id id("r" + std::to_string(offset));
      read.entries.push_back({offset, {id, "session", std::move(body)}});
    }
    read.end = offset;
    read.begin = 1;
    HandleEvent(read);
  }

  void Arrive(std::uint64_t sequence,
              const std::string& method,
              const std::string& path,
              const std::string& key = "") {
    request_arrived arrived;
    arrived.sequence = sequence;
    arrived.request.service = kIntake;
    arrived.request.work = kUrgent;
    arrived.request.method = method;
    arrived.request.path = path;
    arrived.request.deadline = now_ + seconds(2);
    arrived.request.idempotent = method == "GET";
    if (!key.empty()) {
      arrived.request.key = claim_key(key);
    }
    HandleEvent(arrived);
  }

  void Reply(std::uint64_t call, const std::string& body) {
    HandleEvent(endpoint_replied{static_cast<call_id>(call),
                                 200,
                                 {},
                                 std::make_shared<const std::string>(body)});
  }

  const fleet_state& fleet() const { return fleet_; }
  bool idle() const { return core_.Idle(); }
  std::string str() const { return text_.str(); }
  claim_command last_command;

 private:
  routing_context Context() const {
    return {fleet_, table_, suspects_, kSelf, true};
  }

  void Receive(const peer_frame& frame, effects& out) {
    if (const auto* forward = std::get_if<forward_request>(&frame.message)) {
      core_.OnForward(frame.from, *forward, Context(), now_, out);
    }
    if (const auto* reply = std::get_if<forward_reply>(&frame.message)) {
      core_.OnReply(frame.from, *reply, Context(), now_, out);
    }
  }

  void Read(const log_read& read, effects& out) {
    for (const log_entry& entry : read.entries) {
      const fold_result result = Apply(fleet_, entry);
      text_.Out("fold " + std::to_string(entry.offset) + " " +
                std::string(NameOf(result.outcome)) + " " + result.detail);
    }
    Rebuild(out);
  }

  void Rebuild(effects& out) {
    table_.Rebuild(fleet_, listings_, kSelf, {});
    core_.OnEndpointsChanged(Context(), now_, out);
  }

  void Write(const effects& out) {
    for (const action& item : out.actions) {
      text_.Out(Text(item));
    }
    for (claim_command& command : core_.TakeClaimCommands()) {
      text_.Out(Text(command));
      last_command = std::move(command);
    }
  }

  time_point now_{std::chrono::hours(1)};
  fleet_state fleet_;
  std::vector<vm_listing> listings_;
  std::set<incarnation> suspects_;
  endpoint_table table_;
  request_core core_{kSelf, 1};
  session_text text_;
};

vm_listing Listing(const std::string& vm, const std::string& zone) {
  vm_listing listing;
  listing.vm = vm_id(vm);
  listing.zone = zone_id(zone);
  listing.host = "10.1.0.1";
  listing.port = 9000;
  listing.service = kIntake;
  listing.slots = 1;
  return listing;
}

join_entry Join(incarnation who, const std::string& zone) {
  join_entry join;
  join.who = who;
  join.name = entry_id("entry-" + Digits(who));
  join.zone = zone_id(zone);
  join.host = "10.0.0.1";
  join.peer_port = 7000;
  join.http_port = 8000;
  return join;
}

void Prepare(request_session& session) {
  session.Title("Two entries join, targets are published, VMs are listed");
  publish_configuration publish;
  publish.document.pools.push_back({pool_id("casework"), team_id(), 0});
  publish.document.services.push_back({kIntake, {pool_id("casework")}});
  publish.document.classes.push_back(MakeClass(kUrgent, seconds(1), false));
  session.Fold({Join(kSelf, "suwon"), Join(kPeer, "goyang"), publish,
                take_planner_lease{kSelf, 0}});
  const lease_epoch epoch = session.fleet().lease.epoch;
  session.Fold({assign_vm{epoch, vm_id("near"), 0, pool_id("casework"), "new"},
                assign_vm{epoch, vm_id("far"), 0, pool_id("casework"), "new"}});
  session.HandleEvent(
      vm_list_read{{Listing("near", "suwon"), Listing("far", "goyang")}, {}});
}

void Serve(request_session& session) {
  session.Title("A request is served here, the next by the other entry");
  session.Arrive(1, "GET", "/petitions/7");
  session.Arrive(2, "GET", "/petitions/8");
  session.AdvanceTime(milliseconds(15));
  session.Reply(1, "petition 7");
  forward_reply reply;
  reply.id = {kSelf, 1};
  reply.answer.status = 200;
  reply.answer.result = outcome::kDone;
  reply.answer.body = std::make_shared<const std::string>("petition 8");
  reply.load = {{kIntake, 1, 0, 0}};
  session.HandleEvent(frame_received{{kPeer, 4, reply}});

  session.Title("An appeal with a key is claimed, then run once");
  session.Arrive(3, "POST", "/appeals", "ward-3/appeal-12");
  claim_decision granted;
  granted.request = session.last_command.request;
  granted.verdict = claim_verdict::kGranted;
  session.AdvanceTime(milliseconds(70));
  session.Decide(granted);
  session.AdvanceTime(milliseconds(15));
  session.Reply(2, "appeal logged");

  session.Title("An endpoint is lost under an appeal without a key");
  session.Arrive(4, "POST", "/appeals");
  session.HandleEvent(endpoint_failed{
      static_cast<call_id>(3), endpoint_failure::kMaybeSent, false, "reset"});
}

void Drain(request_session& session) {
  session.Title("The VM here drains: what runs ends, new work goes elsewhere");
  session.Arrive(5, "GET", "/petitions/9");
  const fleet_vm near = session.fleet().vms.at(vm_id("near"));
  set_vm_phase drain;
  drain.epoch = session.fleet().lease.epoch;
  drain.vm = vm_id("near");
  drain.expected = near.version;
  drain.phase = vm_phase::kDraining;
  drain.operation = operation_id("drain-1");
  drain.reason = "wave";
  session.Fold({drain});
  session.Arrive(6, "GET", "/petitions/10");
  session.AdvanceTime(milliseconds(10));
  session.Reply(4, "petition 9");

  session.Title("The other entry is lost: idempotent work finds no one else");
  session.HandleEvent(peer_disconnected{kPeer});
}

TEST_CASE("The transcript of one entry's requests matches the golden file") {
  request_session session;
  Prepare(session);
  Serve(session);
  Drain(session);

  session.Title("The entry stops");
  session.HandleEvent(stop_requested{});
  session.Arrive(7, "GET", "/petitions/11");
  CHECK(session.idle());
  const std::string current = session.str();
  CHECK(current == GoldenText("request_session.txt", current));
}

}  // namespace
}  // namespace plantainhead::core
