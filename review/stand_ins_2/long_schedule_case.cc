// A job that repeats has run many times. Its record of progress has grown with
// each occurrence and no longer fits into a record of the store. From then on
// nothing that ends in the pool is recorded, whichever job it belongs to.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "log_store.h"
#include "net/http_client.h"
#include "process.h"
#include "record.h"
#include "runner.h"

namespace plantainhead::review {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kProcesses = 3;
constexpr int kRunners = 4;
constexpr const char* kService = "desk";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[
        {"name":"desk-queue","host":"a.example","path_prefix":"/desk/",
         "service":"desk","max_attempts":3,"stretch":2,
         "target_latency_ms":600},
        {"name":"other-queue","host":"a.example","path_prefix":"/other/",
         "service":"desk","max_attempts":3,"stretch":2,
         "target_latency_ms":600}],
        "services":[{"name":"desk"}]})";
constexpr const char* kRepeatedJob = "5c0e7a21d94b36f0";
constexpr const char* kOtherJob = "5c0e7a21d94b36f1";
constexpr int kTasks = 32;
constexpr int kIntervalMs = 100;
constexpr int kManyOccurrences = 2000;
constexpr int kFewOccurrences = 20;
constexpr milliseconds kTaskTime(50);
constexpr seconds kSettle(7);
constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kQueryGap(500);
constexpr seconds kCallTimeout(3);
// When the other job is handed in: so long after the first rejected append, and
// at the latest so long after the repeated job.
constexpr seconds kAfterRejection(5);
constexpr seconds kLate(75);
constexpr seconds kEarly(6);
// A job must not have nothing running for 3 s while the turn of a task has
// come. The script waits much longer.
constexpr seconds kMayStandStill(3);
constexpr seconds kPatience(20);
constexpr seconds kLimit(115);

class long_schedule_case {
 public:
  long_schedule_case(const std::string& directory,
                     const std::string& record_file,
                     bool has_trouble)
      : record_(record_file),
        occurrences_(has_trouble ? kManyOccurrences : kFewOccurrences) {
    const std::string store_address = FreeAddress();
    store_ = std::make_unique<log_store>(&context_, store_address);
    store_->Put("keyed.op", "config", kConfiguration);
    store_->on_rejected = [this](const std::string& query,
                                 const std::string& key, std::size_t bytes) {
      if (rejected_ == 0) {
        After(kAfterRejection, [this] { SubmitOther(); });
      }
      if (++rejected_ <= 5) {
        record_.Line("the store rejects an append: " + query + ", record of " +
                     key + " has " + std::to_string(bytes) + " bytes");
      }
    };
    for (int i = 0; i < kRunners; ++i) {
      runners_.push_back(
          std::make_unique<runner>(&context_, "i-" + std::to_string(1001 + i),
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
    After(kSettle, [this] { SubmitRepeated(); });
    After(kSettle + (occurrences_ == kManyOccurrences ? kLate : kEarly),
          [this] { SubmitOther(); });
    const auto limit = steady_clock::now() + kLimit;
    while (!IsOver() && steady_clock::now() < limit && !IsStopRequested()) {
      context_.run_for(milliseconds(50));
    }
    return Judge();
  }

 private:
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
      store_->Put("keyed.servers", one->id(), one->Entry(kService));
    }
    After(kHeartbeat, [this] { Report(); });
  }

  void Watch(runner* one) {
    one->on_start = [this, one](const std::string& task, std::uint32_t run) {
      if (task.rfind(kOtherJob, 0) == 0) {
        ++other_running_;
        record_.Line(one->id() + " starts " + task + " run " +
                     std::to_string(run));
      } else {
        ++starts_;
      }
    };
    one->on_end = [this, one](const std::string& task, std::uint32_t run,
                              const std::string& how) {
      if (task.rfind(kOtherJob, 0) == 0) {
        --other_running_;
        other_ended_at_ = steady_clock::now();
        record_.Line(one->id() + " ends " + task + " run " +
                     std::to_string(run) + " as " + how);
      } else if (how == "done") {
        ++done_;
      }
    };
  }

  net::http_client& AnyClient() {
    return *clients_[++calls_ % clients_.size()];
  }

  static net::client_request Request(net::method verb,
                                     const std::string& target) {
    net::client_request request;
    request.verb = verb;
    request.target = target;
    request.headers.emplace_back("Host", "a.example");
    request.headers.emplace_back("X-Plantainhead-Timeout-Ms", "3000");
    return request;
  }

  void SubmitRepeated() {
    const auto now = duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    net::client_request request =
        Request(net::method::kPost, std::string("/desk/") + kRepeatedJob);
    request.body = nlohmann::json{
        {"spec", "x"},
        {"steps",
         {{{"count", kTasks},
           {"cpu", 100},
           {"mem_mb", 64},
           {"estimate_ms", kTaskTime.count()}}}},
        {"repeat_count", occurrences_},
        {"first_run_ms", now.count()},
        {"interval_ms",
         kIntervalMs}}.dump();
    const std::string body = request.body;
    AnyClient().Send(
        request, kCallTimeout, [this, body](const net::client_reply& reply) {
          record_.Line(std::string("POST /desk/") + kRepeatedJob + " " + body +
                       " -> " + std::to_string(reply.status));
          are_accepted_ = reply.status == 200;
          Query(kRepeatedJob, "/desk/");
        });
  }

  void SubmitOther() {
    if (is_other_sent_) {
      return;
    }
    is_other_sent_ = true;
    record_.Line("runs of the repeated job: " + std::to_string(starts_) +
                 " started, " + std::to_string(done_) + " done, of " +
                 std::to_string(occurrences_ * kTasks));
    net::client_request request =
        Request(net::method::kPost, std::string("/other/") + kOtherJob);
    request.body = R"({"spec":"y","steps":[{"count":1,"cpu":100,"mem_mb":64,)"
                   R"("estimate_ms":50},{"count":1,"cpu":100,"mem_mb":64,)"
                   R"("estimate_ms":50,"depends_on":[0]}]})";
    AnyClient().Send(request, kCallTimeout,
                     [this](const net::client_reply& reply) {
                       record_.Line(std::string("POST /other/") + kOtherJob +
                                    " -> " + std::to_string(reply.status));
                       are_accepted_ = are_accepted_ && reply.status == 200;
                       other_accepted_at_ = steady_clock::now();
                       other_ended_at_ = *other_accepted_at_;
                       Query(kOtherJob, "/other/");
                     });
  }

  void Query(const std::string& job, const std::string& prefix) {
    AnyClient().Send(
        Request(net::method::kGet, prefix + job), kCallTimeout,
        [this, job, prefix](const net::client_reply& reply) {
          const nlohmann::json body =
              nlohmann::json::parse(reply.body, nullptr, false);
          const std::string state = reply.status == 200 && body.is_object()
                                        ? body.value("state", "")
                                        : std::to_string(reply.status);
          if (state != states_[job]) {
            record_.Line("GET " + prefix + job + " -> " + state);
            states_[job] = state;
          }
          After(kQueryGap, [this, job, prefix] { Query(job, prefix); });
        });
  }

  bool IsOver() const {
    if (!other_accepted_at_) {
      return false;
    }
    const auto found = states_.find(kOtherJob);
    const bool is_completed =
        found != states_.end() && found->second == "completed";
    return is_completed ||
           steady_clock::now() > *other_accepted_at_ + kPatience;
  }

  int Judge() {
    if (!are_accepted_ || !other_accepted_at_) {
      return Close("the case could not run", 2);
    }
    record_.Line("appends that the store rejected: " +
                 std::to_string(rejected_));
    const bool is_completed = states_[kOtherJob] == "completed";
    const auto idle = steady_clock::now() - other_ended_at_;
    if (!is_completed && other_running_ == 0 && idle > kMayStandStill) {
      return Close(
          std::string("BROKEN: LOST: ") + kOtherJob + " is shown as " +
              states_[kOtherJob] + " and has had nothing running for " +
              std::to_string(duration_cast<milliseconds>(idle).count()) +
              " ms, with all runners up and idle",
          1);
    }
    return Close(is_completed ? "LOST held" : "the case could not run",
                 is_completed ? 0 : 2);
  }

  int Close(const std::string& verdict, int code) {
    record_.Line(verdict);
    std::cout << verdict << '\n';
    return code;
  }

  boost::asio::io_context context_;
  record record_;
  int occurrences_;
  std::unique_ptr<log_store> store_;
  std::vector<std::unique_ptr<runner>> runners_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<net::http_client>> clients_;
  std::size_t calls_ = 0;
  int rejected_ = 0;
  int starts_ = 0;
  int done_ = 0;
  int other_running_ = 0;
  bool are_accepted_ = false;
  bool is_other_sent_ = false;
  std::optional<steady_clock::time_point> other_accepted_at_;
  steady_clock::time_point other_ended_at_;
  std::map<std::string, std::string> states_;
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
    return plantainhead::review::long_schedule_case(argv[1], argv[2],
                                                    has_trouble)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
