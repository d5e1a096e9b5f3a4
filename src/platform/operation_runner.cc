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
// An operation that takes long to ask is left alone for so many times as long.
constexpr int kPauseFactor = 4;

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
    if (!IsStopping() && !pending_.empty()) {
      AskFirst();
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
          caf::after(UntilFirst()) >> [&] { is_more = false; });
    }
  }
}

std::list<operation_runner::pending>::iterator operation_runner::First() {
  return std::min_element(pending_.begin(), pending_.end(),
                          [](const pending& left, const pending& right) {
                            return left.ask_next < right.ask_next;
                          });
}

core::duration operation_runner::UntilFirst() {
  const auto wait = std::chrono::duration_cast<core::duration>(
      First()->ask_next - steady::now());
  return std::max(wait, core::duration::zero());
}

void operation_runner::AskFirst() {
  const auto item = First();
  const auto start = steady::now();
  auto finished = Ask(*item);
  if (finished.has_value()) {
    Post(std::move(*finished));
    pending_.erase(item);
    return;
  }
  // The platform may wait seconds for a VM that has died while it drains. Asked
  // again at once, a few of these would keep all others from being asked: a
  // lost rack would stop every wave. So each gets a small share of the time.
  const auto now = steady::now();
  const auto pause = std::max<steady::duration>(options().operation_poll,
                                                (now - start) * kPauseFactor);
  item->ask_next = now + pause;
}

std::optional<core::operation_finished> operation_runner::Ask(
    const pending& item) {
  const http_reply reply =
      client_.Post("/operations/" + EscapeSegment(item.what.operation.value()),
                   Dump(WriteOperation(item.what.what)));
  const bool is_running =
      reply.reached == call_outcome::kAnswered && reply.status == kStillRunning;
  if (is_running && steady::now() < item.give_up) {
    return std::nullopt;
  }
  return core::operation_finished{item.what.operation, ResultOf(reply),
                                  DetailOf(reply)};
}

}  // namespace plantainhead::platform
