#ifndef PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_CLUSTER_H_
#define PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_CLUSTER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/requests/request_harness.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

/// Thrown when an invariant is violated.
struct invariant_violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Simulates a few entries with links between them, endpoints and a log of
/// claims. The test drives it one step at a time; the invariants are checked at
/// each step.
class request_cluster {
 public:
  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::size_t kEntries = 3;

  request_cluster() {
    fleet_.targets.services.push_back({kIntake, {pool_id("casework")}});
    fleet_.targets.classes.push_back(MakeClass(kUrgent, seconds(1), false));
    fleet_.targets.classes.push_back(MakeClass(kArchive, seconds(60), true));
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<entry>(i));
      AddMember(i);
    }
    for (int i = 0; i < 5; ++i) {
      vm_listing listing;
      listing.vm = vm_id("runner-" + std::to_string(i));
      listing.zone = zone_id("zone-" + std::to_string(i % 3));
      listing.port = 9000;
      listing.service = kIntake;
      listing.slots = kSlots;
      listings_.push_back(listing);
    }
    PublishView();
  }

  void Arrive(std::size_t at, std::size_t kind) {
    if (entries_[at]->frozen) {
      return;
    }
    request_envelope envelope;
    envelope.service = kIntake;
    envelope.work = kind % 2 == 0 ? kUrgent : kArchive;
    envelope.idempotent = kind % 3 == 0;
    if (kind % 3 == 1) {
      envelope.key = claim_key("key-" + std::to_string(kind % 4));
    }
    envelope.deadline = now_ + milliseconds(100 + 400 * (kind % 8));
    const std::uint64_t number = arrivals_.size() + 1;
    envelope.path = std::to_string(number);
    arrivals_.push_back({envelope});
    Run(at, [&](entry& where, effects& out) {
      where.core.OnArrival({number, envelope}, Context(where), now_, out);
    });
  }

  void DisconnectCaller(std::size_t at, std::size_t which) {
    if (arrivals_.empty()) {
      return;
    }
    const std::uint64_t number = which % arrivals_.size() + 1;
    Run(at, [&](entry& where, effects& out) {
      where.core.OnCallerGone({number}, Context(where), now_, out);
    });
  }

  /// Delivers the oldest frame of a link; the frame stays queued for a
  /// duplicate delivery if `twice` is true.
  void Deliver(std::size_t from, std::size_t to, bool twice) {
    std::deque<peer_message>& link = links_[{from, to}];
    if (link.empty() || entries_[to]->frozen) {
      return;
    }
    const peer_message message = link.front();
    if (!twice) {
      link.pop_front();
    }
    Run(to, [&](entry& where, effects& out) {
      DeliverMessage(where, entries_[from]->who, message, out);
    });
  }

  void Disconnect(std::size_t from, std::size_t to) {
    if (from == to) {
      return;
    }
    links_[{from, to}].clear();
    links_[{to, from}].clear();
    for (const auto& [at, peer] : {std::pair(from, to), std::pair(to, from)}) {
      entries_[at]->lost.push_back(entries_[peer]->who);
      ReportDisconnects(at);
    }
  }

  void Suspect(std::size_t at, std::size_t peer, bool heard) {
    const incarnation who = entries_[peer]->who;
    if (at == peer || entries_[at]->frozen) {
      return;
    }
    if (heard) {
      entries_[at]->suspects.erase(who);
      return;
    }
    entries_[at]->suspects.insert(who);
    Run(at, [&](entry& where, effects& out) {
      where.core.OnPeerSuspected(who, Context(where), now_, out);
    });
  }

  /// Ends a call. `how` is 0 or 1: it ran and was answered; 2: it ran, the
  /// answer was lost; 3: bytes were sent, it did not run; 4: not sent; 5:
  /// refused; 6: refused because the endpoint is leaving.
  void EndCall(std::size_t which, std::size_t how) {
    if (calls_.empty()) {
      return;
    }
    const std::size_t index = which % calls_.size();
    const running call = calls_[index];
    if (entries_[call.at]->frozen) {
      return;
    }
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
    arrival& of = arrivals_.at(call.number - 1);
    of.running -= 1;
    const bool unsent = how >= 4;
    of.may_have_run = of.may_have_run || !unsent;
    Run(call.at, [&](entry& where, effects& out) {
      where.in_flight[call.vm] -= 1;
      if (how < 2) {
        const auto body =
            std::make_shared<const std::string>(std::to_string(call.number));
        where.core.OnEndpointReplied({call.id, 200, {}, body}, Context(where),
                                     now_, out);
        return;
      }
      const endpoint_failure failure = !unsent    ? endpoint_failure::kMaybeSent
                                       : how == 4 ? endpoint_failure::kNotSent
                                                  : endpoint_failure::kRefused;
      where.core.OnEndpointFailed({call.id, failure, how == 6, "test"},
                                  Context(where), now_, out);
    });
  }

  /// Executes the oldest claim command of an entry; if `is_log_unavailable`, an
  /// acquisition fails.
  void Claim(std::size_t at, bool is_log_unavailable) {
    entry& where = *entries_[at];
    if (where.claim_commands.empty() || where.frozen) {
      return;
    }
    const claim_command command = where.claim_commands.front();
    where.claim_commands.pop_front();
    claim_decision decision;
    decision.request = command.request;
    const auto holder = claims_.find(command.key);
    if (command.operation == claim_operation::kRelease) {
      if (holder != claims_.end() && holder->second == command.request) {
        claims_.erase(holder);
      }
      return;
    }
    if (command.operation == claim_operation::kComplete) {
      return;
    }
    if (is_log_unavailable) {
      decision.verdict = claim_verdict::kLogUnavailable;
    } else if (holder != claims_.end()) {
      decision.verdict = claim_verdict::kAlreadyRun;
    } else {
      decision.verdict = claim_verdict::kGranted;
      claims_[command.key] = command.request;
    }
    Run(at, [&](entry& to, effects& out) {
      to.core.OnClaimDecision(decision, Context(to), now_, out);
    });
  }

  /// Advances the time for all entries; a paused entry handles no tick.
  void AdvanceTime(duration time) {
    now_ += time;
    for (std::size_t at = 0; at < kEntries; ++at) {
      Run(at, [&](entry& where, effects& out) {
        where.core.OnTick(Context(where), now_, out);
      });
    }
  }

  /// Pauses or resumes an entry. It handles lost connections when it resumes.
  void Freeze(std::size_t at, bool frozen) {
    entries_[at]->frozen = frozen;
    ReportDisconnects(at);
  }

  /// Removes a member from the view or adds it again. Paused entries learn it
  /// later.
  void ChangeView(std::size_t who) {
    if (fleet_.members.erase(entries_[who]->who) == 0) {
      AddMember(who);
    }
    fleet_.view += 1;
    PublishView();
  }

  void ChangeListing(std::size_t which) {
    vm_listing& listing = listings_[which % listings_.size()];
    listing.state = listing.state == vm_listing_state::kLive
                        ? vm_listing_state::kLeaving
                        : vm_listing_state::kLive;
    PublishView();
  }

  /// Finishes all work, and checks that each arrival was answered.
  void Settle() {
    for (std::size_t at = 0; at < kEntries; ++at) {
      Freeze(at, false);
    }
    for (int round = 0; round < 40; ++round) {
      for (std::size_t from = 0; from < kEntries; ++from) {
        Claim(from, false);
        for (std::size_t to = 0; to < kEntries; ++to) {
          Deliver(from, to, false);
        }
      }
      EndCall(0, 0);
      AdvanceTime(milliseconds(200));
    }
    while (!calls_.empty()) {
      EndCall(0, 0);
    }
    for (const arrival& item : arrivals_) {
      Require(item.answered, "an arrival was not answered", item);
    }
    for (const auto& where : entries_) {
      if (!where->core.Idle()) {
        throw invariant_violation("an entry still holds a request");
      }
    }
  }

 private:
  struct entry {
    explicit entry(std::size_t index)
        : who(static_cast<incarnation>(index + 1)), core(who, index) {}
    incarnation who;
    request_core core;
    endpoint_table table;
    std::set<incarnation> suspects;
    std::deque<claim_command> claim_commands;
    std::map<vm_id, std::uint32_t> in_flight;
    /// Peers whose lost connection has not been reported to it.
    std::vector<incarnation> lost;
    bool frozen = false;
  };

  struct arrival {
    request_envelope envelope;
    bool answered = false;
    bool told_not_run = false;
    bool may_have_run = false;
    int running = 0;
  };

  struct running {
    std::size_t at = 0;
    call_id id = call_id::kNone;
    vm_id vm;
    std::uint64_t number = 0;
  };

  static void Require(bool holds, const char* rule, const arrival& item) {
    if (!holds) {
      throw invariant_violation(std::string(rule) + ": " + item.envelope.path);
    }
  }

  void AddMember(std::size_t index) {
    entry_member member;
    member.who = entries_[index]->who;
    member.zone = zone_id("zone-" + std::to_string(index));
    fleet_.members[member.who] = member;
  }

  void PublishView() {
    for (std::size_t at = 0; at < kEntries; ++at) {
      if (entries_[at]->frozen) {
        continue;
      }
      entries_[at]->table.Rebuild(fleet_, listings_, entries_[at]->who, {});
      Run(at, [&](entry& where, effects& out) {
        where.core.OnEndpointsChanged(Context(where), now_, out);
      });
    }
  }

  routing_context Context(const entry& where) const {
    return {fleet_, where.table, where.suspects, where.who, true};
  }

  void DeliverMessage(entry& where,
                      incarnation from,
                      const peer_message& message,
                      effects& out) {
    std::visit(
        overloaded{[&](const forward_request& item) {
                     where.core.OnForward(from, item, Context(where), now_,
                                          out);
                   },
                   [&](const forward_reply& item) {
                     where.core.OnReply(from, item, Context(where), now_, out);
                   },
                   [&](const cancel_forward& item) {
                     where.core.OnCancel(from, item, Context(where), now_, out);
                   },
                   [&](const heartbeat&) {}},
        message);
  }

  void ReportDisconnects(std::size_t at) {
    if (entries_[at]->frozen) {
      return;
    }
    for (const incarnation lost : std::exchange(entries_[at]->lost, {})) {
      Run(at, [&](entry& where, effects& out) {
        where.core.OnPeerDisconnected(lost, Context(where), now_, out);
      });
    }
  }

  template <typename Step>
  void Run(std::size_t at, Step step) {
    entry& where = *entries_[at];
    if (where.frozen) {
      return;
    }
    effects out;
    step(where, out);
    for (claim_command& command : where.core.TakeClaimCommands()) {
      where.claim_commands.push_back(std::move(command));
    }
    for (const action& item : out.actions) {
      std::visit(overloaded{[&](const answer_caller& done) { Check(done); },
                            [&](const send_frame& send) { Send(at, send); },
                            [&](const call_endpoint& call) { Call(at, call); },
                            [](const auto&) {}},
                 item);
    }
  }

  void Send(std::size_t from, const send_frame& send) {
    const std::size_t to = static_cast<std::size_t>(send.to) - 1;
    links_[{from, to}].push_back(send.frame.message);
  }

  void Call(std::size_t at, const call_endpoint& call) {
    const std::uint64_t number = std::stoull(call.envelope.path);
    arrival& of = arrivals_.at(number - 1);
    Require(!of.told_not_run, "sent after not-run", of);
    if (!of.envelope.idempotent) {
      Require(of.running == 0 && !of.may_have_run, "sent twice", of);
    }
    if (!of.envelope.idempotent && of.envelope.key.has_value()) {
      const auto [first, added] = runs_.emplace(*of.envelope.key, number);
      const arrival& before = arrivals_.at(first->second - 1);
      Require(added || first->second == number || !before.may_have_run,
              "a key ran twice", of);
      first->second = number;
    }
    std::uint32_t& in_flight = entries_[at]->in_flight[call.vm];
    in_flight += 1;
    Require(in_flight <= kSlots, "more calls than slots", of);
    of.running += 1;
    calls_.push_back({at, call.call, call.vm, number});
  }

  void Check(const answer_caller& done) {
    arrival& of = arrivals_.at(done.sequence - 1);
    Require(!of.answered, "answered twice", of);
    of.answered = true;
    const response& answer = done.answer;
    if (answer.result == outcome::kNotRun) {
      Require(of.running == 0 && !of.may_have_run, "not-run after a send", of);
      Require(answer.retry_after.has_value(), "not-run without retry_after",
              of);
      of.told_not_run = true;
    }
    if (answer.result == outcome::kDone) {
      Require(*answer.body == of.envelope.path,
              "the answer belongs to another request", of);
    }
  }

  time_point now_{std::chrono::hours(1)};
  fleet_state fleet_;
  std::vector<vm_listing> listings_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::map<std::pair<std::size_t, std::size_t>, std::deque<peer_message>>
      links_;
  std::vector<running> calls_;
  std::vector<arrival> arrivals_;
  std::map<claim_key, request_id> claims_;
  std::map<claim_key, std::uint64_t> runs_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_CLUSTER_H_
