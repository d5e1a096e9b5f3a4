#ifndef PLANTAINHEAD_SRC_RUNTIME_CORE_LOOP_H_
#define PLANTAINHEAD_SRC_RUNTIME_CORE_LOOP_H_

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <unordered_map>

#include <caf/all.hpp>

#include "plantainhead/core/entry/entry_core.h"
#include "plantainhead/core/entry/events.h"

namespace plantainhead::runtime {

/// Messages to the actor that owns the decisions. Each carries a pointer, since
/// they never leave the process and CAF would ask for serialisation else.
struct core_event {
  std::shared_ptr<const core::event> item;
};

struct submitted_request {
  core::request_envelope envelope;
  std::promise<core::response> answer;
};
struct core_submit {
  std::shared_ptr<submitted_request> request;
};

struct submitted_command {
  std::string author;
  core::record_body body;
  std::promise<core::answer_operator> answer;
};
struct core_command {
  std::shared_ptr<submitted_command> command;
};

struct submitted_query {
  std::function<void(const core::entry_core&)> run;
  std::promise<void> done;
};
struct core_query {
  std::shared_ptr<submitted_query> query;
};

struct core_tick {};

/// What the actor calls to carry out the actions that go to the links. All are
/// called from the actor's thread.
struct action_handlers {
  std::function<void(core::send_frame)> send_frame;
  std::function<void(core::call_endpoint)> call_endpoint;
  std::function<void(core::append_records)> append;
  std::function<void(core::follow_stream)> follow;
  std::function<void(core::unfollow_stream)> unfollow;
  std::function<void(core::run_operation)> run;
  std::function<void(bool ready, const std::string& reason)> set_ready;
  std::function<void(const core::write_log_message&)> note;
  /// Told of each answer, for metrics and the burn report.
  std::function<void(const core::request_envelope&,
                     const core::response&,
                     core::time_point arrived,
                     core::time_point now)>
      answered;
  /// Told when the fold may have changed.
  std::function<void(const core::fleet_state&)> folded;
  std::function<void(bool restart)> exited;
};

struct core_loop_options {
  core::entry_core_options core;
  std::function<core::time_point()> now;
  action_handlers handlers;
};

/// State of the actor: the decisions, and the promises of those that wait.
class core_loop {
 public:
  core_loop(caf::event_based_actor* self, core_loop_options options);

  caf::behavior MakeBehavior();

 private:
  struct waiting_request {
    std::shared_ptr<submitted_request> request;
    core::time_point arrived;
  };

  void Handle(const core::event& item);
  void Carry(core::action_list actions);
  void Answer(const core::answer_caller& item);
  void Answer(const core::answer_operator& item);
  void ScheduleTick();

  caf::event_based_actor* self_;
  core_loop_options options_;
  core::entry_core core_;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<std::uint64_t, waiting_request> requests_;
  std::unordered_map<std::uint64_t, std::shared_ptr<submitted_command>>
      commands_;
};

/// Starts the actor on a thread of its own, so that no other actor's work can
/// hold up its heartbeats.
caf::actor SpawnCoreLoop(caf::actor_system& system, core_loop_options options);

}  // namespace plantainhead::runtime

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::runtime::core_event)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::runtime::core_submit)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::runtime::core_command)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::runtime::core_query)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::runtime::core_tick)

#endif  // PLANTAINHEAD_SRC_RUNTIME_CORE_LOOP_H_
