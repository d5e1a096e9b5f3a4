#include "site_vm.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace plantainhead::fakes {
namespace {

using json = nlohmann::json;
using std::chrono::steady_clock;

net::server_response Answer(unsigned status, json body) {
  body["clock_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         steady_clock::now().time_since_epoch())
                         .count();
  return {status, {}, body.dump()};
}

}  // namespace

site_vm::site_vm(boost::asio::io_context* context,
                 std::string id,
                 const std::string& address,
                 std::chrono::milliseconds task_time)
    : context_(context),
      id_(std::move(id)),
      address_(address),
      task_time_(task_time) {
  server_ = std::make_unique<net::http_server>(
      context, address, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) { Handle(request, respond); });
}

std::string site_vm::RegistryValue(const std::string& pool) const {
  return json{{"service", pool},
              {"address", address_},
              {"zone", "zone-1"},
              {"state", "ready"},
              {"capacity", {{"cpu", 4000}, {"mem_mb", 8000}, {"gpu", 0}}},
              {"labels", json::array({"a", "r1"})}}
      .dump();
}

bool site_vm::IsFenced(std::uint64_t token) {
  if (token < fence_) {
    return true;
  }
  fence_ = token;
  return false;
}

void site_vm::Handle(const net::server_request& request,
                     const net::responder& respond) {
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
  if (request.target == "/plantainhead/run-start") {
    Start(request, respond);
  } else if (request.target == "/plantainhead/hold") {
    Hold(request.body, respond);
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
  if (number <= highest_[task]) {
    respond(Answer(409, {{"reason", "old"}}));
    return;
  }
  highest_[task] = number;
  ++starts_[task];
  running_[task] = {number, steady_clock::now() + task_time_};
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(task_time_);
  timer->async_wait(
      [this, task, number, timer](const boost::system::error_code& /*error*/) {
        EndTask(task, number, "done");
      });
  if (!loses_start_answers) {
    respond(Answer(200, json::object()));
  }
}

void site_vm::EndTask(const std::string& task,
                      std::uint32_t number,
                      const char* how) {
  const auto held = running_.find(task);
  if (held == running_.end() || held->second.number != number) {
    return;
  }
  running_.erase(held);
  ended_.push_back({++last_end_, task, number, how});
  WakeHolds();
}

std::string site_vm::Listing() const {
  json running = json::array();
  for (const auto& [task, held] : running_) {
    running.push_back(json::array({task, held.number, "", 50, 100}));
  }
  json finished = json::array();
  for (const ended& end : ended_) {
    finished.push_back(
        json::array({end.number, end.task, end.run, end.how, ""}));
  }
  return Answer(200, {{"running", running}, {"finished", finished}}).body;
}

void site_vm::Hold(const std::string& body, const net::responder& respond) {
  const json call = json::parse(body);
  const auto acked = call.value("acked_through", std::uint64_t{0});
  std::erase_if(ended_,
                [acked](const ended& end) { return end.number <= acked; });
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

void site_vm::WakeHolds() {
  std::vector<net::responder> waiting;
  waiting.swap(holds_);
  for (const net::responder& respond : waiting) {
    respond({200, {}, Listing()});
  }
}

}  // namespace plantainhead::fakes
