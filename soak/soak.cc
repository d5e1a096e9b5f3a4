#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "hostile_crowd.h"
#include "net/http_client.h"
#include "run_ledger.h"
#include "scheduler_process.h"
#include "silence_run.h"
#include "soak_site.h"

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
constexpr int kFirstVersion = 3;
constexpr int kMostChanges = 4;
constexpr int kMostChangeGapMs = 300;
constexpr int kMostSeriesGapMs = 2000;
constexpr int kMostSignalGapMs = 150;
constexpr std::size_t kSteadyCallers = 2;
constexpr milliseconds kSteadyGap(20);
constexpr int kSteadyJobEvery = 50;
// Three tasks: two side by side, then one.
constexpr const char* kJob =
    R"({"spec":"x","steps":[
        {"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300},
        {"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":300,
         "depends_on":[0]}]})";
constexpr std::size_t kTasksOfJob = 3;
// Its task crashes each VM that starts it.
constexpr const char* kCrashingJob =
    R"({"spec":"x","steps":[
        {"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":300}]})";
constexpr int kCrashingEvery = 20;
// Two tasks that are at work while their VMs are cut off.
constexpr const char* kLongJob =
    R"({"spec":"long","steps":[
        {"count":2,"cpu":250,"mem_mb":10,"estimate_ms":9000}]})";
constexpr std::size_t kTasksOfLongJob = 2;
constexpr int kLongEvery = 3;

struct job_kind {
  const char* body;
  std::size_t tasks;
  bool is_crashing = false;
};
constexpr job_kind kShort{kJob, kTasksOfJob};
constexpr job_kind kLong{kLongJob, kTasksOfLongJob};
constexpr job_kind kCrashing{kCrashingJob, 1, true};

constexpr int kMostRestartGapMs = 2500;
constexpr int kLeastDarkMs = 300;
constexpr int kMostDarkMs = 1000;
constexpr int kMostTouchMs = 3000;
constexpr int kLeastCutMs = 4000;
constexpr int kMostCutMs = 9000;
constexpr milliseconds kCrashDelay(5);
constexpr int kLeastDownMs = 500;
constexpr int kMostDownMs = 6000;
constexpr milliseconds kSubmissionGap(120);
constexpr milliseconds kQueryGap(400);
constexpr milliseconds kTick(100);
// Faults begin in this time of each other, so that they overlap.
constexpr int kMostFaultGapMs = 900;
constexpr int kLeastFaultMs = 300;
constexpr int kMostFaultMs = 5000;
// Faults that were under way are over by then, and processes in touch.
constexpr milliseconds kInTouchAfter(kMostFaultMs + 3000);
constexpr milliseconds kInTouchAfterCuts(kMostDarkMs + kMostTouchMs +
                                         kMostCutMs + 3000);
// Jobs that were accepted must have ended this long after the last fault: the
// longest lease (4.6 s), a takeover, and their work, with much to spare.
constexpr seconds kCalm(60);

// As the logs of the processes have it.
std::string UtcTime() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%H:%M:%S");
  return text.str();
}

// The queue stays as it is but for its stretch; another comes and goes.
std::string ConfigurationOf(int version) {
  const bool is_odd = version % 2 != 0;
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/",)" +
         R"("service":"pool","max_attempts":20,"stretch":)" +
         (is_odd ? "2}" : "3}") +
         (is_odd ? ""
                 : R"(,{"name":"r","host":"a.example","path_prefix":"/r/",)"
                   R"("service":"pool","max_attempts":20,"stretch":2})") +
         R"(],"services":[{"name":"pool"}]})";
}

/// One run: real processes, faults by a seed, and callers.
class soak_run {
 public:
  explicit soak_run(const soak_options& chosen)
      : options_(chosen),
        site_(chosen,
              kConfiguration,
              [this](const std::string& vm,
                     fakes::vm_event event,
                     const std::string& task,
                     std::uint32_t run) {
                ledger_.NoteRun(vm, event, task, run);
                if (event == fakes::vm_event::kStarted &&
                    crashing_.count(task.substr(0, task.find('.'))) != 0) {
                  site_.After(kCrashDelay, [this, vm] { CrashVm(vm); });
                }
              }) {
    for (int i = 0; i < options_.vms; ++i) {
      site_.AddVm(kPool);
    }
  }

  /// Returns whether all promises were kept.
  bool Run() {
    Tick();
    site_.Every(kTick, [this] { Tick(); });
    site_.Every(kSubmissionGap, [this] { Submit(); });
    site_.Every(kQueryGap, [this] { QueryOpen(); });
    faults_end_ = steady_clock::now() + seconds(options_.seconds);
    if (!options_.is_alone) {
      NextFault();
    }
    if (options_.has_restarts) {
      NextRestart();
    }
    if (options_.has_hostile) {
      for (const soak_process& one : site_.processes) {
        hostile_.push_back(std::make_unique<hostile_crowd>(
            &site_.context, one.process->callers()));
      }
    }
    if (options_.has_changes) {
      BeginSteadyCallers();
      NextSeries();
    }
    site_.context.run_for(seconds(options_.seconds));
    is_calm_ = true;
    hostile_.clear();
    site_.After(options_.has_restarts ? kInTouchAfterCuts : kInTouchAfter,
                [this] { ledger_.NoteCalm(); });
    // Faults that were under way end within their time.
    const auto end = steady_clock::now() + kCalm;
    while (steady_clock::now() < end &&
           (!ledger_.OpenJobs().empty() || !HaveAllAnswered())) {
      AskAll();
      site_.context.run_for(kTick);
    }
    return Report();
  }

 private:
  // Another life takes its place; the registry notices later.
  void ReplaceVm(const std::string& id) {
    ledger_.NoteVmEnd(id);
    site_.vms[id].is_gone = true;
    site_.vms[id].vm->on_event = nullptr;
    site_.vms[id].proxy->Cut();
    site_.After(seconds(2), [this, id] {
      site_.store.Put("keyed.servers", id, std::nullopt);
      site_.AddVm(kPool);
    });
  }

  void CrashVm(const std::string& id) {
    if (site_.vms.count(id) == 0 || site_.vms[id].vm->is_silent) {
      return;
    }
    ledger_.NoteVmEnd(id);
    site_.CrashVm(id, milliseconds(site_.Draw(kLeastDownMs, kMostDownMs)));
  }

  soak_vm& AnyVm() {
    auto chosen = site_.vms.begin();
    // The last ones are the lives that haven't ended.
    std::advance(chosen, site_.Draw(0, static_cast<int>(site_.vms.size()) - 1));
    return chosen->second;
  }

  void NextFault() {
    if (steady_clock::now() >= faults_end_) {
      return;
    }
    BeginFault(milliseconds(site_.Draw(kLeastFaultMs, kMostFaultMs)));
    site_.After(milliseconds(site_.Draw(0, kMostFaultGapMs)),
                [this] { NextFault(); });
  }

  // Changes of the configuration and signals, some of them at the same time.
  void NextSeries() {
    if (steady_clock::now() >= faults_end_) {
      return;
    }
    milliseconds at(0);
    for (int i = site_.Draw(1, kMostChanges); i > 0; --i) {
      site_.After(at, [this] {
        site_.store.Put("keyed.op", "config", ConfigurationOf(++version_));
      });
      at += milliseconds(site_.Draw(0, kMostChangeGapMs));
      site_.After(at, [this] { SignalTwice(); });
    }
    site_.After(at + milliseconds(site_.Draw(0, kMostSeriesGapMs)),
                [this] { NextSeries(); });
  }

  void SignalTwice() {
    static constexpr std::array kSignals = {SIGTERM, SIGHUP, SIGSTOP, SIGKILL};
    const scheduler_process* const process = site_.AnyProcess().process.get();
    const milliseconds gap(site_.Draw(0, kMostSignalGapMs));
    const auto draw = [this] {
      return kSignals[static_cast<std::size_t>(
          site_.Draw(0, static_cast<int>(kSignals.size()) - 1))];
    };
    process->Signal(draw());
    site_.After(gap, [process, second = draw()] { process->Signal(second); });
    site_.After(2 * gap + kTick, [process] { process->Signal(SIGCONT); });
  }

  void BeginSteadyCallers() {
    for (const soak_process& one : site_.processes) {
      for (std::size_t i = 0; i < kSteadyCallers; ++i) {
        steady_callers_.push_back(std::make_unique<net::http_client>(
            &site_.context, one.process->callers(),
            net::http_client_options{.max_connections = 1}));
        KeepSending(steady_callers_.back().get());
      }
    }
  }

  // Sends on the same connection until the process closes it.
  void KeepSending(net::http_client* caller) {
    if (is_calm_) {
      return;
    }
    const auto again = [this, caller] {
      site_.After(kSteadyGap, [this, caller] { KeepSending(caller); });
    };
    if (++steady_calls_ % kSteadyJobEvery == 0) {
      SubmitTo(caller, kShort, again);
      return;
    }
    const std::string id = last_accepted_;
    caller->Send(CallerRequest(net::method::kGet, "q", id), seconds(4),
                 [this, id, again](const net::client_reply& reply) {
                   if (reply.status == 410) {
                     ledger_.NoteMissing(id);
                   }
                   again();
                 });
  }

  void NextRestart() {
    if (steady_clock::now() >= faults_end_) {
      return;
    }
    RestartAndCut(AnyVm().vm->id());
    site_.After(milliseconds(site_.Draw(0, kMostRestartGapMs)),
                [this] { NextRestart(); });
  }

  // The VM is in touch for a while between, so that tasks start there.
  void RestartAndCut(const std::string& id) {
    soak_vm& one = site_.vms.at(id);
    if (one.is_gone || one.vm->is_silent) {
      return;
    }
    const milliseconds dark(site_.Draw(kLeastDarkMs, kMostDarkMs));
    const milliseconds touch(site_.Draw(0, kMostTouchMs));
    const milliseconds cut(site_.Draw(kLeastCutMs, kMostCutMs));
    ledger_.NoteVmEnd(id);
    site_.RestartVm(id, dark);
    site_.After(dark + touch, [this, proxy = one.proxy.get(), cut] {
      Harm(proxy, link_fault::kSilent, cut, milliseconds(0));
    });
  }

  void BeginFault(milliseconds length) {
    soak_process& process = site_.AnyProcess();
    scheduler_process* const signalled = process.process.get();
    const milliseconds delay(site_.Draw(20, 400));
    switch (site_.Draw(0, 9)) {
      case 0:
        signalled->Signal(SIGKILL);
        return;
      case 1:
        signalled->Signal(SIGTERM);
        return;
      case 2:
        signalled->Signal(SIGSTOP);
        site_.After(length, [signalled] { signalled->Signal(SIGCONT); });
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
             site_.Draw(0, 1) == 0 ? link_fault::kSilent
                                   : link_fault::kLosesAnswers,
             length, delay);
        return;
      case 8: {
        fakes::site_vm* const late = AnyVm().vm.get();
        late->start_delay = delay * 10;
        site_.After(length, [late] { late->start_delay = milliseconds(0); });
        return;
      }
      default:
        if (site_.Draw(0, 2) == 0) {
          const std::string id = std::prev(site_.vms.end())->first;
          ReplaceVm(id);
        } else {
          site_.store.faults.is_refusing = true;
          site_.After(length / 2,
                      [this] { site_.store.faults.is_refusing = false; });
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
    site_.After(length, [proxy] {
      proxy->SetFault(link_fault::kNone);
      proxy->ResetAll();
    });
  }

  void Tick() {
    for (const std::string& end : site_.Tend()) {
      faults_of_their_own_.push_back(end);
      std::cout << UtcTime() << ' ' << end << '\n';
    }
    for (; told_ < ledger_.violations().size(); ++told_) {
      std::cout << UtcTime() << ' ' << ledger_.violations()[told_] << '\n';
    }
  }

  void AskAll() {
    for (soak_process& one : site_.processes) {
      if (!one.has_answered) {
        one.caller->Send(CallerRequest(net::method::kGet, "q", ""), seconds(4),
                         [&one](const net::client_reply& reply) {
                           one.has_answered |= reply.status == 200;
                         });
      }
    }
  }

  bool HaveAllAnswered() const {
    return std::all_of(
        site_.processes.begin(), site_.processes.end(),
        [](const soak_process& one) { return one.has_answered; });
  }

  net::http_client& AnyCaller() { return *site_.AnyProcess().caller; }

  void Submit() {
    if (!is_calm_) {
      SubmitTo(&AnyCaller(), NextKind(), [] {});
    }
  }

  const job_kind& NextKind() {
    ++submissions_;
    if (submissions_ % kCrashingEvery == 0) {
      return kCrashing;
    }
    return options_.has_restarts && submissions_ % kLongEvery == 0 ? kLong
                                                                   : kShort;
  }

  void SubmitTo(net::http_client* caller,
                const job_kind& kind,
                const std::function<void()>& done) {
    const std::string id = JobIdOf(++last_job_);
    ledger_.NoteSubmission(id, kind.tasks);
    net::client_request request = CallerRequest(net::method::kPost, "q", id);
    request.body = kind.body;
    if (kind.is_crashing) {
      crashing_.insert(id);
      ledger_.NoteCrashing(id);
    }
    caller->Send(request, seconds(4),
                 [this, id, done](const net::client_reply& reply) {
                   done();
                   if (reply.outcome != net::call_outcome::kAnswered) {
                     return;
                   }
                   if (reply.status == 200) {
                     ledger_.NoteAnswer(id, job_answer::kAccepted);
                     last_accepted_ = id;
                   } else if (reply.status == 503) {
                     ledger_.NoteAnswer(id, job_answer::kRefused);
                   }
                 });
  }

  void QueryOpen() {
    for (const std::string& id : ledger_.OpenJobs()) {
      AnyCaller().Send(
          CallerRequest(net::method::kGet, "q", id), seconds(4),
          [this, id](const net::client_reply& reply) {
            if (reply.status == 200 &&
                reply.body.find("completed") != std::string::npos) {
              ledger_.NoteCompleted(id);
            } else if (reply.status == 200 &&
                       reply.body.find("failed") != std::string::npos) {
              ledger_.NoteFailed(id);
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
    for (const soak_process& one : site_.processes) {
      if (!one.has_answered) {
        wrong.push_back("doesn't answer in calm: " + one.process->name());
      }
    }
    std::cout << "seed " << options_.seed << ": " << last_job_ << " jobs, "
              << ledger_.accepted() << " accepted, " << ledger_.starts()
              << " starts, peak " << site_.peak_bytes() / 1'000'000 << " MB, "
              << wrong.size() << " promises broken\n";
    for (const std::string& line : wrong) {
      std::cout << "  " << line << '\n';
    }
    return wrong.empty();
  }

  soak_options options_;
  run_ledger ledger_;
  std::vector<std::unique_ptr<hostile_crowd>> hostile_;
  std::set<std::string> crashing_;
  std::vector<std::string> faults_of_their_own_;
  steady_clock::time_point faults_end_;
  /// Violations that have been printed with their time.
  std::size_t told_ = 0;
  int version_ = kFirstVersion;
  int steady_calls_ = 0;
  std::string last_accepted_;
  int last_job_ = 0;
  int submissions_ = 0;
  bool is_calm_ = false;
  soak_site site_;
  std::vector<std::unique_ptr<net::http_client>> steady_callers_;
};

int Main(int argc, char** argv) {
  CLI::App app(
      "Runs real plantain-scheduler processes with faults from outside and "
      "checks what callers and VMs see. Exit code 1: a promise was broken.");
  soak_options chosen;
  app.add_option("--scheduler", chosen.scheduler, "The program");
  app.add_option("--directory", chosen.directory, "For settings and logs");
  app.add_option("--seed", chosen.seed, "Of the faults");
  app.add_option("--seconds", chosen.seconds, "How long faults come");
  app.add_option("--silences", chosen.silences,
                 "Run this many episodes in which connections to the store "
                 "fall silent instead, each with calm after it");
  app.add_flag(
      "--restarts", chosen.has_restarts,
      "VMs restart under their ids as well and are then cut off, while "
      "long tasks run");
  app.add_flag("--hostile", chosen.has_hostile,
               "Hostile clients send trailers without end, bodies that stop "
               "short and slow heads as well");
  app.add_flag("--changes", chosen.has_changes,
               "Changes of the configuration and signals come in series as "
               "well, and callers keep sending on their connections");
  app.add_flag("--alone", chosen.is_alone,
               "Without faults in any order, to see what those that were asked "
               "for do");
  app.add_option("--processes", chosen.processes, "Schedulers")
      ->check(CLI::Range(1, 50));
  app.add_option("--vms", chosen.vms, "VMs")->check(CLI::Range(1, 200));
  CLI11_PARSE(app, argc, argv);
  UsePortsOfThisRun();
  chosen.directory += "/" + std::to_string(chosen.seed);
  std::filesystem::remove_all(chosen.directory);
  std::filesystem::create_directories(chosen.directory);
  try {
    const bool is_kept =
        chosen.silences > 0 ? RunSilences(chosen) : soak_run(chosen).Run();
    return is_kept ? 0 : 1;
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
