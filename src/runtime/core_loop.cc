#include "runtime/core_loop.h"

#include <utility>
#include <variant>

#include "plantainhead/core/visit.h"

namespace plantainhead::runtime {
namespace {

struct core_loop_state {
  std::unique_ptr<core_loop> loop;
};

}  // namespace

core_loop::core_loop(caf::event_based_actor* self, core_loop_options options)
    : self_(self), options_(std::move(options)), core_(options_.core) {}

caf::behavior core_loop::MakeBehavior() {
  Carry(core_.Start(options_.now()));
  ScheduleTick();
  return {
      [this](core_tick) {
        Handle(core::tick{});
        ScheduleTick();
      },
      [this](const core_event& message) { Handle(*message.item); },
      [this](const core_submit& message) {
        const std::uint64_t sequence = ++last_sequence_;
        core::request_arrived event{sequence,
                                    std::move(message.request->envelope)};
        // Kept for metrics; the decisions have a copy whose body is shared.
        message.request->envelope = event.request;
        requests_.emplace(sequence,
                          waiting_request{message.request, options_.now()});
        Handle(event);
      },
      [this](const core_command& message) {
        const std::uint64_t sequence = ++last_sequence_;
        commands_.emplace(sequence, message.command);
        Handle(core::operator_command{sequence, message.command->author,
                                      message.command->body});
      },
      [this](const core_query& message) {
        message.query->run(core_);
        message.query->done.set_value();
      },
  };
}

void core_loop::ScheduleTick() {
  self_->delayed_send(self_, core::kTickInterval, core_tick{});
}

void core_loop::Handle(const core::event& item) {
  Carry(core_.Handle(item, options_.now()));
  if (std::holds_alternative<core::log_read>(item)) {
    options_.handlers.folded(core_.fleet());
  }
}

void core_loop::Carry(core::action_list actions) {
  action_handlers& to = options_.handlers;
  const core::overloaded carry{
      [&](core::answer_caller& item) { Answer(item); },
      [&](core::answer_operator& item) { Answer(item); },
      [&](core::send_frame& item) { to.send_frame(std::move(item)); },
      [&](core::call_endpoint& item) { to.call_endpoint(std::move(item)); },
      [&](core::append_records& item) { to.append(std::move(item)); },
      [&](core::follow_stream& item) { to.follow(std::move(item)); },
      [&](core::unfollow_stream& item) { to.unfollow(std::move(item)); },
      [&](core::run_operation& item) { to.run(std::move(item)); },
      [&](core::set_ready& item) { to.set_ready(item.ready, item.reason); },
      [&](core::write_log_message& item) { to.note(item); },
      [&](core::exit_process& item) { to.exited(item.restart); },
  };
  for (core::action& item : actions) {
    std::visit(carry, item);
  }
}

void core_loop::Answer(const core::answer_caller& item) {
  const auto found = requests_.find(item.sequence);
  if (found == requests_.end()) {
    return;
  }
  const waiting_request waiting = std::move(found->second);
  requests_.erase(found);
  options_.handlers.answered(waiting.request->envelope, item.answer,
                             waiting.arrived, options_.now());
  waiting.request->answer.set_value(item.answer);
}

void core_loop::Answer(const core::answer_operator& item) {
  const auto found = commands_.find(item.sequence);
  if (found == commands_.end()) {
    return;
  }
  found->second->answer.set_value(item);
  commands_.erase(found);
}

caf::actor SpawnCoreLoop(caf::actor_system& system, core_loop_options options) {
  const auto run = [](caf::stateful_actor<core_loop_state>* self,
                      const std::shared_ptr<core_loop_options>& shared) {
    self->state.loop = std::make_unique<core_loop>(self, std::move(*shared));
    return self->state.loop->MakeBehavior();
  };
  return system.spawn<caf::detached>(
      run, std::make_shared<core_loop_options>(std::move(options)));
}

}  // namespace plantainhead::runtime
