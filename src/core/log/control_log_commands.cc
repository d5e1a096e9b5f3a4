#include <string>
#include <utility>
#include <variant>

#include "plantainhead/core/log/control_log.h"
#include "plantainhead/core/visit.h"

// Answers of the control_log to operators' commands.
namespace plantainhead::core {
namespace {

bool IsForOperators(const record_body& body) {
  return std::visit(
      overloaded{
          [](const publish_configuration&) { return true; },
          [](const start_wave&) { return true; },
          [](const submit_job&) { return true; },
          [](const set_wave_state& item) { return item.epoch == 0; },
          [](const set_job_state& item) { return item.epoch == 0; },
          [](const set_quarantine& item) { return item.epoch == 0; },
          [](const auto&) { return false; },
      },
      body);
}

command_result ResultOf(fold_outcome outcome) {
  switch (outcome) {
    case fold_outcome::kApplied:
      return command_result::kAccepted;
    case fold_outcome::kConflict:
      return command_result::kConflict;
    case fold_outcome::kIgnored:
      return command_result::kInvalid;
    case fold_outcome::kDuplicate:
      // The first copy precedes the snapshot that this entry started from, so
      // its outcome is not known here.
      return command_result::kUnknown;
  }
  return command_result::kUnknown;
}

std::string ExplainTimeout(const std::optional<withdrawal>& end,
                           const record_id& id) {
  if (!end) {
    return "the change was appended as record " + id.value() +
           " but could not be read back in time";
  }
  if (*end == withdrawal::kMaybeWritten) {
    return "the log did not answer; the change may still appear as record " +
           id.value() + " and will not be appended again";
  }
  return "the log could not be reached or refused the change; it was not "
         "written and will not be";
}

}  // namespace

void control_log::OnCommand(time_point now,
                            const operator_command& event,
                            effects& out) {
  const auto answer = [&](command_result result, std::string detail) {
    out.Do(answer_operator{event.sequence, result, 0, std::move(detail)});
  };
  if (!IsForOperators(event.body)) {
    answer(command_result::kInvalid,
           "operators cannot write records of this type");
    return;
  }
  if (fault_ != log_fault::kNone) {
    answer(command_result::kUnknown, "nothing was written: " + fault_detail_);
    return;
  }
  const std::optional<record_id> id = queue_.Push(event.author, event.body);
  if (!id) {
    answer(command_result::kUnknown,
           "nothing was written: the record queue is full");
    return;
  }
  commands_[*id] = {event.sequence, now + settings_.command_timeout};
  AppendPending(now, out);
}

void control_log::AnswerReadBack(const log_entry& entry,
                                 const fold_result& result,
                                 effects& out) {
  const auto it = commands_.find(entry.content.id);
  if (it == commands_.end()) {
    return;
  }
  out.Do(answer_operator{it->second.sequence, ResultOf(result.outcome),
                         entry.offset, result.detail});
  commands_.erase(it);
}

void control_log::RenameCommands(const std::vector<renamed_record>& renamed) {
  for (const renamed_record& item : renamed) {
    if (auto node = commands_.extract(item.from); !node.empty()) {
      node.key() = item.to;
      commands_.insert(std::move(node));
    }
  }
}

void control_log::AnswerTimedOut(time_point now, effects& out) {
  for (auto it = commands_.begin(); it != commands_.end();) {
    const auto& [id, waiting] = *it;
    if (now < waiting.deadline) {
      ++it;
      continue;
    }
    out.Do(answer_operator{waiting.sequence, command_result::kUnknown, 0,
                           ExplainTimeout(queue_.Withdraw(id), id)});
    it = commands_.erase(it);
  }
}

}  // namespace plantainhead::core
