#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "run_ledger.h"
#include "scheduler_process.h"
#include "site_store.h"
#include "site_vm.h"

namespace plantainhead::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* kPool = "pool";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"q","host":"a.example",
        "path_prefix":"/q/","service":"pool","max_attempts":20,"stretch":2}],
        "services":[{"name":"pool"}]})";
// Three tasks: two side by side, then one.
constexpr const char* kJob =
    R"({"spec":"x","steps":[
        {"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300},
        {"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":300,
         "depends_on":[0]}]})";
constexpr std::size_t kTasksOfJob = 3;
constexpr milliseconds kTaskTime(300);
constexpr milliseconds kSubmissionGap(120);
constexpr milliseconds kQueryGap(400);
constexpr milliseconds kTick(100);
// Faults begin in this time of each other, so that they overlap.
constexpr int kMostFaultGapMs = 900;
constexpr int kLeastFaultMs = 300;
constexpr int kMostFaultMs = 5000;
// Jobs that were accepted must have ended this long after the last fault: the
// longest lease (4.6 s), a takeover, and their work, with much to spare.
constexpr seconds kCalm(60);

struct options {
  std::string scheduler = "build/plantain-scheduler";
  std::string directory = "soak-logs";
  std::uint64_t seed = 1;
  int seconds = 12;
  int processes = 3;
  int vms = 4;
};

/// A VM behind its proxy.
struct soak_vm {
  std::unique_ptr<fakes::site_vm> vm;
  std::unique_ptr<fault_proxy> proxy;
};

/// A scheduler behind the proxy to its store.
struct soak_process {
  std::unique_ptr<fault_proxy> store;
  std::unique_ptr<scheduler_process> process;
  std::unique_ptr<net::http_client> caller;
};

/// One run: real processes, faults by a seed, and callers.
class soak_run {
 public:
  explicit soak_run(const options& chosen)
      : options_(chosen), random_(chosen.seed), store_(&context_) {
    store_.Put("keyed.op", "config", kConfiguration);
    const std::string address = NextAddress();
    store_server_ = std::make_unique<net::http_server>(
        &context_, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store_.Handle(request, respond);
        });
    for (int i = 0; i < options_.vms; ++i) {
      AddVm();
    }
    for (int i = 0; i < options_.processes; ++i) {
      soak_process one;
      one.store = std::make_unique<fault_proxy>(&context_, address);
      one.process = std::make_unique<scheduler_process>(
          options_.scheduler, options_.directory, "s" + std::to_string(i),
          one.store->address());
      one.caller = std::make_unique<net::http_client>(
          &context_, one.process->callers(),
          net::http_client_options{32, seconds(20)});
      one.process->Start();
      processes_.push_back(std::move(one));
    }
  }

  /// Returns whether all promises were kept.
  bool Run() {
    Every(kTick, [this] { Tick(); });
    Every(kSubmissionGap, [this] { Submit(); });
    Every(kQueryGap, [this] { QueryOpen(); });
    faults_end_ = steady_clock::now() + seconds(options_.seconds);
    NextFault();
    context_.run_for(seconds(options_.seconds));
    is_calm_ = true;
    // Faults that were under way end within their time.
    const auto end = steady_clock::now() + kCalm;
    while (steady_clock::now() < end && !ledger_.OpenJobs().empty()) {
      context_.run_for(kTick);
    }
    return Report();
  }

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  void After(milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(time);
    timer->async_wait(
        [timer, action = std::move(action)](
            const boost::system::error_code& /*error*/) { action(); });
  }

  void Every(milliseconds gap, const std::function<void()>& action) {
    After(gap, [this, gap, action] {
      action();
      Every(gap, action);
    });
  }

  void AddVm() {
    const std::string id = "vm-" + std::to_string(++last_vm_);
    const std::string address = NextAddress();
    soak_vm& one = vms_[id];
    one.vm =
        std::make_unique<fakes::site_vm>(&context_, id, address, kTaskTime);
    one.vm->on_event = [this, id](fakes::vm_event event,
                                  const std::string& task, std::uint32_t run) {
      ledger_.NoteRun(id, event, task, run);
    };
    one.proxy = std::make_unique<fault_proxy>(&context_, address);
    store_.Put("keyed.servers", id,
               one.vm->RegistryValue(kPool, one.proxy->address()));
  }

  // Another life takes its place; the registry notices later.
  void ReplaceVm(const std::string& id) {
    ledger_.NoteVmEnd(id);
    vms_[id].vm->on_event = nullptr;
    vms_[id].proxy->Cut();
    After(seconds(2), [this, id] {
      store_.Put("keyed.servers", id, std::nullopt);
      AddVm();
    });
  }

  soak_vm& AnyVm() {
    auto chosen = vms_.begin();
    // The last ones are the lives that haven't ended.
    std::advance(chosen, Draw(0, static_cast<int>(vms_.size()) - 1));
    return chosen->second;
  }

  void NextFault() {
    if (steady_clock::now() >= faults_end_) {
      return;
    }
    BeginFault(milliseconds(Draw(kLeastFaultMs, kMostFaultMs)));
    After(milliseconds(Draw(0, kMostFaultGapMs)), [this] { NextFault(); });
  }

  void BeginFault(milliseconds length) {
    soak_process& process =
        processes_[static_cast<std::size_t>(Draw(0, options_.processes - 1))];
    scheduler_process* const signalled = process.process.get();
    const milliseconds delay(Draw(20, 400));
    switch (Draw(0, 9)) {
      case 0:
        signalled->Signal(SIGKILL);
        return;
      case 1:
        signalled->Signal(SIGTERM);
        return;
      case 2:
        signalled->Signal(SIGSTOP);
        After(length, [signalled] { signalled->Signal(SIGCONT); });
        return;
      case 3:
        signalled->Signal(SIGHUP);
        process.store->ResetAll();
        return;
      case 4:
        Harm(process.store.get(), link_fault::kDelay, length, delay);
        return;
      case 5:
        Harm(process.store.get(), link_fault::kLosesAnswers, length, delay);
        return;
      case 6:
        Harm(process.store.get(), link_fault::kSilent, length, delay);
        return;
      case 7:
        Harm(AnyVm().proxy.get(),
             Draw(0, 1) == 0 ? link_fault::kSilent : link_fault::kLosesAnswers,
             length, delay);
        return;
      case 8: {
        fakes::site_vm* const late = AnyVm().vm.get();
        late->start_delay = delay * 10;
        After(length, [late] { late->start_delay = milliseconds(0); });
        return;
      }
      default:
        if (Draw(0, 2) == 0) {
          const std::string id = std::prev(vms_.end())->first;
          ReplaceVm(id);
        } else {
          store_.faults.is_refusing = true;
          After(length / 2, [this] { store_.faults.is_refusing = false; });
        }
        return;
    }
  }

  // Connections that lost bytes are of no use afterwards, as after a partition.
  void Harm(fault_proxy* proxy,
            link_fault fault,
            milliseconds length,
            milliseconds delay) {
    proxy->SetFault(fault, delay);
    After(length, [proxy] {
      proxy->SetFault(link_fault::kNone);
      proxy->ResetAll();
    });
  }

  void Tick() {
    store_.ExpireSilent();
    for (soak_process& one : processes_) {
      if (const auto end = one.process->Reap()) {
        faults_of_their_own_.push_back(*end);
      }
      if (!one.process->is_running()) {
        one.process->Start();
      }
    }
  }

  net::http_client& AnyCaller() {
    return *processes_[static_cast<std::size_t>(
                           Draw(0, options_.processes - 1))]
                .caller;
  }

  static net::client_request Request(net::method verb, const std::string& id) {
    net::client_request request;
    request.verb = verb;
    request.target = "/q/" + id;
    request.headers.emplace_back("Host", "a.example");
    return request;
  }

  void Submit() {
    if (is_calm_) {
      return;
    }
    std::string id = std::to_string(++last_job_);
    id.insert(0, 16 - id.size(), '0');
    ledger_.NoteSubmission(id, kTasksOfJob);
    net::client_request request = Request(net::method::kPost, id);
    request.body = kJob;
    AnyCaller().Send(std::move(request), seconds(4),
                     [this, id](const net::client_reply& reply) {
                       if (reply.reached != net::delivery::kAnswered) {
                         return;
                       }
                       if (reply.status == 200) {
                         ledger_.NoteAnswer(id, job_answer::kAccepted);
                       } else if (reply.status == 503) {
                         ledger_.NoteAnswer(id, job_answer::kRefused);
                       }
                     });
  }

  void QueryOpen() {
    for (const std::string& id : ledger_.OpenJobs()) {
      AnyCaller().Send(
          Request(net::method::kGet, id), seconds(4),
          [this, id](const net::client_reply& reply) {
            if (reply.status == 200 &&
                reply.body.find("completed") != std::string::npos) {
              ledger_.NoteCompleted(id);
            } else if (reply.status == 410) {
              ledger_.NoteMissing(id);
            }
          });
    }
  }

  bool Report() const {
    std::vector<std::string> wrong = ledger_.violations();
    wrong.insert(wrong.end(), faults_of_their_own_.begin(),
                 faults_of_their_own_.end());
    for (const std::string& id : ledger_.OpenJobs()) {
      wrong.push_back("accepted and not completed: " + id);
    }
    std::cout << "seed " << options_.seed << ": " << last_job_ << " jobs, "
              << ledger_.accepted() << " accepted, " << ledger_.starts()
              << " starts, " << wrong.size() << " promises broken\n";
    for (const std::string& line : wrong) {
      std::cout << "  " << line << '\n';
    }
    return wrong.empty();
  }

  options options_;
  std::mt19937_64 random_;
  boost::asio::io_context context_;
  fakes::site_store store_;
  std::unique_ptr<net::http_server> store_server_;
  std::map<std::string, soak_vm> vms_;
  std::vector<soak_process> processes_;
  run_ledger ledger_;
  std::vector<std::string> faults_of_their_own_;
  steady_clock::time_point faults_end_;
  int last_vm_ = 0;
  int last_job_ = 0;
  bool is_calm_ = false;
};

int Main(int argc, char** argv) {
  CLI::App app(
      "Runs real plantain-scheduler processes with faults from outside and "
      "checks what callers and VMs see. Exit code 1: a promise was broken.");
  options chosen;
  app.add_option("--scheduler", chosen.scheduler, "The program");
  app.add_option("--directory", chosen.directory, "For settings and logs");
  app.add_option("--seed", chosen.seed, "Of the faults");
  app.add_option("--seconds", chosen.seconds, "How long faults come");
  app.add_option("--processes", chosen.processes, "Schedulers")
      ->check(CLI::Range(1, 50));
  app.add_option("--vms", chosen.vms, "VMs")->check(CLI::Range(1, 200));
  CLI11_PARSE(app, argc, argv);
  UsePortsOf(chosen.seed);
  chosen.directory += "/" + std::to_string(chosen.seed);
  std::filesystem::remove_all(chosen.directory);
  std::filesystem::create_directories(chosen.directory);
  try {
    return soak_run(chosen).Run() ? 0 : 1;
  } catch (const std::exception& error) {
    // The processes have been ended on the way here.
    std::cerr << "plantain-soak: " << error.what() << '\n';
    return 2;
  }
}

}  // namespace
}  // namespace plantainhead::soak

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return plantainhead::soak::Main(argc, argv);
}
