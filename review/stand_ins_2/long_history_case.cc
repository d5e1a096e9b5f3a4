// The system has run for half a day. All processes are killed and start again.
// What every job that ever ended has left in the store is read by each process
// that owns a pool, and is kept in its memory.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "jobs/job_partitions.h"
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
constexpr const char* kService = "desk";
constexpr const char* kQueue = "desk-queue";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"desk-queue","host":"a.example",
        "path_prefix":"/desk/","service":"desk","max_attempts":3,
        "stretch":2,"target_latency_ms":600}],
        "services":[{"name":"desk"}]})";
constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":256,
        "estimate_ms":300}]})";
// The site's queues get 20.1 jobs a second in all, so that this is 16.6 hours.
constexpr int kHistory = 1200000;
constexpr std::chrono::microseconds kHistoryTime = std::chrono::minutes(996);
// Jobs have to be known for `status_s` (120 s); all of these ended earlier.
constexpr std::chrono::microseconds kKeptFor = std::chrono::seconds(150);
constexpr std::int64_t kMemoryLimitMb = 260;
constexpr seconds kRecovery(12);
constexpr milliseconds kTaskTime(300);
constexpr seconds kSettle(7);
// The archive of ended jobs is written within seconds.
constexpr seconds kArchive(6);
constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kSubmissionGap(500);
constexpr milliseconds kQueryGap(500);
constexpr milliseconds kMemoryCheck(50);
constexpr seconds kRestartDelay(1);
constexpr seconds kCallTimeout(3);
constexpr int kJobs = 40;
// Jobs are asked for so long after the end of the traffic (`finish_s` is 14).
constexpr seconds kPatience(20);
// A job must not have nothing running for so long while a task's turn has come.
constexpr seconds kMayStandStill(3);
constexpr seconds kLimit(112);

struct job_note {
  bool is_accepted = false;
  std::string state;
  int running = 0;
  /// Since when nothing of the job has run.
  steady_clock::time_point idle_since;
};

class long_history_case {
 public:
  long_history_case(const std::string& directory,
                    const std::string& record_file,
                    bool has_trouble)
      : record_(record_file), has_trouble_(has_trouble) {
    const std::string store_address = FreeAddress();
    store_ = std::make_unique<log_store>(&context_, store_address);
    store_->Put("keyed.op", "config", kConfiguration);
    for (int i = 0; i < kRunners; ++i) {
      runners_.push_back(
          std::make_unique<runner>(&context_, "i-" + std::to_string(1001 + i),
                                   FreeAddress(), kTaskTime));
    }
    for (int i = 0; i < kProcesses; ++i) {
      processes_.push_back(std::make_unique<process>(
          directory, "front-" + std::to_string(i + 1), store_address, ""));
      clients_.push_back(std::make_unique<net::http_client>(
          &context_, processes_.back()->callers(),
          net::http_client_options{32, std::chrono::seconds(20)}));
    }
  }

  int Run() {
    Report();
    StartAll();
    CheckMemory();
    After(kSettle, [this] { Submit("5c0e7a21d94b0000"); });
    After(kSettle + seconds(2), [this] {
      is_served_before_ = jobs_["5c0e7a21d94b0000"].state == "completed";
    });
    After(kSettle + seconds(2) + kArchive, [this] { KillAll(); });
    const auto limit = steady_clock::now() + kLimit;
    while (!is_over_ && steady_clock::now() < limit && !IsStopRequested()) {
      context_.run_for(milliseconds(20));
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

  void Watch(runner* one) {
    one->on_start = [this](const std::string& task, std::uint32_t /*run*/) {
      job_note& job = jobs_[task.substr(0, task.find('.'))];
      ++job.running;
    };
    one->on_end = [this](const std::string& task, std::uint32_t /*run*/,
                         const std::string& /*how*/) {
      job_note& job = jobs_[task.substr(0, task.find('.'))];
      --job.running;
      job.idle_since = steady_clock::now();
    };
  }

  // The runners' heartbeats.
  void Report() {
    for (const auto& one : runners_) {
      store_->Put("keyed.servers", one->id(), one->Entry(kService));
    }
    After(kHeartbeat, [this] { Report(); });
  }

  void StartAll() {
    for (const auto& one : processes_) {
      one->Start();
    }
  }

  // The platform kills a process that exceeds the memory of its machine.
  void CheckMemory() {
    for (const auto& one : processes_) {
      if (one->HasEnded()) {
        After(kRestartDelay, [one = one.get()] { one->Start(); });
      }
      const std::int64_t resident = one->ResidentMb();
      if (resident > kMemoryLimitMb) {
        ++memory_kills_;
        record_.Line(one->name() + " uses " + std::to_string(resident) +
                     " MB, the limit is " + std::to_string(kMemoryLimitMb) +
                     " MB: the platform kills it");
        one->Signal(SIGKILL);
      }
      most_mb_ = std::max(most_mb_, resident);
    }
    After(kMemoryCheck, [this] { CheckMemory(); });
  }

  void KillAll() {
    const auto kept = store_->KeptRecords("5c0e7a21d94b0000");
    std::size_t bytes = 0;
    for (const log_store::kept_record& one : kept) {
      record_.Line("the job that has ended has left in " + one.topic + ": " +
                   one.key + " = " + one.value);
      bytes += one.key.size() + one.value.size();
    }
    record_.Line("all processes are killed; they use " +
                 std::to_string(most_mb_) + " MB at most");
    for (const auto& one : processes_) {
      one->Signal(SIGKILL);
    }
    if (has_trouble_) {
      AddHistory(kept);
      record_.Line("the same records of " + std::to_string(kHistory) +
                   " more jobs, " + std::to_string(kHistory * bytes / 1000000) +
                   " MB");
    }
    After(kRestartDelay, [this] {
      record_.Line("the processes are back");
      most_mb_ = 0;
      After(kRecovery, [this] { SubmitNext(); });
    });
  }

  // Sets times of the last minutes in the text back, so that a record that
  // names the time of its job is as old as the job.
  static void ShiftTimes(std::chrono::microseconds age, std::string* text) {
    constexpr std::size_t kMillisDigits = 13;
    constexpr std::size_t kMicrosDigits = 16;
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::size_t at = 0;
    while ((at = text->find_first_of("0123456789", at)) != std::string::npos) {
      const std::size_t end =
          std::min(text->find_first_not_of("0123456789", at), text->size());
      const std::size_t digits = end - at;
      if (digits == kMillisDigits || digits == kMicrosDigits) {
        const std::int64_t unit = digits == kMillisDigits ? 1000 : 1;
        const std::int64_t time = std::stoll(text->substr(at, digits)) * unit;
        if (std::abs(time - now.count()) < kKeptFor.count()) {
          text->replace(at, digits,
                        std::to_string((time - age.count()) / unit));
        }
      }
      at = end;
    }
  }

  void AddHistory(const std::vector<log_store::kept_record>& kept) {
    char id[17] = {};
    for (int i = 1; i <= kHistory; ++i) {
      std::snprintf(id, sizeof(id), "5c0e7a21%08x", i);
      const auto age = kKeptFor + (kHistoryTime - kKeptFor) * i / kHistory;
      for (log_store::kept_record one : kept) {
        one.key.replace(0, 16, id);
        ShiftTimes(age, &one.value);
        if (one.topic.find("jobs") != std::string::npos) {
          one.part = jobs::JobPartitionOf(kQueue, id);
        }
        store_->AddHistory(one);
      }
    }
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

  void SubmitNext() {
    if (submitted_ == kJobs) {
      After(kPatience, [this] { is_over_ = true; });
      return;
    }
    ++submitted_;
    char id[17] = {};
    std::snprintf(id, sizeof(id), "77770000%08x", submitted_);
    Submit(id);
    After(kSubmissionGap, [this] { SubmitNext(); });
  }

  void Submit(const std::string& job) {
    net::client_request request = Request(net::method::kPost, job);
    request.body = kJob;
    AnyClient().Send(
        request, kCallTimeout, [this, job](const net::client_reply& reply) {
          record_.Line("POST " + job + " -> " + std::to_string(reply.status));
          if (reply.status == 200) {
            jobs_[job].is_accepted = true;
            jobs_[job].idle_since = steady_clock::now();
            Query(job);
          }
        });
  }

  void Query(const std::string& job) {
    AnyClient().Send(Request(net::method::kGet, job), kCallTimeout,
                     [this, job](const net::client_reply& reply) {
                       const nlohmann::json body =
                           nlohmann::json::parse(reply.body, nullptr, false);
                       const std::string state =
                           reply.status == 200 && body.is_object()
                               ? body.value("state", "")
                               : std::to_string(reply.status);
                       if (state != jobs_[job].state) {
                         record_.Line("GET " + job + " -> " + state);
                         jobs_[job].state = state;
                       }
                       if (state != "completed") {
                         After(kQueryGap, [this, job] { Query(job); });
                       }
                     });
  }

  int Judge() {
    int accepted = 0;
    int completed = 0;
    int standing_still = 0;
    const auto now = steady_clock::now();
    for (const auto& [id, job] : jobs_) {
      if (id.rfind("7777", 0) != 0 || !job.is_accepted) {
        continue;
      }
      ++accepted;
      completed += job.state == "completed" ? 1 : 0;
      const bool stands_still = job.state != "completed" && job.running == 0 &&
                                now - job.idle_since > kMayStandStill;
      standing_still += stands_still ? 1 : 0;
    }
    record_.Line("jobs sent later than 12 s after the processes were back: " +
                 std::to_string(submitted_) +
                 ", accepted: " + std::to_string(accepted) +
                 ", completed: " + std::to_string(completed) +
                 ", with nothing running for over 3 s beside idle runners: " +
                 std::to_string(standing_still) +
                 "; processes killed for their memory: " +
                 std::to_string(memory_kills_) +
                 "; most memory: " + std::to_string(most_mb_) + " MB");
    if (!is_served_before_ || submitted_ < kJobs || accepted == 0) {
      return Close("the case could not run", 2);
    }
    if (standing_still > 0) {
      return Close("BROKEN: LOST: accepted jobs have nothing running", 1);
    }
    return Close("LOST held", 0);
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
  std::size_t calls_ = 0;
  std::map<std::string, job_note> jobs_;
  int submitted_ = 0;
  int memory_kills_ = 0;
  std::int64_t most_mb_ = 0;
  bool is_served_before_ = false;
  bool is_over_ = false;
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
    return plantainhead::review::long_history_case(argv[1], argv[2],
                                                   has_trouble)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
