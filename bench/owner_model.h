#ifndef PLANTAINHEAD_BENCH_OWNER_MODEL_H_
#define PLANTAINHEAD_BENCH_OWNER_MODEL_H_

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/requests/request_core.h"
#include "plantainhead/core/visit.h"
#include "routing_models.h"

namespace plantainhead::bench {

/// One owner for each endpoint: the project's own `request_core`s with links,
/// ticks and heartbeats between them.
class owner_model {
 public:
  static constexpr duration kHeartbeat = milliseconds(100);
  /// When others suspect an entry that is silent, and when the view follows.
  static constexpr duration kSuspected = milliseconds(500);
  static constexpr duration kExpelled = seconds(2);

  explicit owner_model(scene* at) : scene_(at) {
    for (std::size_t i = 0; i < kServices; ++i) {
      const core::service_name name("service-" + std::to_string(i));
      core::work_class work;
      work.name = core::class_name("class-" + std::to_string(i));
      work.service = name;
      work.within = seconds(1);
      fleet_.targets.services.push_back({name, {}});
      fleet_.targets.classes.push_back(work);
    }
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      core::vm_listing listing;
      listing.vm = core::vm_id("vm-" + std::to_string(i));
      listing.zone = Zone(i);
      listing.port = static_cast<std::uint16_t>(i + 1);
      listing.slots = kSlots;
      listing.service =
          fleet_.targets.services[scene_->endpoints[i].service()].name;
      listings_.push_back(listing);
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<entry>(i));
      AddMember(i);
    }
    ShowView();
    for (std::size_t i = 0; i < kEntries; ++i) {
      Tick(i);
      Beat(i);
    }
  }

  void Arrive(std::size_t request) {
    const arrival& item = scene_->arrivals[request];
    std::size_t at = item.entry;
    // The balancer takes an entry that is gone out at once.
    while (entries_[at]->crashed || !fleet_.members.contains(Who(at))) {
      at = (at + 1) % kEntries;
    }
    core::request_arrived event;
    event.sequence = request;
    event.request.service = fleet_.targets.services[item.service].name;
    event.request.work = fleet_.targets.classes[item.service].name;
    event.request.path = std::to_string(request);
    event.request.deadline = scene_->time.now() + seconds(5);
    event.request.idempotent = request % 2 == 0;
    Run(at, [this, event](entry& to, core::effects& out) {
      to.core.OnArrival(event, Context(to), Now(), out);
    });
  }

  /// An entry ends without a word; its connections break at once.
  void Crash(std::size_t who) {
    entries_[who]->crashed = true;
    for (std::size_t at = 0; at < kEntries; ++at) {
      scene_->time.After(kFar, [this, at, who] { Lose(at, who); });
    }
    scene_->time.After(kSuspected, [this, who] { Suspect(who, true); });
    scene_->time.After(kExpelled, [this, who] { Leave(who); });
  }

  /// An entry stands still for a while, and handles all it missed afterwards.
  void Freeze(std::size_t who, duration time) {
    entries_[who]->frozen = true;
    scene_->time.After(kSuspected, [this, who] { Suspect(who, true); });
    scene_->time.After(time, [this, who] {
      entry& back = *entries_[who];
      back.frozen = false;
      Suspect(who, false);
      for (auto& missed : std::exchange(back.missed, {})) {
        Run(who, missed);
      }
    });
  }

  /// The view loses a member that goes on and ends what it has, or regains it.
  void Leave(std::size_t who) {
    fleet_.members.erase(Who(who));
    ShowView();
  }
  void Rejoin(std::size_t who) {
    AddMember(who);
    ShowView();
  }

 private:
  struct entry {
    explicit entry(std::size_t index)
        : number(index),
          core(static_cast<core::incarnation>(index + 1), index) {}
    using step = std::function<void(entry&, core::effects&)>;
    std::size_t number;
    core::request_core core;
    core::endpoint_table table;
    std::set<core::incarnation> suspects;
    bool crashed = false;
    bool frozen = false;
    std::vector<step> missed;
  };

  static core::incarnation Who(std::size_t index) {
    return static_cast<core::incarnation>(index + 1);
  }
  static core::zone_id Zone(std::size_t index) {
    return core::zone_id("zone-" + std::to_string(index % kZones));
  }
  time_point Now() const { return scene_->time.now(); }

  void AddMember(std::size_t index) {
    core::entry_member member;
    member.who = Who(index);
    member.zone = Zone(index);
    fleet_.members[member.who] = member;
  }

  core::routing_context Context(const entry& at) const {
    return {fleet_, at.table, at.suspects, Who(at.number), true};
  }

  void ShowView() {
    for (std::size_t at = 0; at < kEntries; ++at) {
      Run(at, [this](entry& to, core::effects& out) {
        to.table.Rebuild(fleet_, listings_, Who(to.number), {});
        to.core.OnEndpointsChanged(Context(to), Now(), out);
      });
    }
  }

  void Suspect(std::size_t who, bool suspected) {
    for (std::size_t at = 0; at < kEntries; ++at) {
      if (at == who) {
        continue;
      }
      Run(at, [this, who, suspected](entry& to, core::effects& out) {
        if (!suspected) {
          to.suspects.erase(Who(who));
          return;
        }
        to.suspects.insert(Who(who));
        to.core.OnPeerSuspected(Who(who), Context(to), Now(), out);
      });
    }
  }

  void Lose(std::size_t at, std::size_t who) {
    Run(at, [this, who](entry& to, core::effects& out) {
      to.core.OnPeerDisconnected(Who(who), Context(to), Now(), out);
    });
  }

  void Tick(std::size_t at) {
    Run(at, [this](entry& to, core::effects& out) {
      to.core.OnTick(Context(to), Now(), out);
    });
    scene_->time.After(milliseconds(20), [this, at] { Tick(at); });
  }

  void Beat(std::size_t at) {
    entry& from = *entries_[at];
    if (!from.frozen && !from.crashed) {
      const auto load = from.core.Load(Context(from), Now());
      for (std::size_t to = 0; to < kEntries; ++to) {
        Run(to, [at, load](entry& peer, core::effects&) {
          peer.core.OnPeerLoad(Who(at), load);
        });
      }
    }
    scene_->time.After(kHeartbeat, [this, at] { Beat(at); });
  }

  void Run(std::size_t at, const entry::step& step) {
    entry& to = *entries_[at];
    if (to.crashed) {
      return;
    }
    if (to.frozen) {
      to.missed.push_back(step);
      return;
    }
    core::effects out;
    step(to, out);
    for (const core::action& item : out.actions) {
      std::visit(core::overloaded{
                     [&](const core::answer_caller& done) { End(done); },
                     [&](const core::send_frame& send) { Send(at, send); },
                     [&](const core::call_endpoint& call) { Call(at, call); },
                     [](const auto&) {}},
                 item);
    }
  }

  void End(const core::answer_caller& done) {
    ending& of = scene_->endings[done.sequence];
    of.done = done.answer.result == core::outcome::kDone;
    of.refused = done.answer.result == core::outcome::kNotRun;
    of.unknown = done.answer.result == core::outcome::kUnknown;
  }

  void Send(std::size_t from, const core::send_frame& send) {
    const std::size_t to = static_cast<std::size_t>(send.to) - 1;
    if (const auto* forward =
            std::get_if<core::forward_request>(&send.frame.message)) {
      scene_->endings[std::stoul(forward->request.path)].hops += 1;
    }
    const duration way = Latency(from % kZones, to % kZones);
    if (entries_[to]->crashed) {
      scene_->time.After(way, [this, from, to] { Lose(from, to); });
      return;
    }
    scene_->time.After(way, [this, from, to, message = send.frame.message] {
      Run(to, [this, from, message](entry& peer, core::effects& out) {
        Hand(peer, Who(from), message, out);
      });
    });
  }

  void Hand(entry& to,
            core::incarnation from,
            const core::peer_message& message,
            core::effects& out) {
    std::visit(core::overloaded{
                   [&](const core::forward_request& item) {
                     to.core.OnForward(from, item, Context(to), Now(), out);
                   },
                   [&](const core::forward_reply& item) {
                     to.core.OnReply(from, item, Context(to), Now(), out);
                   },
                   [&](const core::cancel_forward& item) {
                     to.core.OnCancel(from, item, Context(to), Now(), out);
                   },
                   [](const core::heartbeat&) {}},
               message);
  }

  void Call(std::size_t at, const core::call_endpoint& call) {
    const std::size_t request = std::stoul(call.envelope.path);
    scene_->Call(request, call.port - 1u, at % kZones,
                 [this, at, id = call.call] {
                   Run(at, [this, id](entry& to, core::effects& out) {
                     to.core.OnEndpointReplied({id, 200, {}, nullptr},
                                               Context(to), Now(), out);
                   });
                 });
  }

  scene* scene_;
  core::fleet_state fleet_;
  std::vector<core::vm_listing> listings_;
  std::vector<std::unique_ptr<entry>> entries_;
};

}  // namespace plantainhead::bench

#endif  // PLANTAINHEAD_BENCH_OWNER_MODEL_H_
