#ifndef PLANTAINHEAD_TESTS_CORE_ENTRY_ENTRY_FLEET_H_
#define PLANTAINHEAD_TESTS_CORE_ENTRY_ENTRY_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/log/memory_log.h"
#include "plantainhead/core/entry/entry_core.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

// Simulation of several complete entries, the platform and the endpoints in
// virtual time. Messages take one step, a call takes `service_time`, and the
// log is read at each step unless `read_interval` or `log_delay` slows it down.
class entry_fleet {
 public:
  static constexpr duration kStep = kTickInterval;
  // Header that identifies the request.
  static constexpr char kMark[] = "Test-Mark";

  struct entry {
    std::unique_ptr<entry_core> core;
    std::map<stream_name, log_offset> followed;
    std::vector<event> inbox;
    std::map<std::uint64_t, response> answers;
    std::uint64_t arrivals = 0;
    bool alive = true;
    bool frozen = false;
    bool exited = false;
    bool restart = false;
    bool ready = false;
    bool list_is_down = false;
    bool log_is_slow = false;
    time_point next_read;
  };

  struct command_answer {
    answer_operator answer;
    time_point at;
  };

  struct late_append {
    time_point due;
    incarnation who;
    append_records content;
  };

  struct endpoint_call {
    incarnation caller;
    call_endpoint request;
    time_point ends;
  };

  static planner_options FastPlannerOptions() {
    planner_options options;
    options.drain_notice = std::chrono::seconds(2);
    options.max_deadline = std::chrono::seconds(5);
    return options;
  }

  explicit entry_fleet(std::size_t count,
                       planner_options planning = FastPlannerOptions())
      : planning_(planning) {
    for (std::size_t i = 1; i <= count; ++i) {
      Add(i);
    }
  }

  // Starts an entry. A process that replaces another gets the name of the
  // process numbered `place`.
  entry& Add(std::uint64_t number, std::uint64_t place = 0) {
    entry_core_options options;
    options.self.who = incarnation{number};
    options.self.name =
        entry_id("entry-" + std::to_string(place == 0 ? number : place));
    options.self.zone = zone_id("suwon");
    options.seed = number;
    options.planner = planning_;
    entry& made = entries[options.self.who];
    made.core = std::make_unique<entry_core>(options);
    Execute(options.self.who, Trace(nullptr, made.core->Start(now)));
    return made;
  }

  void AddVm(const std::string& name, const std::string& zone) {
    vm_listing vm;
    vm.vm = vm_id(name);
    vm.zone = zone_id(zone);
    vm.rack = rack_id(zone + "-rack");
    vm.pool = pool_id("casework");
    vm.host = "10.0.0.1";
    vm.port = 80;
    vm.service = service_name("intake");
    vm.slots = 8;
    vms.push_back(vm);
  }

  // Returns targets with one service, one class and one pool.
  static configuration Targets() {
    configuration targets;
    targets.pools = {{pool_id("casework"), team_id(), 0}};
    targets.services = {{service_name("intake"), {pool_id("casework")}}};
    work_class petitions;
    petitions.name = class_name("petitions");
    petitions.service = service_name("intake");
    petitions.unavailability = 0.05;
    targets.classes = {petitions};
    return targets;
  }

  // Publishes targets and steps until all entries are ready.
  void Begin(const configuration& targets = Targets()) {
    Command(incarnation{1}, publish_configuration{targets, 0});
    StepUntil([&] {
      return std::all_of(entries.begin(), entries.end(), [](const auto& item) {
        return item.second.ready &&
               item.second.core->fleet().targets_version == 1;
      });
    });
  }

  // Sends a request to an entry. Returns the sequence number for `AnswerOf`.
  std::uint64_t SendRequest(incarnation at,
                            std::optional<std::string> key = std::nullopt,
                            duration timeout = std::chrono::seconds(4)) {
    request_arrived event;
    event.sequence = ++entries[at].arrivals;
    event.request.caller = caller_id("surgery");
    event.request.service = service_name("intake");
    event.request.method = "POST";
    event.request.path = "/appeals";
    event.request.headers.push_back({kMark, MarkOf(at, event.sequence)});
    event.request.deadline = now + timeout;
    event.request.idempotent = !key.has_value();
    if (key) {
      event.request.key = claim_key("surgery/" + *key);
    }
    Deliver(at, event);
    return event.sequence;
  }

  // Returns the header value that distinguishes the runs of this request from
  // those of another with the same key.
  static std::string MarkOf(incarnation at, std::uint64_t sequence) {
    return std::to_string(static_cast<std::uint64_t>(at)) + "-" +
           std::to_string(sequence);
  }

  // Breaks a connection: each side loses the frames in flight from the other.
  // The next frame reconnects them.
  void Disconnect(incarnation left, incarnation right) {
    for (const auto& [at, peer] : {std::pair(left, right), {right, left}}) {
      std::erase_if(entries[at].inbox, [&](const event& item) {
        const auto* received = std::get_if<frame_received>(&item);
        return received != nullptr && received->frame.from == peer;
      });
      entries[at].inbox.push_back(peer_disconnected{peer});
    }
  }

  // Sends an operator's command to an entry. Returns the sequence number of its
  // answer in `command_answers`.
  std::uint64_t Command(incarnation at,
                        record_body body,
                        const std::string& author = "ann") {
    Deliver(at, operator_command{++commands_, author, std::move(body)});
    return commands_;
  }

  const response* AnswerOf(incarnation at, std::uint64_t sequence) {
    const auto& answers = entries[at].answers;
    const auto found = answers.find(sequence);
    return found == answers.end() ? nullptr : &found->second;
  }

  void Kill(incarnation who) {
    entries[who].alive = false;
    for (auto& [other, item] : entries) {
      item.inbox.push_back(peer_disconnected{who});
    }
  }

  void Step() {
    now += kStep;
    EndCalls();
    WriteLate();
    for (auto& [who, item] : entries) {
      if (!item.alive || item.frozen || item.exited) {
        continue;
      }
      for (event& waiting : std::exchange(item.inbox, {})) {
        Deliver(who, waiting);
      }
      if (!item.log_is_slow) {
        ReadLog(who);
      }
      if (!list_is_down && !item.list_is_down) {
        Deliver(who, vm_list_read{vms, {}});
      }
      Deliver(who, tick{});
    }
  }

  void StepFor(duration time) {
    for (const time_point end = now + time; now < end;) {
      Step();
      if (each_step) {
        each_step();
      }
    }
  }

  template <typename Condition>
  bool StepUntil(Condition holds, duration bound = std::chrono::seconds(120)) {
    for (const time_point end = now + bound; now < end;) {
      if (holds()) {
        return true;
      }
      StepFor(kStep);
    }
    return holds();
  }

  time_point now{std::chrono::hours(1)};
  duration service_time = std::chrono::milliseconds(100);
  std::map<incarnation, entry> entries;
  memory_log log;
  bool log_is_down = false;
  bool list_is_down = false;
  // Duration of an append, interval between reads of each entry, and maximum
  // number of records per read (0 for no limit).
  duration log_delay{};
  duration read_interval{};
  std::size_t read_limit = 0;
  std::vector<late_append> late_appends;
  std::map<std::uint64_t, command_answer> command_answers;
  std::vector<vm_listing> vms;
  std::vector<endpoint_call> calls;
  // Number of started runs by key and by mark, and of calls that a reboot
  // interrupted.
  std::map<std::string, int> runs_of_key;
  std::map<std::string, int> runs_of_mark;
  int calls_interrupted_by_reboot = 0;
  int runs_after_drain = 0;
  std::map<vm_id, int> reboots;
  std::function<void()> each_step;
  // Called with each event of any entry (null for its start) and the resulting
  // actions.
  std::function<void(const event*, const action_list&)> trace;

 private:
  void Deliver(incarnation who, const event& item) {
    Execute(who, Trace(&item, entries[who].core->Handle(item, now)));
  }

  action_list Trace(const event* cause, action_list actions) {
    if (trace) {
      trace(cause, actions);
    }
    return actions;
  }

  void ReadLog(incarnation who) {
    entry& item = entries[who];
    if (now < item.next_read) {
      return;
    }
    item.next_read = now + read_interval;
    const auto followed = item.followed;
    for (const auto& [name, after] : followed) {
      if (log_is_down) {
        Deliver(who, log_unavailable{name, "down"});
        continue;
      }
      log_read read = log.Read(name, after);
      if (read_limit != 0 && read.entries.size() > read_limit) {
        read.entries.resize(read_limit);
      }
      if (!read.entries.empty()) {
        item.followed[name] = read.entries.back().offset;
      }
      Deliver(who, read);
    }
  }

  bool IsListed(const vm_id& vm) const {
    return std::any_of(vms.begin(), vms.end(),
                       [&](const vm_listing& item) { return item.vm == vm; });
  }

  void EndCalls() {
    std::vector<endpoint_call> open;
    for (endpoint_call& call : calls) {
      if (call.ends > now) {
        open.push_back(std::move(call));
        continue;
      }
      if (!IsListed(call.request.vm)) {
        entries[call.caller].inbox.push_back(endpoint_failed{
            call.request.call, endpoint_failure::kMaybeSent, false, "lost"});
        continue;
      }
      endpoint_replied reply;
      reply.call = call.request.call;
      reply.status = 200;
      reply.body = std::make_shared<const std::string>(
          call.request.envelope.path + call.request.vm.value());
      entries[call.caller].inbox.push_back(std::move(reply));
    }
    calls = std::move(open);
  }

  void StartCall(incarnation who, call_endpoint request) {
    for (const auto& [name, value] : request.envelope.headers) {
      runs_of_mark[value] += name == kMark ? 1 : 0;
    }
    if (request.envelope.key) {
      ++runs_of_key[request.envelope.key->value()];
    }
    calls.push_back({who, std::move(request), now + service_time});
  }

  void Append(incarnation who, append_records item) {
    if (log_is_down) {
      entries[who].inbox.push_back(
          append_finished{item.append, append_result::kRejected, 0});
      return;
    }
    if (log_delay > duration::zero()) {
      late_appends.push_back({now + log_delay, who, std::move(item)});
      return;
    }
    Write(who, std::move(item));
  }

  void Write(incarnation who, append_records item) {
    const log_offset first = log.Append(item.stream, std::move(item.records));
    entries[who].inbox.push_back(
        append_finished{item.append, append_result::kAppended, first});
  }

  void WriteLate() {
    for (late_append& item : std::exchange(late_appends, {})) {
      if (item.due > now) {
        late_appends.push_back(std::move(item));
      } else {
        Write(item.who, std::move(item.content));
      }
    }
  }

  void Run(incarnation who, const run_operation& item) {
    if (const auto* reboot = std::get_if<reboot_vm>(&item.what)) {
      if (done_operations_.insert(item.operation).second) {
        ++reboots[reboot->vm];
        calls_interrupted_by_reboot += static_cast<int>(std::count_if(
            calls.begin(), calls.end(),
            [&](const auto& call) { return call.request.vm == reboot->vm; }));
      }
    }
    entries[who].inbox.push_back(
        operation_finished{item.operation, operation_result::kDone, ""});
  }

  void Send(incarnation who, send_frame item) {
    const auto to = entries.find(item.to);
    if (to == entries.end() || !to->second.alive || to->second.exited) {
      entries[who].inbox.push_back(peer_disconnected{item.to});
      return;
    }
    to->second.inbox.push_back(frame_received{std::move(item.frame)});
  }

  void Execute(incarnation who, action_list actions) {
    entry& self = entries[who];
    const overloaded carry{
        [&](answer_caller& item) {
          duplicate_answers += self.answers.contains(item.sequence) ? 1 : 0;
          self.answers[item.sequence] = std::move(item.answer);
        },
        [&](send_frame& item) { Send(who, std::move(item)); },
        [&](call_endpoint& item) { StartCall(who, std::move(item)); },
        [&](append_records& item) { Append(who, std::move(item)); },
        [&](follow_stream& item) { self.followed[item.stream] = item.after; },
        [&](unfollow_stream& item) { self.followed.erase(item.stream); },
        [&](run_operation& item) { Run(who, item); },
        [&](answer_operator& item) {
          command_answers[item.sequence] = {item, now};
        },
        [&](set_ready& item) { self.ready = item.ready; },
        [&](exit_process& item) {
          self.exited = true;
          self.restart = item.restart;
        },
        [](auto&) {},
    };
    for (action& item : actions) {
      std::visit(carry, item);
    }
  }

 public:
  int duplicate_answers = 0;

 private:
  planner_options planning_;
  std::set<operation_id> done_operations_;
  std::uint64_t commands_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_ENTRY_ENTRY_FLEET_H_
