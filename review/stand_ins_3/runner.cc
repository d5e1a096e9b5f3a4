#include "runner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace plantainhead::review {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxListedEnds = 500;
constexpr std::int64_t kHoldMaxMs = 10'000;
// The longest start-up of a task that lasts, by the sheets (`work_ms`).
constexpr milliseconds kStartupTime(1400);
constexpr int kReadyPercent = 100;
const std::string kDurationPrefix = "ms=";

}  // namespace

runner::runner(boost::asio::io_context* context,
               std::string id,
               const std::string& address,
               run_listener on_run)
    : context_(context),
      id_(std::move(id)),
      on_run_(std::move(on_run)),
      lease_timer_(*context) {
  server_ = std::make_unique<net::http_server>(
      context, address, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) { Handle(request, respond); });
}

runner::~runner() = default;

std::size_t runner::RunningOf(const std::string& job) const {
  return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(), [&job](const auto& held) {
        return held.first.compare(0, job.size() + 1, job + ".") == 0;
      }));
}

std::int64_t runner::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(clock::now() - booted_at_)
      .count();
}

net::server_response runner::Answer(unsigned status, json body) const {
  body["clock_ms"] = ClockMs();
  return {status, {}, body.dump()};
}

void runner::Handle(const net::server_request& request,
                    const net::responder& respond) {
  const std::string& expected =
      net::FindHeader(request.headers, "X-Plantainhead-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    respond(Answer(421, json::object()));
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond(Answer(400, json::object()));
    return;
  }
  const auto token = body.value("fence_token", std::uint64_t{0});
  if (token < fence_) {
    respond(Answer(409, {{"reason", "fence"}}));
    return;
  }
  fence_ = token;
  if (request.target == "/plantainhead/run-start") {
    Start(body, respond);
  } else if (request.target == "/plantainhead/run-stop") {
    const auto task = body.value("task", std::string());
    const auto number = body.value("run", std::uint32_t{0});
    highest_ended_[task] = std::max(highest_ended_[task], number);
    const auto held = running_.find(task);
    if (on_stop && held != running_.end() && held->second.number == number) {
      on_stop(task, PercentOf(held->second) == kReadyPercent);
    }
    End(task, number, "stopped");
    respond(Answer(200, json::object()));
  } else if (request.target == "/plantainhead/hold") {
    Hold(body, respond);
  } else if (request.target == "/plantainhead/pace") {
    respond(Answer(200, json::object()));
  } else {
    respond(Answer(404, json::object()));
  }
}

void runner::Start(const json& body, const net::responder& respond) {
  const auto task = body.value("task", std::string());
  const auto number = body.value("run", std::uint32_t{0});
  const auto held = running_.find(task);
  if (held != running_.end() && held->second.number == number) {
    respond(Answer(200, json::object()));
    return;
  }
  const auto deadline = body.value("deadline_ms", std::int64_t{0});
  if (number <= highest_ended_[task]) {
    ExtendLease(deadline);
    respond(Answer(409, {{"reason", "old"}}));
    return;
  }
  if (deadline <= ClockMs()) {
    respond(Answer(409, {{"reason", "late"}}));
    return;
  }
  ExtendLease(deadline);
  const auto spec = body.value("spec", std::string());
  task_run next;
  next.number = number;
  next.started_at = clock::now();
  if (spec.rfind(kDurationPrefix, 0) == 0) {
    next.duration =
        milliseconds(std::stol(spec.substr(kDurationPrefix.size())));
  }
  running_[task] = next;
  on_run_(task, number, "started");
  if (next.duration.count() > 0) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
    timer->expires_after(next.duration);
    timer->async_wait(
        [this, task, number, timer, life = std::weak_ptr<bool>(life_)](
            const boost::system::error_code& /*error*/) {
          if (!life.expired()) {
            End(task, number, "done");
          }
        });
  }
  respond(Answer(200, json::object()));
}

void runner::End(const std::string& task,
                 std::uint32_t number,
                 const std::string& how) {
  const auto held = running_.find(task);
  if (held == running_.end() || held->second.number != number) {
    return;
  }
  running_.erase(held);
  highest_ended_[task] = std::max(highest_ended_[task], number);
  ended_.push_back({++last_end_, task, number, how});
  on_run_(task, number, how);
  AnswerHolds();
}

void runner::ExtendLease(std::int64_t deadline_ms) {
  const std::int64_t until = std::min(deadline_ms, ClockMs() + kHoldMaxMs);
  if (until <= lease_until_ms_) {
    return;
  }
  lease_until_ms_ = until;
  lease_timer_.expires_at(booted_at_ + milliseconds(until));
  lease_timer_.async_wait([this, life = std::weak_ptr<bool>(life_)](
                              const boost::system::error_code& error) {
    if (error || life.expired()) {
      return;
    }
    const auto lapsed = running_;
    for (const auto& [task, held] : lapsed) {
      End(task, held.number, "lapsed");
    }
  });
}

int runner::PercentOf(const task_run& held) const {
  const auto ran = clock::now() - held.started_at;
  if (held.duration.count() == 0) {
    return static_cast<int>(std::min<std::int64_t>(
        100, 100 * std::chrono::duration_cast<milliseconds>(ran).count() /
                 kStartupTime.count()));
  }
  return static_cast<int>(std::min<std::int64_t>(
      99, 100 * std::chrono::duration_cast<milliseconds>(ran).count() /
              held.duration.count()));
}

net::server_response runner::Listing() const {
  json running = json::array();
  for (const auto& [task, held] : running_) {
    running.push_back(json::array({task, held.number, "", PercentOf(held), 0}));
  }
  json finished = json::array();
  for (const ended_run& end : ended_) {
    if (finished.size() == kMaxListedEnds) {
      break;
    }
    finished.push_back(
        json::array({end.number, end.task, end.run, end.how, ""}));
  }
  return Answer(200, {{"running", running}, {"finished", finished}});
}

void runner::Hold(const json& body, const net::responder& respond) {
  const auto acked = body.value("acked_through", std::uint64_t{0});
  std::erase_if(ended_,
                [acked](const ended_run& end) { return end.number <= acked; });
  ExtendLease(body.value("deadline_ms", std::int64_t{0}));
  const auto wait_ms = body.value("wait_ms", std::int64_t{0});
  if (wait_ms == 0 || !ended_.empty()) {
    respond(Listing());
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(milliseconds(wait_ms));
  timer->async_wait([this, timer, life = std::weak_ptr<bool>(life_)](
                        const boost::system::error_code& error) {
    if (error || life.expired()) {
      return;
    }
    const auto due = std::find_if(
        holds_.begin(), holds_.end(),
        [&timer](const waiting_hold& hold) { return hold.timer == timer; });
    if (due != holds_.end()) {
      const net::responder late = due->respond;
      holds_.erase(due);
      late(Listing());
    }
  });
  holds_.push_back({respond, timer});
}

void runner::AnswerHolds() {
  for (const waiting_hold& hold : std::exchange(holds_, {})) {
    hold.timer->cancel();
    hold.respond(Listing());
  }
}

}  // namespace plantainhead::review
