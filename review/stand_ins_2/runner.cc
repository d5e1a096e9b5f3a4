#include "runner.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace plantainhead::review {
namespace {

using json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLeaseCheck(20);

}  // namespace

runner::runner(boost::asio::io_context* context,
               std::string id,
               std::string address,
               milliseconds task_time)
    : context_(context),
      id_(std::move(id)),
      address_(std::move(address)),
      task_time_(task_time) {
  Listen();
}

void runner::Listen() {
  born_at_ = steady_clock::now();
  server_ = std::make_unique<net::http_server>(
      context_, address_, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) { Handle(request, respond); });
}

void runner::Crash() {
  ++life_;
  server_.reset();
  running_.clear();
  highest_.clear();
  ended_.clear();
  holds_.clear();
  last_end_ = 0;
  fence_ = 0;
  lease_until_ = 0;
}

void runner::Restart(const std::string& id) {
  id_ = id;
  Listen();
}

std::string runner::Entry(const std::string& service) const {
  return json{{"service", service},
              {"address", address_},
              {"zone", "zone-1"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"seq", Clock()},
              {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}},
              {"labels", json::array({"a", "r1-1"})}}
      .dump();
}

std::int64_t runner::Clock() const {
  return duration_cast<milliseconds>(steady_clock::now() - born_at_).count();
}

void runner::After(milliseconds time, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(time);
  timer->async_wait([this, timer, life = life_, action = std::move(action)](
                        const boost::system::error_code& /*error*/) {
    if (life == life_) {
      action();
    }
  });
}

void runner::Handle(const net::server_request& request,
                    const net::responder& respond) {
  const auto answer = [this, &respond](unsigned status, json body) {
    body["clock_ms"] = Clock();
    respond({status, {}, body.dump()});
  };
  const std::string& expected =
      net::FindHeader(request.headers, "X-Plantainhead-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    answer(421, json::object());
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    answer(400, json::object());
    return;
  }
  const auto token = body.value("fence_token", std::uint64_t{0});
  if (token < fence_) {
    answer(409, {{"reason", "fence"}});
    return;
  }
  fence_ = token;
  if (request.target == "/plantainhead/run-start") {
    Start(request, respond);
  } else if (request.target == "/plantainhead/hold") {
    Hold(request, respond);
  } else if (request.target == "/plantainhead/run-stop") {
    const auto task = body.value("task", "");
    const auto run = body.value("run", 0U);
    highest_[task] = std::max(highest_[task], run);
    End(task, run, "stopped");
    answer(200, json::object());
  } else {
    answer(200, json::object());
  }
}

void runner::Start(const net::server_request& request,
                   const net::responder& respond) {
  const auto answer = [this, &respond](unsigned status, json body) {
    body["clock_ms"] = Clock();
    respond({status, {}, body.dump()});
  };
  const json body = json::parse(request.body);
  const auto task = body.value("task", "");
  const auto run = body.value("run", 0U);
  const auto deadline = body.value("deadline_ms", std::int64_t{0});
  const auto held = running_.find(task);
  if (held != running_.end() && held->second.run == run) {
    answer(200, json::object());
    return;
  }
  if (run <= highest_[task]) {
    ExtendLease(deadline);
    answer(409, {{"reason", "old"}});
    return;
  }
  if (deadline <= Clock()) {
    answer(409, {{"reason", "late"}});
    return;
  }
  ExtendLease(deadline);
  highest_[task] = run;
  running_[task] = {run, steady_clock::now()};
  After(task_time_, [this, task, run] { End(task, run, "done"); });
  answer(200, json::object());
  if (on_start) {
    on_start(task, run);
  }
}

void runner::ExtendLease(std::int64_t deadline) {
  if (deadline <= lease_until_) {
    return;
  }
  lease_until_ = deadline;
  After(milliseconds(deadline - Clock()) + kLeaseCheck, [this] {
    if (Clock() < lease_until_) {
      return;
    }
    const auto lapsed = running_;
    for (const auto& [task, work] : lapsed) {
      End(task, work.run, "lapsed");
    }
  });
}

void runner::End(const std::string& task,
                 std::uint32_t run,
                 const std::string& how) {
  const auto held = running_.find(task);
  if (held == running_.end() || held->second.run != run) {
    return;
  }
  running_.erase(held);
  ended_.push_back({++last_end_, task, run, how});
  if (on_end) {
    on_end(task, run, how);
  }
  AnswerHolds();
}

std::string runner::Listing() const {
  json running = json::array();
  for (const auto& [task, work] : running_) {
    const auto worked =
        duration_cast<milliseconds>(steady_clock::now() - work.began_at);
    const auto percent = std::min<std::int64_t>(
        99,
        100 * worked.count() / std::max<std::int64_t>(1, task_time_.count()));
    running.push_back(json::array({task, work.run, "", percent, 1000}));
  }
  json finished = json::array();
  for (const end& one : ended_) {
    finished.push_back(
        json::array({one.number, one.task, one.run, one.how, ""}));
  }
  return json{
      {"clock_ms", Clock()}, {"running", running}, {"finished", finished}}
      .dump();
}

void runner::Hold(const net::server_request& request,
                  const net::responder& respond) {
  const json body = json::parse(request.body);
  const auto acked = body.value("acked_through", std::uint64_t{0});
  std::erase_if(ended_,
                [acked](const end& one) { return one.number <= acked; });
  if (body.contains("deadline_ms")) {
    ExtendLease(body["deadline_ms"].get<std::int64_t>());
  }
  const auto wait = body.value("wait_ms", 0);
  if (wait == 0 || !ended_.empty()) {
    respond({200, {}, Listing()});
    return;
  }
  holds_.push_back(respond);
  After(milliseconds(wait), [this] { AnswerHolds(); });
}

void runner::AnswerHolds() {
  std::vector<net::responder> waiting;
  waiting.swap(holds_);
  for (const net::responder& respond : waiting) {
    respond({200, {}, Listing()});
  }
}

}  // namespace plantainhead::review
