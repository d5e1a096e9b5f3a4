#include "silence_run.h"

#include <array>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "run_ledger.h"
#include "timed_promises.h"

namespace plantainhead::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* kPool = "pool";
// Its VMs refuse all that they are told to start, so that its jobs wait.
constexpr const char* kFullPool = "full";
constexpr const char* kQueue = "q";
constexpr const char* kWaitingQueue = "w";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[
        {"name":"q","host":"a.example","path_prefix":"/q/","service":"pool",
         "max_attempts":20,"stretch":2},
        {"name":"w","host":"a.example","path_prefix":"/w/","service":"full",
         "max_attempts":20,"stretch":2}],
        "services":[{"name":"pool"},{"name":"full"}]})";
constexpr const char* kShortJob =
    R"({"spec":"x","steps":[
        {"count":2,"cpu":500,"mem_mb":10,"estimate_ms":300}]})";
constexpr const char* kLastingJob =
    R"({"spec":"lasts","steps":[
        {"count":2,"cpu":500,"mem_mb":10,"long_running":true}]})";
// More than a VM has.
constexpr const char* kLargeJob =
    R"({"spec":"x","steps":[
        {"count":1,"cpu":9000,"mem_mb":10,"estimate_ms":300}]})";
constexpr std::size_t kTasksOfJob = 2;
constexpr milliseconds kTick(50);
// The soak plays the store and the VMs: while it stands still itself, all are
// disturbed.
constexpr milliseconds kStandstill(400);
constexpr seconds kStart(4);
constexpr seconds kCallTimeout(4);
constexpr milliseconds kRetryGap(300);
// Four short jobs a second and three that last at a time leave half of the
// pool's room free.
constexpr milliseconds kShortGap(250);
constexpr milliseconds kLastingGap(700);
constexpr milliseconds kLastingTime(1500);
constexpr int kLastingAtOnce = 3;
// Less than half of those that wait later, so that a process that knows no
// others tells too few.
constexpr int kPrimingJobs = 5;
constexpr int kWaitingAtOnce = 14;
constexpr milliseconds kCountGap(400);
// Longer than the pause of a process that reads in the background (3.5 s), so
// that its reads wait for records when the connections fall silent.
constexpr int kLeastQuietMs = 3700;
constexpr int kMostQuietMs = 4700;
// From the beginning of the silence until the partitions are dealt anew. A
// process may be down before; they go to others when it is back.
constexpr int kEarliestDownMs = -3000;
constexpr int kLatestDealMs = 1000;
// A silent read is given up 10.9 s after it was sent. What it holds back shows
// only if the trouble is over, and 3 s more, well before that.
constexpr int kMostSilenceMs = 1500;
// A process that is down this long loses its membership (2.4 s).
constexpr milliseconds kDown(3000);
// From the end of the trouble until the silent reads are given up.
constexpr seconds kCalm(11);
constexpr seconds kSettling(20);

/// What makes the store deal partitions to other members.
enum class deal_cause { kNone, kNoReason, kKill, kStop };

// The cause is drawn from these. Without a disturbance of a process the calm
// comes soonest, and most of what silent reads hold back shows.
constexpr std::array kDealCauses = {
    deal_cause::kNone,     deal_cause::kNoReason, deal_cause::kNoReason,
    deal_cause::kNoReason, deal_cause::kKill,     deal_cause::kStop};

class silence_run {
 public:
  explicit silence_run(const soak_options& chosen)
      : options_(chosen),
        promises_(promise_bounds{}),
        site_(chosen,
              kConfiguration,
              [this](const std::string& vm,
                     fakes::vm_event event,
                     const std::string& task,
                     std::uint32_t run) { TakeRun(vm, event, task, run); }) {
    for (int i = 0; i < options_.vms; ++i) {
      site_.AddVm(kPool);
    }
    site_.vms[site_.AddVm(kFullPool)].vm->refuses_starts = true;
  }

  bool Run() {
    promises_.NoteDisturbed(steady_clock::now());
    Tick();
    site_.Every(kTick, [this] { Tick(); });
    site_.Every(kShortGap, [this] { HandInShort(); });
    site_.Every(kLastingGap, [this] { HandInLasting(); });
    site_.Every(kCountGap, [this] { AskCounts(); });
    site_.context.run_for(kStart);
    for (int i = 0; i < options_.silences; ++i) {
      PlayEpisode();
    }
    // Not before: a process that is asked for a job that it doesn't know reads
    // the store for it, and would learn what silent reads keep from it.
    site_.Every(kCountGap, [this] { QueryOpen(); });
    const auto end = steady_clock::now() + kSettling;
    while (steady_clock::now() < end && !ledger_.OpenJobs().empty()) {
      site_.context.run_for(kTick);
    }
    return Report();
  }

 private:
  void PlayEpisode() {
    Prime();
    BringTrouble();
    is_busy_ = true;
    CancelLasting();
    const bool are_refused = site_.Draw(0, 1) == 0;
    for (int i = 0; i < kWaitingAtOnce; ++i) {
      HandIn(kWaitingQueue, are_refused ? kShortJob : kLargeJob, false);
      site_.context.run_for(kTick);
    }
    site_.context.run_for(kCalm);
    is_busy_ = false;
    CancelAll();
  }

  // Writes to the partitions of both queues, so that their reads begin to wait
  // for the next record at one time, shortly before the trouble.
  void Prime() {
    for (int i = 0; i < kLastingAtOnce; ++i) {
      HandIn(kQueue, kLastingJob, true);
    }
    for (int i = 0; i < kPrimingJobs; ++i) {
      HandIn(kQueue, kShortJob, false);
      HandIn(kWaitingQueue, kLargeJob, false);
    }
  }

  // Returns when it is over.
  void BringTrouble() {
    const milliseconds silence_at(site_.Draw(kLeastQuietMs, kMostQuietMs));
    const milliseconds length(site_.Draw(0, kMostSilenceMs));
    const auto cause = kDealCauses.at(static_cast<std::size_t>(
        site_.Draw(0, static_cast<int>(kDealCauses.size()) - 1)));
    const bool is_down =
        cause == deal_cause::kKill || cause == deal_cause::kStop;
    const milliseconds deal_at =
        silence_at +
        milliseconds(site_.Draw(is_down ? kEarliestDownMs : 0, kLatestDealMs));
    site_.After(silence_at, [this, length] { SilenceSome(length); });
    site_.After(deal_at, [this, cause] { DealAnew(cause); });
    site_.context.run_for(std::max(
        silence_at + length, deal_at + (is_down ? kDown : milliseconds(0))));
  }

  void SilenceSome(milliseconds length) {
    const bool is_everywhere = site_.Draw(0, 2) != 0;
    soak_process* const one = &site_.AnyProcess();
    for (soak_process& process : site_.processes) {
      if (is_everywhere || &process == one) {
        Silence(process.store.get(), length);
      }
    }
  }

  // Connections that were open stay silent afterwards, and aren't reset.
  void Silence(fault_proxy* store, milliseconds length) {
    promises_.NoteDisturbed(steady_clock::now() + length);
    store->SilenceOpen();
    store->SetFault(link_fault::kSilent);
    site_.After(length, [store] {
      store->SilenceOpen();
      store->SetFault(link_fault::kNone);
    });
  }

  void DealAnew(deal_cause cause) {
    switch (cause) {
      case deal_cause::kNone:
        return;
      case deal_cause::kNoReason:
        site_.store.DealAnew();
        return;
      case deal_cause::kKill:
        TakeDown(SIGKILL);
        return;
      case deal_cause::kStop:
        TakeDown(SIGSTOP);
        return;
    }
  }

  // Its partitions go to the others. When it is back it gets different ones.
  void TakeDown(int signal) {
    soak_process* const one = &site_.AnyProcess();
    promises_.NoteDisturbed(steady_clock::now() + kDown + 2 * kTick);
    one->is_down = true;
    one->process->Signal(signal);
    site_.After(kDown, [this, one] {
      one->is_down = false;
      one->process->Signal(SIGCONT);
      site_.store.DealAnew();
    });
  }

  void Tick() {
    const auto now = steady_clock::now();
    if (last_tick_ != steady_clock::time_point() &&
        now - last_tick_ > kStandstill) {
      ++standstills_;
      promises_.NoteDisturbed(now);
    }
    last_tick_ = now;
    for (const std::string& end : site_.Tend()) {
      faults_of_their_own_.push_back(end);
    }
    promises_.Check(now);
  }

  void TakeRun(const std::string& vm,
               fakes::vm_event event,
               const std::string& task,
               std::uint32_t run) {
    using fakes::vm_event;
    ledger_.NoteRun(vm, event, task, run);
    if (event == vm_event::kStarted) {
      promises_.NoteStarted(vm, task.substr(0, task.find('.')), task,
                            steady_clock::now());
    } else if (event != vm_event::kAcknowledged) {
      promises_.NoteEnded(vm, task);
    }
  }

  void HandInShort() {
    if (is_busy_) {
      HandIn(kQueue, kShortJob, false);
    }
  }

  void HandInLasting() {
    if (is_busy_) {
      const std::string id = HandIn(kQueue, kLastingJob, true);
      site_.After(kLastingTime, [this, id] { Cancel(kQueue, id); });
    }
  }

  std::string HandIn(const std::string& queue,
                     const char* job,
                     bool must_be_cancelled) {
    const std::string id = JobIdOf(++last_job_);
    ledger_.NoteSubmission(id, kTasksOfJob);
    queues_[id] = queue;
    if (must_be_cancelled || queue == kWaitingQueue) {
      to_cancel_.emplace(queue, id);
    }
    net::client_request request = CallerRequest(net::method::kPost, queue, id);
    request.body = job;
    site_.AnyProcess().caller->Send(
        std::move(request), kCallTimeout,
        [this, id, queue](const net::client_reply& reply) {
          if (reply.outcome == net::call_outcome::kAnswered) {
            TakeAnswer(queue, id, reply.status);
          }
        });
    return id;
  }

  void TakeAnswer(const std::string& queue,
                  const std::string& id,
                  unsigned status) {
    if (status == 200) {
      ledger_.NoteAnswer(id, job_answer::kAccepted);
      promises_.NoteAccepted(id, queue, queue == kQueue, steady_clock::now());
    } else if (status == 503) {
      ledger_.NoteAnswer(id, job_answer::kRefused);
    }
  }

  void CancelAll() {
    const auto all = to_cancel_;
    for (const auto& [queue, id] : all) {
      Cancel(queue, id);
    }
  }

  // Those of the waiting queue go on waiting.
  void CancelLasting() {
    const auto all = to_cancel_;
    for (const auto& [queue, id] : all) {
      if (queue == kQueue) {
        Cancel(queue, id);
      }
    }
  }

  // Tries until a process answers, as clients do.
  void Cancel(const std::string& queue, const std::string& id) {
    to_cancel_.erase({queue, id});
    promises_.NoteCancelSent(id);
    ledger_.NoteCancelSent(id);
    site_.AnyProcess().caller->Send(
        CallerRequest(net::method::kDelete, queue, id), kCallTimeout,
        [this, queue, id](const net::client_reply& reply) {
          if (reply.outcome == net::call_outcome::kAnswered &&
              reply.status == 200) {
            promises_.NoteCancelled(id, steady_clock::now());
          } else if (reply.outcome != net::call_outcome::kAnswered ||
                     reply.status != 410) {
            site_.After(kRetryGap, [this, queue, id] { Cancel(queue, id); });
          }
        });
  }

  void AskCounts() {
    for (soak_process& one : site_.processes) {
      const auto sent_at = steady_clock::now();
      const std::string process = one.process->callers();
      one.caller->Send(
          CallerRequest(net::method::kGet, kWaitingQueue, ""), kCallTimeout,
          [this, process, sent_at](const net::client_reply& reply) {
            TakeCount(process, sent_at, reply);
          });
    }
  }

  void TakeCount(const std::string& process,
                 steady_clock::time_point sent_at,
                 const net::client_reply& reply) {
    const std::string field = "\"pending\":";
    const std::size_t at = reply.body.find(field);
    if (reply.status == 200 && at != std::string::npos) {
      const auto told = std::stoul(reply.body.substr(at + field.size()));
      promises_.NoteCount(process, kWaitingQueue, told, sent_at,
                          steady_clock::now());
    } else if (promises_.IsCalm(sent_at)) {
      ++untold_counts_;
    }
  }

  void QueryOpen() {
    for (const std::string& id : ledger_.OpenJobs()) {
      site_.AnyProcess().caller->Send(
          CallerRequest(net::method::kGet, queues_.at(id), id), kCallTimeout,
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
    const auto add = [&wrong](const std::vector<std::string>& more) {
      wrong.insert(wrong.end(), more.begin(), more.end());
    };
    add(promises_.violations());
    add(faults_of_their_own_);
    for (const std::string& id : ledger_.OpenJobs()) {
      wrong.push_back("accepted and not completed: " + id);
    }
    std::cout << "seed " << options_.seed << ": " << options_.silences
              << " silences, " << ledger_.accepted() << " accepted, "
              << ledger_.starts() << " starts, " << promises_.checked_cancels()
              << " cancelled tasks ended, " << promises_.checked_counts()
              << " counts checked, " << untold_counts_ << " not told, "
              << standstills_ << " standstills, " << wrong.size()
              << " promises broken\n";
    for (const std::string& line : wrong) {
      std::cout << "  " << line << '\n';
    }
    return wrong.empty();
  }

  soak_options options_;
  run_ledger ledger_;
  timed_promises promises_;
  std::map<std::string, std::string> queues_;
  std::set<std::pair<std::string, std::string>> to_cancel_;
  std::vector<std::string> faults_of_their_own_;
  steady_clock::time_point last_tick_;
  std::size_t standstills_ = 0;
  std::size_t untold_counts_ = 0;
  int last_job_ = 0;
  bool is_busy_ = false;
  soak_site site_;
};

}  // namespace

bool RunSilences(const soak_options& chosen) {
  return silence_run(chosen).Run();
}

}  // namespace plantainhead::soak
