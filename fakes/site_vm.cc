#include "site_vm.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace plantainhead::fakes {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Of the first life, in milliseconds since 1970.
constexpr std::int64_t kFirstBorn = 1'700'000'000'000;

}  // namespace

net::server_response site_vm::Answer(unsigned status,
                                     nlohmann::json body) const {
  const auto clock = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - clock_zero_);
  body["clock_ms"] = clock.count();
  return {status, {}, body.dump()};
}

site_vm::site_vm(boost::asio::io_context* context,
                 std::string id,
                 const std::string& address,
                 std::chrono::milliseconds task_time)
    : context_(context),
      id_(std::move(id)),
      address_(address),
      task_time_(task_time) {
  lapse_timer_ = std::make_shared<boost::asio::steady_timer>(*context);
  Listen();
}

void site_vm::Listen() {
  server_.reset();
  server_ = std::make_unique<net::http_server>(
      context_, address_, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) { Handle(request, respond); });
}

std::string site_vm::RegistryValue(const std::string& pool,
                                   const std::string& address) const {
  return json{{"service", pool},
              {"address", address.empty() ? address_ : address},
              {"zone", "zone-1"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"seq", 1},
              {"born", kFirstBorn + life_},
              {"capacity", {{"cpu", 4000}, {"mem_mb", 8000}, {"gpu", 0}}},
              {"labels", json::array({"a", "r1"})}}
      .dump();
}

void site_vm::Crash() {
  is_silent = true;
  running_.clear();
  holds_.clear();
  lapse_timer_->cancel();
}

void site_vm::BeginLife(const std::string& id) {
  id_ = id;
  ++life_;
  clock_zero_ = steady_clock::now();
  highest_.clear();
  ended_.clear();
  last_end_ = 0;
  fence_ = 0;
  lease_until_ = {};
  is_silent = false;
  calls_ = 0;
  Listen();
}

void site_vm::Tell(vm_event event,
                   const std::string& task,
                   std::uint32_t run) const {
  if (on_event) {
    on_event(event, task, run);
  }
}

void site_vm::ExtendLease(std::int64_t deadline_ms) {
  const steady_clock::time_point until =
      clock_zero_ + std::chrono::milliseconds(deadline_ms);
  longest_lease_ = std::max(
      longest_lease_,
      std::chrono::duration_cast<milliseconds>(until - steady_clock::now()));
  const steady_clock::time_point granted =
      lease_limit ? std::min(until, steady_clock::now() + *lease_limit) : until;
  if (granted > lease_until_) {
    lease_until_ = granted;
    AwaitLapse();
  }
}

void site_vm::AwaitLapse() {
  lapse_timer_->expires_at(lease_until_);
  lapse_timer_->async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const auto lapsed = running_;
    for (const auto& [task, held] : lapsed) {
      EndTask(task, held.number, "lapsed");
    }
  });
}

bool site_vm::IsFenced(std::uint64_t token) {
  if (token < fence_) {
    ++fenced_calls_;
    return true;
  }
  fence_ = token;
  return false;
}

void site_vm::Handle(const net::server_request& request,
                     const net::responder& respond) {
  if (is_silent) {
    return;
  }
  if (holds_back_calls) {
    held_back_.push_back(request);
    return;
  }
  ++calls_;
  if (net::FindHeader(request.headers, "X-Plantainhead-Expect-Instance") !=
      id_) {
    respond(Answer(421, json::object()));
    return;
  }
  const json body = json::parse(request.body);
  if (IsFenced(body.value("fence_token", std::uint64_t{0}))) {
    respond(Answer(409, {{"reason", "fence"}}));
    return;
  }
  if (request.target == "/plantainhead/run-start" && start_delay.count() > 0) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
    timer->expires_after(start_delay);
    timer->async_wait([this, request, token = fence_, life = life_,
                       timer](const boost::system::error_code& /*error*/) {
      if (life == life_ && !is_silent &&
          json::parse(request.body).value("fence_token", token) >= fence_) {
        Start(request, [](const net::server_response& /*response*/) {});
      }
    });
  } else if (request.target == "/plantainhead/run-start") {
    Start(request, respond);
  } else if (request.target == "/plantainhead/hold") {
    Hold(request.body, listing_delay.count() > 0 ? Delayed(respond) : respond);
  } else if (request.target == "/plantainhead/run-stop") {
    const std::string task = body["task"].get<std::string>();
    const auto number = body["run"].get<std::uint32_t>();
    highest_[task] = std::max(highest_[task], number);
    EndTask(task, number, "stopped");
    respond(Answer(200, json::object()));
  } else {
    respond(Answer(200, json::object()));
  }
}

void site_vm::CarryOutHeldBack() {
  for (const net::server_request& request : std::exchange(held_back_, {})) {
    Handle(request, [](const net::server_response& /*response*/) {});
  }
}

std::size_t site_vm::HeldBack(const std::string& path) const {
  return static_cast<std::size_t>(
      std::count_if(held_back_.begin(), held_back_.end(),
                    [&path](const net::server_request& request) {
                      return request.target == path;
                    }));
}

void site_vm::Start(const net::server_request& request,
                    const net::responder& respond) {
  const json body = json::parse(request.body);
  const std::string task = body["task"].get<std::string>();
  const auto number = body["run"].get<std::uint32_t>();
  const auto held = running_.find(task);
  if (held != running_.end() && held->second.number == number) {
    respond(Answer(200, json::object()));
    return;
  }
  const auto deadline =
      body.value("deadline_ms", std::numeric_limits<std::int64_t>::max() /
                                    std::int64_t{4000000});
  if (number <= highest_[task]) {
    ExtendLease(deadline);
    respond(Answer(409, {{"reason", "old"}}));
    return;
  }
  if (clock_zero_ + std::chrono::milliseconds(deadline) < steady_clock::now()) {
    respond(Answer(409, {{"reason", "late"}}));
    return;
  }
  ExtendLease(deadline);
  if (refuses_starts) {
    respond(Answer(409, {{"reason", "room"}}));
    return;
  }
  highest_[task] = number;
  ++starts_[task];
  Tell(vm_event::kStarted, task, number);
  const std::string payload = body.value("spec", "");
  const bool is_lasting = payload == kLastingPayload;
  const bool is_long = payload == kLongPayload;
  const milliseconds time = is_long ? long_task_time : task_time_;
  running_[task] = {number, steady_clock::now() + time, is_lasting, is_long};
  if (!is_lasting) {
    EndLater(task, number, time);
  }
  if (!loses_start_answers) {
    respond(Answer(200, json::object()));
  }
}

void site_vm::EndLater(const std::string& task,
                       std::uint32_t number,
                       std::chrono::milliseconds time) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(time);
  timer->async_wait([this, task, number, life = life_,
                     timer](const boost::system::error_code& /*error*/) {
    if (life == life_) {
      const bool fails = failing_ends > 0;
      failing_ends -= fails ? 1 : 0;
      EndTask(task, number, fails ? "failed" : "done");
    }
  });
}

void site_vm::EndTask(const std::string& task,
                      std::uint32_t number,
                      const char* how) {
  const auto held = running_.find(task);
  if (held == running_.end() || held->second.number != number) {
    return;
  }
  running_.erase(held);
  const std::string_view end = how;
  Tell(end == "done"      ? vm_event::kDone
       : end == "stopped" ? vm_event::kStopped
                          : vm_event::kLapsed,
       task, number);
  ended_.push_back({++last_end_, task, number, how});
  WakeHolds();
}

int site_vm::LongPercent(const run& held) const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      held.ends_at - steady_clock::now());
  return static_cast<int>(
      std::clamp<std::int64_t>(100 - 100 * left / long_task_time, 0, 99));
}

std::string site_vm::Listing() const {
  json running = json::array();
  for (const auto& [task, held] : running_) {
    const int percent = held.is_lasting ? 100
                        : held.is_long  ? LongPercent(held)
                                        : 50;
    running.push_back(json::array({task, held.number, "", percent, 100}));
  }
  json finished = json::array();
  for (const ended& end : ended_) {
    finished.push_back(
        json::array({end.number, end.task, end.run, end.how, ""}));
  }
  return Answer(200, {{"born", kFirstBorn + life_},
                      {"running", running},
                      {"finished", finished}})
      .body;
}

void site_vm::Hold(const std::string& body, const net::responder& respond) {
  const json call = json::parse(body);
  const auto acked = call.value("acked_through", std::uint64_t{0});
  for (const ended& end : ended_) {
    if (end.number <= acked && end.how == "done") {
      Tell(vm_event::kAcknowledged, end.task, end.run);
    }
  }
  std::erase_if(ended_,
                [acked](const ended& end) { return end.number <= acked; });
  if (call.contains("deadline_ms")) {
    ExtendLease(call["deadline_ms"].get<std::int64_t>());
  }
  const auto wait_ms = call.value("wait_ms", 0);
  if (wait_ms == 0 || !ended_.empty()) {
    respond({200, {}, Listing()});
    return;
  }
  holds_.push_back(respond);
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(std::chrono::milliseconds(wait_ms));
  timer->async_wait([this, timer](const boost::system::error_code& /*error*/) {
    WakeHolds();
  });
}

net::responder site_vm::Delayed(const net::responder& respond) const {
  return [context = context_, delay = listing_delay,
          respond](const net::server_response& response) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(*context);
    timer->expires_after(delay);
    timer->async_wait(
        [respond, response, timer](const boost::system::error_code& /*error*/) {
          respond(response);
        });
  };
}

void site_vm::WakeHolds() {
  std::vector<net::responder> waiting;
  waiting.swap(holds_);
  for (const net::responder& respond : waiting) {
    respond({200, {}, Listing()});
  }
}

}  // namespace plantainhead::fakes
