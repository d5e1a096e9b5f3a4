#include "caller/load_sender.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include "caller/request_parser.h"
#include "endpoint/connection_pool.h"
#include "endpoint/http_headers.h"

namespace plantainhead::caller {
namespace {

using clock = std::chrono::steady_clock;
using endpoint::exchange_result;
using nlohmann::json;

// An entry answers by the deadline; one that hasn't by then and this long after
// has lost the request.
constexpr std::chrono::seconds kAnswerGrace{10};
constexpr std::chrono::seconds kConnectTimeout{1};
constexpr std::chrono::seconds kKeepIdle{3};
constexpr std::size_t kAnswerLimit = std::size_t{64} << 20U;
constexpr std::chrono::milliseconds kRecountInterval{50};

class sender {
 public:
  sender(const load_plan& plan,
         const load_options& options,
         load_report* report)
      : plan_(plan),
        options_(options),
        report_(report),
        balancer_(options.entries),
        pool_({kConnectTimeout, options.concurrency, kKeepIdle}) {}

  void Run();

 private:
  void Work();
  void SpawnIfAllBusy();
  load_result Send(const arrival& item);
  exchange_result SendOnce(const arrival& item,
                           const entry_address& entry,
                           clock::time_point due);
  core::header_list Headers(const arrival& item) const;
  void Judge(const arrival& item,
             const exchange_result& answer,
             load_result* result) const;

  const load_plan& plan_;
  const load_options& options_;
  load_report* const report_;
  load_balancer balancer_;
  endpoint::connection_pool pool_;
  clock::time_point start_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<arrival> due_;
  std::size_t idle_ = 0;
  bool ended_ = false;
  std::vector<std::thread> workers_;
};

void sender::Run() {
  start_ = clock::now();
  for (const arrival& item : plan_.arrivals) {
    std::this_thread::sleep_until(start_ + item.at);
    const std::lock_guard<std::mutex> lock(mutex_);
    due_.push_back(item);
    SpawnIfAllBusy();
    changed_.notify_one();
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
  }
  changed_.notify_all();
  for (std::thread& worker : workers_) {
    worker.join();
  }
}

void sender::SpawnIfAllBusy() {
  if (idle_ < due_.size() && workers_.size() < options_.concurrency) {
    workers_.emplace_back([this] { Work(); });
  }
}

void sender::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    changed_.wait(lock, [&] { return !due_.empty() || ended_; });
    --idle_;
    if (due_.empty()) {
      return;
    }
    const arrival item = due_.front();
    due_.pop_front();
    lock.unlock();
    const load_result result = Send(item);
    lock.lock();
    report_->Add(result);
  }
}

core::header_list sender::Headers(const arrival& item) const {
  const load_class& kind = plan_.classes[item.kind];
  const std::string nonce = NonceOf(options_.run_id, item.number);
  core::header_list headers = {
      {"Plantain-Nonce", nonce},
      {"Plantain-Caller", "plantain-load"},
      {"Plantain-Deadline-Ms", std::to_string(kind.deadline.count())},
      {"Plantain-Idempotent", kind.idempotent ? "true" : "false"}};
  if (!kind.name.empty()) {
    headers.emplace_back("Plantain-Class", kind.name);
  }
  if (kind.keys) {
    headers.emplace_back("Idempotency-Key", nonce);
  }
  return headers;
}

exchange_result sender::SendOnce(const arrival& item,
                                 const entry_address& entry,
                                 clock::time_point due) {
  const load_class& kind = plan_.classes[item.kind];
  core::request_envelope request;
  request.method = kind.method;
  request.path = std::string(kServicePrefix) + kind.service + kind.path;
  request.body = std::make_shared<const std::string>(kind.body, 'x');
  auto connection = pool_.Acquire(entry);
  if (connection == nullptr) {
    exchange_result busy;
    busy.how = exchange_result::kind::kNotSent;
    busy.detail = "tool: no connection left";
    return busy;
  }
  const auto give_up =
      std::max(due, clock::now()) + kind.deadline + kAnswerGrace;
  exchange_result answer =
      connection->Exchange(request, Headers(item), give_up, kAnswerLimit);
  pool_.Release(entry, std::move(connection));
  return answer;
}

load_result sender::Send(const arrival& item) {
  const clock::time_point due = start_ + item.at;
  const load_class& kind = plan_.classes[item.kind];
  load_result result;
  result.kind = item.kind;
  result.number = item.number;
  if (clock::now() >= due + kind.deadline) {
    result.how = load_outcome::kNotSent;
    return result;
  }
  exchange_result answer;
  answer.how = exchange_result::kind::kNotSent;
  answer.detail = "no entry is ready";
  // Nothing left, so the balancer may try the next entry.
  for (std::size_t i = 0; i < balancer_.size(); ++i) {
    const std::optional<entry_address> entry = balancer_.Next();
    if (!entry) {
      break;
    }
    answer = SendOnce(item, *entry, due);
    if (answer.how != exchange_result::kind::kNotSent) {
      break;
    }
    balancer_.MarkDown(*entry);
  }
  const clock::time_point end = clock::now();
  result.took =
      std::chrono::duration_cast<std::chrono::microseconds>(end - due);
  if (answer.how == exchange_result::kind::kComplete) {
    Judge(item, answer, &result);
    return result;
  }
  const bool waited_out = end >= due + kind.deadline + kAnswerGrace;
  result.how =
      waited_out ? load_outcome::kLost : load_outcome::kConnectionFailed;
  result.reason = answer.how == exchange_result::kind::kNotSent
                      ? "not connected: " + answer.detail
                      : "connection: " + answer.detail;
  return result;
}

void sender::Judge(const arrival& item,
                   const exchange_result& answer,
                   load_result* result) const {
  result->status = answer.status;
  const std::string* outcome =
      endpoint::FindHeader(answer.headers, "plantain-outcome");
  const std::string* reason =
      endpoint::FindHeader(answer.headers, "plantain-reason");
  result->reason = reason != nullptr ? *reason : "";
  if (outcome == nullptr) {
    // A runner that is asked without an entry between.
    const bool refused =
        endpoint::FindHeader(answer.headers, "plantain-not-run") != nullptr;
    result->how = refused ? load_outcome::kNotRun : load_outcome::kDone;
  } else if (*outcome == core::NameOf(core::outcome::kDone)) {
    result->how = load_outcome::kDone;
  } else if (*outcome == core::NameOf(core::outcome::kNotRun)) {
    result->how = load_outcome::kNotRun;
  } else {
    result->how = load_outcome::kUnknown;
  }
  if (result->how == load_outcome::kDone && answer.status == 200) {
    const json body = json::parse(answer.body, nullptr, false);
    result->crossed =
        !body.is_object() ||
        body.value("nonce", "") != NonceOf(options_.run_id, item.number);
  } else if (result->how == load_outcome::kDone) {
    // An endpoint's own failure has no nonce to compare.
    result->reason = "status-" + std::to_string(answer.status);
  }
}

// Returns the counters of a runner, or a discarded value.
json ReadCounters(const entry_address& runner) {
  httplib::Client client(runner.first, runner.second);
  client.set_connection_timeout(kConnectTimeout);
  const auto answer = client.Get("/control/counters");
  if (!answer || answer->status != 200) {
    return json(json::value_t::discarded);
  }
  return json::parse(answer->body, nullptr, false);
}

}  // namespace

std::string NonceOf(const std::string& run_id, std::uint64_t number) {
  return run_id + "-" + std::to_string(number);
}

void SendLoad(const load_plan& plan,
              const load_options& options,
              load_report* report) {
  sender(plan, options, report).Run();
}

collected_runs CollectRuns(const std::vector<entry_address>& runners,
                           std::chrono::milliseconds patience) {
  collected_runs all;
  const auto until = clock::now() + patience;
  for (const entry_address& runner : runners) {
    json counters = ReadCounters(runner);
    while (counters.is_object() && counters.value("in_flight", 0) > 0 &&
           clock::now() < until) {
      std::this_thread::sleep_for(kRecountInterval);
      counters = ReadCounters(runner);
    }
    if (!counters.is_object()) {
      ++all.unread;
      continue;
    }
    ++all.read;
    for (const auto& [key, count] : counters.at("by_key").items()) {
      all.runs[key] += count.get<std::uint64_t>();
    }
  }
  return all;
}

std::vector<entry_address> ReadRunners(const entry_address& platform) {
  httplib::Client client(platform.first, platform.second);
  const auto answer = client.Get("/vms");
  const json body = answer ? json::parse(answer->body, nullptr, false) : json();
  const json& list = body.is_object() ? body.value("vms", json()) : body;
  if (!list.is_array()) {
    throw std::runtime_error("the platform's list of VMs can't be read");
  }
  std::vector<entry_address> runners;
  for (const json& vm : list) {
    const auto port = vm.value("port", std::uint16_t{0});
    if (port != 0) {
      runners.emplace_back(vm.value("host", ""), port);
    }
  }
  return runners;
}

}  // namespace plantainhead::caller
