#include "platform/operation_runner.h"

#include <algorithm>
#include <utility>

#include <caf/after.hpp>

#include "platform/platform_json.h"

namespace plantainhead::platform {
namespace {

constexpr int kAccepted = 202;
constexpr int kTooManyRequests = 429;
constexpr int kClientErrorBegin = 400;
constexpr int kClientErrorEnd = 500;
// After each poll, an operation is not polled again for this multiple of the
// time that the poll took.
constexpr int kPollDelayFactor = 4;

core::operation_result ResultOf(const http_reply& reply) {
  if (reply.IsSuccess()) {
    return reply.status == kAccepted ? core::operation_result::kUnknown
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
    return reply.ErrorText();
  }
}

}  // namespace

operation_runner::operation_runner(link_context* context)
    : link_worker(context, context->options.answer_timeout) {}

void operation_runner::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    ReceiveMessages(self);
    if (!IsStopping() && !pending_.empty()) {
      PollNext();
    }
  }
}

void operation_runner::ReceiveMessages(caf::blocking_actor* self) {
  bool has_more = true;
  const auto on_operation = [&](operation_message& job) {
    const auto now = steady::now();
    pending_.push_back(
        {std::move(job.what), now + options().operation_timeout, now});
  };
  const auto on_stop = [](stop_message) {};
  while (has_more && !IsStopping()) {
    if (pending_.empty()) {
      self->receive(on_operation, on_stop);
    } else {
      self->receive(
          on_operation, on_stop,
          caf::after(TimeUntilNextPoll()) >> [&] { has_more = false; });
    }
  }
}

std::list<operation_runner::pending>::iterator operation_runner::NextToPoll() {
  return std::min_element(pending_.begin(), pending_.end(),
                          [](const pending& left, const pending& right) {
                            return left.next_poll < right.next_poll;
                          });
}

core::duration operation_runner::TimeUntilNextPoll() {
  const auto wait = std::chrono::duration_cast<core::duration>(
      NextToPoll()->next_poll - steady::now());
  return std::max(wait, core::duration::zero());
}

void operation_runner::PollNext() {
  const auto item = NextToPoll();
  const auto start = steady::now();
  auto finished = Poll(*item);
  if (finished.has_value()) {
    Post(std::move(*finished));
    pending_.erase(item);
    return;
  }
  // The platform may take seconds to answer for a VM that has failed while it
  // drains. If such operations were polled again immediately, a few of them
  // would keep all others from being polled, and the loss of a rack would stop
  // every wave. The delay limits each operation to a small share of the time.
  const auto now = steady::now();
  const auto delay = std::max<steady::duration>(
      options().operation_poll, (now - start) * kPollDelayFactor);
  item->next_poll = now + delay;
}

std::optional<core::operation_finished> operation_runner::Poll(
    const pending& item) {
  const http_reply reply = client_.Post(
      "/operations/" + EscapePathSegment(item.what.operation.value()),
      Dump(WriteOperation(item.what.what)));
  const bool is_running =
      reply.outcome == call_outcome::kAnswered && reply.status == kAccepted;
  if (is_running && steady::now() < item.deadline) {
    return std::nullopt;
  }
  return core::operation_finished{item.what.operation, ResultOf(reply),
                                  DetailOf(reply)};
}

}  // namespace plantainhead::platform
