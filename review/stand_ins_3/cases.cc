#include "cases.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace plantainhead::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kSchedulers = 3;
constexpr int kMachines = 9;
constexpr int kSpareMachines = 4;
// `finish_s` of the sheets.
constexpr seconds kFinishTime(14);
// For how long a job may have nothing running, by the rule LOST.
constexpr milliseconds kMaxIdleTime(3000);

bool AwaitServing(site* deployment, const std::string& queue) {
  for (int i = 0; i < 40; ++i) {
    if (deployment->IsServing(queue)) {
      return true;
    }
    deployment->RunFor(milliseconds(250));
  }
  deployment->Note("no process served " + queue + " in time");
  return false;
}

// Returns the longest time for which no task of the jobs ran.
milliseconds LongestIdleTime(site* deployment,
                             const std::vector<std::string>& jobs,
                             milliseconds watched) {
  auto last_ran_at = steady_clock::now();
  milliseconds longest(0);
  deployment->RunUntil(watched, [&] {
    const auto now = steady_clock::now();
    for (const std::string& job : jobs) {
      if (deployment->RunningTasksOf(job) > 0) {
        last_ran_at = now;
      }
    }
    longest = std::max(
        longest, std::chrono::duration_cast<milliseconds>(now - last_ran_at));
    return false;
  });
  return longest;
}

}  // namespace

int RunServingJob(const site_options& options, bool is_troubled) {
  constexpr milliseconds kGap(1400);
  constexpr int kTasks = 5;
  constexpr int kMayMiss = 1;
  site deployment(options);
  deployment.AddQueue({"archive", "petition-hub", 2});
  deployment.AddMachines("petition-hub", 8, "a");
  const std::string flapping = deployment.AddMachines("petition-hub", 1, "b");
  deployment.AddMachines("petition-hub", 1, "b");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "archive")) {
    return kCannotRun;
  }
  const std::string job = JobId(1);
  const bool is_accepted = deployment.Submit(
      "archive", job,
      R"({"spec":"lasts","steps":[{"count":5,"cpu":1300,"mem_mb":4800,)"
      R"("estimate_ms":0,"long_running":true,"may_miss":1,)"
      R"("anti_affinity":3,"requirements":"b"}]})");
  const bool has_begun = is_accepted && deployment.RunUntil(seconds(10), [&] {
    return deployment.RunningTasksOf(job) == kTasks;
  });
  if (!has_begun) {
    return kCannotRun;
  }
  // All tasks are at work.
  deployment.RunFor(seconds(4));
  std::map<std::string, int>& counts = deployment.runs[{"petition-hub", job}];
  int broken = 0;
  // By task that a stop has ended: how often it had started. One that has
  // started again no longer counts as ended by that stop.
  std::map<std::string, int> ended_by_order;
  deployment.OnStop([&](const std::string& task, const std::string& where,
                        bool was_at_work) {
    const auto away = std::count_if(
        ended_by_order.begin(), ended_by_order.end(), [&](const auto& ended) {
          return ended.first != task &&
                 deployment.starts[ended.first] == ended.second;
        });
    deployment.Note("stop of " + task + " on " + where +
                    (was_at_work ? ", at work" : "") + ", while " +
                    std::to_string(away) +
                    " others of its step are away by such an order");
    const bool is_sound = where != flapping;
    broken += was_at_work && is_sound && away >= kMayMiss ? 1 : 0;
    ended_by_order[task] = deployment.starts[task];
  });
  for (int spell = 0; is_troubled && spell < 2; ++spell) {
    for (int turn = 0; turn < 3; ++turn) {
      deployment.Crash(flapping);
      deployment.RunFor(kGap);
      deployment.Boot(flapping);
      deployment.RunFor(kGap);
    }
  }
  deployment.RunFor(seconds(10));
  const std::string state =
      deployment.StateOf("archive", job).value_or("no state from any node");
  deployment.Note("GET: " + state + "; ends as failed: " +
                  std::to_string(counts["failed"]) + "; tasks running: " +
                  std::to_string(deployment.RunningTasksOf(job)) + " of " +
                  std::to_string(kTasks) +
                  "; stops against may_miss: " + std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

int RunLongTasks(const site_options& options, bool is_troubled) {
  constexpr int kTasks = 3;
  constexpr int kShortJobs = 19;
  const std::string spec = is_troubled ? "ms=600000" : "ms=50000";
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines - kTasks, "a");
  deployment.AddMachines("petition-hub", kTasks, "b");
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  const std::string job = JobId(1);
  const bool is_accepted = deployment.Submit(
      "petition", job,
      R"({"spec":")" + spec +
          R"(","steps":[{"count":3,"cpu":15000,"mem_mb":1024,)"
          R"("estimate_ms":50000,"requirements":"b"}]})");
  if (!is_accepted) {
    return kCannotRun;
  }
  for (int i = 0; i < kShortJobs; ++i) {
    const bool is_short_accepted = deployment.Submit(
        "petition", JobId(2 + i),
        R"({"spec":"ms=300","steps":[{"count":2,"cpu":500,"mem_mb":64,)"
        R"("estimate_ms":300}]})");
    if (!is_short_accepted) {
      return kCannotRun;
    }
  }
  // The traffic has ended.
  deployment.RunFor(kFinishTime);
  const milliseconds idle = LongestIdleTime(&deployment, {job}, seconds(60));
  std::map<std::string, int>& counts = deployment.runs[{"petition-hub", job}];
  const std::string state = deployment.StateOf("petition", job).value_or("");
  deployment.Note("GET: " + state +
                  "; runs started: " + std::to_string(counts["started"]) +
                  ", stopped: " + std::to_string(counts["stopped"]) +
                  ", done: " + std::to_string(counts["done"]));
  deployment.Note(
      "from 14 s after the traffic on, the job had nothing running "
      "for up to " +
      std::to_string(idle.count()) + " ms");
  const bool is_over = counts["done"] >= kTasks;
  return !is_over && idle >= kMaxIdleTime ? kBroken : kHeld;
}

int RunWideJob(const site_options& options, bool is_troubled) {
  constexpr int kSteps = 240;
  const std::string count = is_troubled ? "10000" : "10";
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  deployment.EnforceMemoryLimit();
  std::string steps;
  for (int i = 0; i < kSteps; ++i) {
    steps +=
        std::string(i == 0 ? "" : ",") + R"({"count":)" + count +
        R"(,"cpu":100,"mem_mb":16,"estimate_ms":20)" +
        (i == 0 ? "" : R"(,"depends_on":[)" + std::to_string(i - 1) + "]") +
        "}";
  }
  const std::string body = R"({"spec":"ms=20","steps":[)" + steps + "]}";
  deployment.Note("the caller's body has " + std::to_string(body.size()) +
                  " bytes");
  deployment.Submit("petition", JobId(1), body);
  const std::string job = JobId(2);
  const bool is_accepted = deployment.Submit(
      "petition", job,
      R"({"spec":"ms=300","steps":[{"count":4,"cpu":500,"mem_mb":64,)"
      R"("estimate_ms":300}]})");
  if (!is_accepted) {
    return kCannotRun;
  }
  // The traffic has ended.
  deployment.RunFor(kFinishTime);
  std::map<std::string, int>& counts = deployment.runs[{"petition-hub", job}];
  // The capacity counts as free only while no task of either job runs.
  const milliseconds idle =
      LongestIdleTime(&deployment, {job, JobId(1)}, milliseconds(10000));
  deployment.Note("tasks of the ordinary job that ended as done: " +
                  std::to_string(counts["done"]) +
                  " of 4; it had nothing "
                  "running for " +
                  std::to_string(idle.count()) +
                  " ms; processes killed for their memory: " +
                  std::to_string(deployment.memory_kills) + "; most memory: " +
                  std::to_string(deployment.largest_bytes) + " bytes; GET: " +
                  deployment.StateOf("petition", job).value_or("no state"));
  return counts["done"] < 4 && idle >= kMaxIdleTime ? kBroken : kHeld;
}

int RunNestedBody(const site_options& options, bool is_troubled) {
  constexpr std::size_t kDepth = 120'000;
  constexpr int kRequests = 3;
  constexpr int kAttempts = 5;
  constexpr int kMaxEnds = 3;
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  deployment.RestartEnded();
  std::string steps;
  if (is_troubled) {
    steps = std::string(kDepth, '[') + std::string(kDepth, ']');
  } else {
    // As many brackets, not nested.
    for (std::size_t i = 0; i < kDepth; ++i) {
      steps += i == 0 ? "1" : ",1";
    }
    steps = "[" + steps + "]";
  }
  const std::string body = R"({"spec":"ms=300","steps":[)" + steps + "]}";
  deployment.Note("the caller's body has " + std::to_string(body.size()) +
                  " bytes");
  std::size_t at = 0;
  for (int i = 0; i < kRequests; ++i) {
    // After no response the request is repeated at other nodes.
    unsigned status = 0;
    for (int attempt = 0; attempt < kAttempts && status == 0; ++attempt) {
      status = deployment.Post(at, "petition", JobId(100 + i), body);
      at = (at + 1) % deployment.schedulers.size();
      deployment.RunFor(milliseconds(1500));
    }
  }
  int machines = 0;
  for (const scheduler& one : deployment.schedulers) {
    deployment.Note(one.name + ": ended by itself " + std::to_string(one.ends) +
                    " times");
    machines += one.ends >= kMaxEnds ? 1 : 0;
  }
  // Two at least, and a tenth of the machines in use.
  return machines >= 2 ? kBroken : kHeld;
}

}  // namespace plantainhead::review
