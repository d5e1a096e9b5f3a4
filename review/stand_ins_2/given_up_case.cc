// The rack of a service loses power four times, for a second each. All runners
// crash with it, whatever they run, and start again. No run of a task has ended
// as failed.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "log_store.h"
#include "net/http_client.h"
#include "process.h"
#include "record.h"
#include "runner.h"

namespace plantainhead::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kProcesses = 3;
constexpr int kRunners = 4;
constexpr int kJobs = 4;
constexpr int kOutages = 4;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr const char* kService = "desk";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"desk-queue","host":"a.example",
        "path_prefix":"/desk/","service":"desk","max_attempts":3,
        "stretch":2,"target_latency_ms":600}],
        "services":[{"name":"desk"}]})";
constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":256,
        "estimate_ms":3000}]})";
constexpr seconds kSettle(7);
constexpr milliseconds kTaskTime(3000);
constexpr milliseconds kFirstOutage(1000);
constexpr milliseconds kOutageGap(2200);
constexpr milliseconds kDownTime(1000);
constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kQueryGap(500);
constexpr seconds kCallTimeout(3);
constexpr seconds kLimit(90);

class given_up_case {
 public:
  given_up_case(const std::string& directory,
                const std::string& record_file,
                bool has_trouble)
      : record_(record_file), has_trouble_(has_trouble) {
    const std::string store_address = FreeAddress();
    store_ = std::make_unique<log_store>(&context_, store_address);
    store_->Put("keyed.op", "config", kConfiguration);
    for (int i = 0; i < kRunners; ++i) {
      runners_.push_back(std::make_unique<runner>(&context_, NextId(),
                                                  FreeAddress(), kTaskTime));
      Watch(runners_.back().get());
    }
    for (int i = 0; i < kProcesses; ++i) {
      processes_.push_back(std::make_unique<process>(
          directory, "front-" + std::to_string(i + 1), store_address, ""));
      clients_.push_back(std::make_unique<net::http_client>(
          &context_, processes_.back()->callers(), net::http_client_options()));
    }
  }

  int Run() {
    Report();
    for (const auto& one : processes_) {
      one->Start();
    }
    After(kSettle, [this] { Submit(); });
    const auto limit = steady_clock::now() + kLimit;
    while (ended_ < kJobs && steady_clock::now() < limit &&
           !IsStopRequested()) {
      context_.run_for(milliseconds(50));
    }
    return Judge();
  }

 private:
  std::string NextId() { return "i-" + std::to_string(1000 + ++last_id_); }

  void After(milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(time);
    timer->async_wait(
        [timer, action = std::move(action)](
            const boost::system::error_code& /*error*/) { action(); });
  }

  // The runners' heartbeats.
  void Report() {
    for (const auto& one : runners_) {
      if (one->is_up()) {
        store_->Put("keyed.servers", one->id(), one->Entry(kService));
      }
    }
    After(kHeartbeat, [this] { Report(); });
  }

  void Watch(runner* one) {
    one->on_start = [this, one](const std::string& task, std::uint32_t run) {
      record_.Line(one->id() + " starts " + task + " run " +
                   std::to_string(run));
    };
    one->on_end = [this, one](const std::string& task, std::uint32_t run,
                              const std::string& how) {
      record_.Line(one->id() + " ends " + task + " run " + std::to_string(run) +
                   " as " + how);
      if (how == "failed") {
        ++failed_ends_[task.substr(0, task.find('.'))];
      }
    };
  }

  void LosePower() {
    ++outages_;
    record_.Line("the rack loses power: all runners crash");
    for (const auto& one : runners_) {
      one->Crash();
    }
    After(kDownTime, [this] {
      std::string started;
      for (const auto& one : runners_) {
        store_->Put("keyed.servers", one->id(), std::nullopt);
        one->Restart(NextId());
        store_->Put("keyed.servers", one->id(), one->Entry(kService));
        started += " " + one->id();
      }
      record_.Line("the rack has power again: runners start as" + started);
    });
  }

  static net::client_request Request(net::method verb, const std::string& job) {
    net::client_request request;
    request.verb = verb;
    request.target = "/desk/" + job;
    request.headers.emplace_back("Host", "a.example");
    request.headers.emplace_back("X-Plantainhead-Timeout-Ms", "3000");
    return request;
  }

  net::http_client& AnyClient() {
    return *clients_[++calls_ % clients_.size()];
  }

  void Submit() {
    for (int i = 0; i < kJobs; ++i) {
      const std::string job = "5c0e7a21d94b36f" + std::to_string(i);
      states_[job] = "";
      net::client_request request = Request(net::method::kPost, job);
      request.body = kJob;
      AnyClient().Send(
          request, kCallTimeout, [this, job](const net::client_reply& reply) {
            record_.Line("POST " + job + " -> " + std::to_string(reply.status));
            if (reply.status == 200) {
              ++accepted_;
              Query(job);
            }
          });
    }
    for (int i = 0; has_trouble_ && i < kOutages; ++i) {
      After(kFirstOutage + i * kOutageGap, [this] { LosePower(); });
    }
  }

  void Query(const std::string& job) {
    AnyClient().Send(
        Request(net::method::kGet, job), kCallTimeout,
        [this, job](const net::client_reply& reply) { OnState(job, reply); });
  }

  void OnState(const std::string& job, const net::client_reply& reply) {
    const nlohmann::json body =
        nlohmann::json::parse(reply.body, nullptr, false);
    const std::string state =
        reply.status == 200 && body.is_object() ? body.value("state", "") : "";
    if (!state.empty() && state != states_[job]) {
      record_.Line("GET " + job + " -> 200 " + state);
      states_[job] = state;
    }
    if (state == "failed" || state == "completed") {
      ++ended_;
      return;
    }
    After(kQueryGap, [this, job] { Query(job); });
  }

  int Judge() {
    if (accepted_ < kJobs || ended_ < kJobs) {
      return Close("the case could not run", 2);
    }
    int broken = 0;
    for (const auto& [job, state] : states_) {
      const std::uint32_t failed_ends = failed_ends_[job];
      if (state == "failed" && failed_ends < kMaxAttempts) {
        ++broken;
        record_.Line("BROKEN: LOST: " + job + " is shown as failed, and " +
                     std::to_string(failed_ends) + " of its runs ended so");
      }
    }
    return broken > 0 ? Close("LOST is broken for " + std::to_string(broken) +
                                  " of " + std::to_string(kJobs) + " jobs",
                              1)
                      : Close("LOST held", 0);
  }

  int Close(const std::string& verdict, int code) {
    record_.Line(verdict);
    std::cout << verdict << '\n';
    return code;
  }

  boost::asio::io_context context_;
  record record_;
  bool has_trouble_;
  std::unique_ptr<log_store> store_;
  std::vector<std::unique_ptr<runner>> runners_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<net::http_client>> clients_;
  int last_id_ = 0;
  int outages_ = 0;
  int accepted_ = 0;
  int ended_ = 0;
  std::size_t calls_ = 0;
  std::map<std::string, std::string> states_;
  std::map<std::string, std::uint32_t> failed_ends_;
};

}  // namespace
}  // namespace plantainhead::review

// Arguments: a temporary folder, the file of the record.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  plantainhead::review::HandleStopSignals();
  if (argc != 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return plantainhead::review::given_up_case(argv[1], argv[2], has_trouble)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
