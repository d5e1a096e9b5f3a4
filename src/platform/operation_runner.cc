#include "platform/operation_runner.h"

#include <algorithm>
#include <utility>

#include <caf/after.hpp>

#include "platform/platform_json.h"

namespace plantainhead::platform {
namespace {

constexpr int kStillRunning = 202;
constexpr int kTooManyRequests = 429;
constexpr int kClientErrorBegin = 400;
constexpr int kClientErrorEnd = 500;

core::operation_result ResultOf(const http_reply& reply) {
  if (reply.IsSuccess()) {
    return reply.status == kStillRunning ? core::operation_result::kUnknown
                                         : core::operation_result::kDone;
  }
  const bool is_refusal = reply.status >= kClientErrorBegin &&
                          reply.status < kClientErrorEnd &&
                          reply.status != kTooManyRequests;
  return is_refusal ? core::operation_result::kRefused
                    : core::operation_result::kUnknown;
}

std::string DetailOf(const http_reply& reply) {
  try {
    const json body = ParseObject(reply.body);
    json_reader in(body, "");
    std::string detail;
    in("detail", detail);
    in("error", detail);
    return detail;
  } catch (const codec_error&) {
    return reply.Fault();
  }
}

}  // namespace

operation_runner::operation_runner(link_context* context)
    : worker(context, context->options.answer_timeout) {}

void operation_runner::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    TakeMessages(self);
    const auto now = steady::now();
    for (auto item = pending_.begin();
         item != pending_.end() && !IsStopping();) {
      if (item->ask_next > now) {
        ++item;
        continue;
      }
      auto finished = Ask(*item);
      if (finished.has_value()) {
        Post(std::move(*finished));
        item = pending_.erase(item);
      } else {
        item->ask_next = steady::now() + options().operation_poll;
        ++item;
      }
    }
  }
}

void operation_runner::TakeMessages(caf::blocking_actor* self) {
  bool is_more = true;
  const auto on_operation = [&](operation_job& job) {
    const auto now = steady::now();
    pending_.push_back(
        {std::move(job.what), now + options().operation_timeout, now});
  };
  const auto on_stop = [](stop_job) {};
  while (is_more && !IsStopping()) {
    if (pending_.empty()) {
      self->receive(on_operation, on_stop);
    } else {
      self->receive(
          on_operation, on_stop,
          caf::after(UntilNext()) >> [&] { is_more = false; });
    }
  }
}

core::duration operation_runner::UntilNext() const {
  auto next = pending_.front().ask_next;
  for (const pending& item : pending_) {
    next = std::min(next, item.ask_next);
  }
  const auto wait =
      std::chrono::duration_cast<core::duration>(next - steady::now());
  return std::max(wait, core::duration::zero());
}

std::optional<core::operation_finished> operation_runner::Ask(
    const pending& item) {
  const http_reply reply =
      client_.Post("/operations/" + EscapeSegment(item.what.operation.value()),
                   Dump(WriteOperation(item.what.what)));
  const bool is_running =
      reply.reached == delivery::kAnswered && reply.status == kStillRunning;
  if (is_running && steady::now() < item.give_up) {
    return std::nullopt;
  }
  return core::operation_finished{item.what.operation, ResultOf(reply),
                                  DetailOf(reply)};
}

}  // namespace plantainhead::platform
