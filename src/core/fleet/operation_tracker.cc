#include "plantainhead/core/fleet/operation_tracker.h"

namespace plantainhead::core {

operation_tracker::operation_tracker(duration resend_after,
                                     duration retry_delay)
    : resend_after_(resend_after), retry_delay_(retry_delay) {}

std::optional<operation_result> operation_tracker::EnsureSent(
    const operation_id& id,
    const platform_operation& what,
    time_point now,
    effects& out) {
  const auto [found, is_new] = entries_.try_emplace(id);
  entry& item = found->second;
  item.requested_at = now;
  if (item.result) {
    return item.result;
  }
  const bool is_due = item.retry_at ? now >= *item.retry_at
                                    : now - item.sent_at >= resend_after_;
  if (is_new || is_due) {
    item.sent_at = now;
    item.retry_at.reset();
    out.Do(run_operation{id, what});
  }
  return std::nullopt;
}

void operation_tracker::Finish(const operation_finished& event,
                               time_point now) {
  const auto found = entries_.find(event.operation);
  if (found == entries_.end() || found->second.result) {
    return;
  }
  entry& item = found->second;
  item.detail = event.detail;
  if (event.result == operation_result::kUnknown) {
    item.retry_at = now + retry_delay_;
    return;
  }
  item.result = event.result;
  item.ended_at = now;
}

bool operation_tracker::HasEnded(const operation_id& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.result.has_value();
}

std::optional<time_point> operation_tracker::DoneAt(
    const operation_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() ||
      found->second.result != operation_result::kDone) {
    return std::nullopt;
  }
  return found->second.ended_at;
}

std::string operation_tracker::DetailOf(const operation_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::string() : found->second.detail;
}

void operation_tracker::Forget(time_point before) {
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.requested_at < before;
  });
}

}  // namespace plantainhead::core
