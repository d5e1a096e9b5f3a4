#include "runner.h"

#include <algorithm>
#include <utility>

namespace plantainhead::review {

using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxListedEnds = 500;

std::int64_t OptionOf(const std::string& spec,
                      const std::string& name,
                      std::int64_t default_value) {
  const std::size_t at = spec.find(name + "=");
  return at == std::string::npos
             ? default_value
             : std::stoll(spec.substr(at + name.size() + 1));
}

}  // namespace

void run_history::Add(const std::shared_ptr<seen_run>& run) {
  runs.push_back(run);
  by_task[run->task].push_back(run);
}

std::size_t run_history::StartsOf(const std::string& task) const {
  const auto found = by_task.find(task);
  return found == by_task.end() ? 0 : found->second.size();
}

std::size_t run_history::Ended(const std::string& how) const {
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(),
                    [&how](const auto& run) { return run->how == how; }));
}

runner::runner(boost::asio::io_context* context,
               std::string machine,
               std::string address,
               run_history* history,
               record* log)
    : context_(context),
      machine_(std::move(machine)),
      address_(std::move(address)),
      history_(history),
      log_(log),
      lease_timer_(*context) {}

void runner::Begin(const std::string& id, const std::string& service) {
  Crash();
  ++life_;
  id_ = id;
  service_ = service;
  clock_zero_ = steady_clock::now();
  fence_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  log_->Line("runner " + id_ + " of machine " + machine_ + " begins in " +
             service_);
  net::http_server_options options;
  options.body_limit = std::size_t{1} << 20U;
  server_ = std::make_unique<net::http_server>(
      context_, address_, options,
      [this](const net::server_request& request,
             const net::responder& respond) { Handle(request, respond); });
}

void runner::Crash() {
  if (!is_up()) {
    return;
  }
  log_->Line("runner " + id_ + " ends without a word");
  server_.reset();
  ++life_;
  lease_timer_.cancel();
  for (const auto& [task, run] : running_) {
    run->how = "crashed";
    run->ended_ms = log_->Now();
  }
  running_.clear();
  highest_.clear();
  ended_.clear();
  holds_.clear();
}

json runner::Capacity() const {
  return {{"cpu", 32000}, {"mem_mb", 131072}, {"gpu", 0}};
}

json runner::Labels() const {
  return json::array({"a", "r1"});
}

std::string runner::Report() {
  return json{
      {"service", service_}, {"address", address_}, {"zone", "zone-1"},
      {"version", "v1"},     {"slots", 8},          {"state", "ready"},
      {"cold_left_ms", 0},   {"seq", ++report_},    {"capacity", Capacity()},
      {"labels", Labels()}}
      .dump();
}

std::int64_t runner::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  clock_zero_)
      .count();
}

net::server_response runner::Answer(unsigned status, json body) const {
  body["clock_ms"] = ClockMs();
  return {status, {}, body.dump()};
}

void runner::Handle(const net::server_request& request,
                    const net::responder& respond) {
  if (request.verb == net::method::kGet) {
    respond(Answer(200, json::object()));
    return;
  }
  const std::string& instance =
      net::FindHeader(request.headers, "X-Plantainhead-Expect-Instance");
  if (!instance.empty() && instance != id_) {
    respond(Answer(421, json::object()));
    return;
  }
  const json body = json::parse(request.body);
  const auto token = body.value("fence_token", std::uint64_t{0});
  if (token < fence_) {
    respond(Answer(409, {{"reason", "fence"}}));
    return;
  }
  fence_ = token;
  if (request.target == "/plantainhead/run-start") {
    Start(body, respond);
  } else if (request.target == "/plantainhead/run-stop") {
    const std::string task = body["task"].get<std::string>();
    const auto number = body["run"].get<std::uint32_t>();
    highest_[task] = std::max(highest_[task], number);
    const auto held = running_.find(task);
    if (held != running_.end() && held->second->run == number) {
      End(held->second, "stopped");
    }
    respond(Answer(200, json::object()));
  } else if (request.target == "/plantainhead/hold") {
    Hold(body, respond);
  } else {
    respond(Answer(200, json::object()));
  }
}

void runner::Start(const json& body, const net::responder& respond) {
  const std::string task = body["task"].get<std::string>();
  const auto number = body["run"].get<std::uint32_t>();
  const auto held = running_.find(task);
  if (held != running_.end() && held->second->run == number) {
    respond(Answer(200, json::object()));
    return;
  }
  if (number <= highest_[task]) {
    ExtendLease(body);
    respond(Answer(409, {{"reason", "old"}}));
    return;
  }
  if (body.value("deadline_ms", std::int64_t{0}) < ClockMs()) {
    respond(Answer(409, {{"reason", "late"}}));
    return;
  }
  ExtendLease(body);
  highest_[task] = number;
  const std::string spec = body.value("spec", "");
  const std::int64_t starts_before =
      static_cast<std::int64_t>(history_->StartsOf(task));
  const auto run = std::make_shared<seen_run>();
  run->task = task;
  run->run = number;
  run->runner = id_;
  run->started_ms = log_->Now();
  history_->Add(run);
  running_[task] = run;
  run_ms_[task] = OptionOf(spec, "run_ms", 1000);
  log_->Line("started " + task + " run " + std::to_string(number) + " on " +
             id_);
  const bool fails = starts_before < OptionOf(spec, "fails", 0);
  if (OptionOf(spec, "lasts", 0) == 0) {
    EndLater(run, milliseconds(run_ms_[task]), fails ? "failed" : "done");
  }
  respond(Answer(200, json::object()));
}

void runner::ExtendLease(const json& body) {
  const auto deadline = body.value("deadline_ms", std::int64_t{0});
  if (deadline <= lease_until_ms_) {
    return;
  }
  lease_until_ms_ = deadline;
  lease_timer_.expires_at(clock_zero_ + milliseconds(deadline));
  lease_timer_.async_wait(
      [this, life = life_](const boost::system::error_code& error) {
        if (error || life != life_) {
          return;
        }
        for (const ended_run& end : ended_) {
          end.run->has_lapsed_before_note = end.run->noted_ms < 0;
        }
        const auto lapsed = running_;
        for (const auto& [task, run] : lapsed) {
          End(run, "lapsed");
        }
      });
}

void runner::EndLater(const std::shared_ptr<seen_run>& run,
                      milliseconds time,
                      const char* how) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(time);
  timer->async_wait([this, run, how, life = life_,
                     timer](const boost::system::error_code& /*error*/) {
    if (life == life_ && run->how.empty()) {
      End(run, how);
    }
  });
}

void runner::End(std::shared_ptr<seen_run> run, const char* how) {
  run->how = how;
  run->ended_ms = log_->Now();
  running_.erase(run->task);
  ended_.push_back({++last_end_, run});
  log_->Line("ended " + run->task + " run " + std::to_string(run->run) +
             " on " + id_ + " " + how);
  AnswerHolds();
}

net::server_response runner::Listing() const {
  json running = json::array();
  for (const auto& [task, run] : running_) {
    const std::int64_t percent = 100 * (log_->Now() - run->started_ms) /
                                 std::max<std::int64_t>(run_ms_.at(task), 1);
    running.push_back(json::array(
        {task, run->run, "", std::min<std::int64_t>(percent, 100), 0}));
  }
  json finished = json::array();
  for (const ended_run& end : ended_) {
    if (finished.size() < kMaxListedEnds) {
      finished.push_back(json::array(
          {end.number, end.run->task, end.run->run, end.run->how, ""}));
    }
  }
  return Answer(200, {{"running", running}, {"finished", finished}});
}

void runner::Hold(const json& body, const net::responder& respond) {
  const auto acked = body.value("acked_through", std::uint64_t{0});
  for (const ended_run& end : ended_) {
    if (end.number <= acked && end.run->noted_ms < 0) {
      end.run->noted_ms = log_->Now();
      log_->Line("noted end of " + end.run->task + " run " +
                 std::to_string(end.run->run) + " on " + id_ + " " +
                 end.run->how);
    }
  }
  std::erase_if(ended_,
                [acked](const ended_run& end) { return end.number <= acked; });
  ExtendLease(body);
  const auto wait_ms = body.value("wait_ms", std::int64_t{0});
  if (wait_ms == 0 || !ended_.empty()) {
    respond(Listing());
    return;
  }
  holds_.push_back(respond);
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(milliseconds(wait_ms));
  timer->async_wait(
      [this, life = life_, timer](const boost::system::error_code& /*error*/) {
        if (life == life_) {
          AnswerHolds();
        }
      });
}

void runner::AnswerHolds() {
  std::vector<net::responder> waiting;
  waiting.swap(holds_);
  for (const net::responder& respond : waiting) {
    respond(Listing());
  }
}

}  // namespace plantainhead::review
