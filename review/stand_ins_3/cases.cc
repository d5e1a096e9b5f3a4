#include "cases.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <string>

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

bool IsFinal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled" ||
         state == "410";
}

// Returns the longest time for which no task of the job ran.
milliseconds LongestIdleTime(site* deployment,
                             const std::string& job,
                             milliseconds watched) {
  auto last_ran_at = steady_clock::now();
  milliseconds longest(0);
  deployment->RunUntil(watched, [&] {
    const auto now = steady_clock::now();
    if (deployment->RunningTasksOf(job) > 0) {
      last_ran_at = now;
    }
    longest = std::max(
        longest, std::chrono::duration_cast<milliseconds>(now - last_ran_at));
    return false;
  });
  return longest;
}

std::int64_t WallTimeMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int RunLongSeries(const site_options& options, bool is_troubled) {
  constexpr int kTasks = 10;
  constexpr int kIntervalMs = 20;
  const int repeats = is_troubled ? 1800 : 200;
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  const std::string series = JobId(1);
  const bool is_series_accepted = deployment.Submit(
      "petition", series,
      R"({"spec":"ms=20","steps":[{"count":)" + std::to_string(kTasks) +
          R"(,"cpu":100,"mem_mb":16,"estimate_ms":20}],"repeat_count":)" +
          std::to_string(repeats) + R"(,"first_run_ms":)" +
          std::to_string(WallTimeMs() + 500) + R"(,"interval_ms":)" +
          std::to_string(kIntervalMs) + "}");
  if (!is_series_accepted) {
    return kCannotRun;
  }
  std::map<std::string, int>& counts =
      deployment.runs[{"petition-hub", series}];
  deployment.RunUntil(seconds(75), [&] {
    return deployment.oversized_appends > 0 ||
           counts["done"] >= repeats * kTasks;
  });
  deployment.Note("series: tasks started " + std::to_string(counts["started"]) +
                  ", ended as done " + std::to_string(counts["done"]));
  const std::string plain = JobId(2);
  const bool is_plain_accepted = deployment.Submit(
      "petition", plain,
      R"({"spec":"ms=200","steps":[{"count":2,"cpu":500,"mem_mb":64,)"
      R"("estimate_ms":200},{"count":2,"cpu":500,"mem_mb":64,)"
      R"("estimate_ms":200,"depends_on":[0]}]})");
  if (!is_plain_accepted) {
    return kCannotRun;
  }
  deployment.RunFor(kFinishTime);
  const std::string state =
      deployment.StateOf("petition", plain).value_or("no state from any node");
  deployment.Note("GET of the ordinary job after 14 s: " + state);
  if (state == "completed") {
    return kHeld;
  }
  const milliseconds idle =
      LongestIdleTime(&deployment, plain, milliseconds(6000));
  deployment.Note("it had nothing running for " + std::to_string(idle.count()) +
                  " ms; tasks running on all runners: " +
                  std::to_string(deployment.RunningTasks()) +
                  "; ends not acknowledged: " +
                  std::to_string(deployment.UnacknowledgedEnds()) +
                  "; appends that were too large: " +
                  std::to_string(deployment.oversized_appends));
  return idle >= kMaxIdleTime ? kBroken : kHeld;
}

int RunAgedStore(const site_options& options, bool is_troubled) {
  const std::uint64_t ended = is_troubled ? 1'000'000 : 12'000;
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.AddEndedJobs("petition", "petition-hub", ended);
  deployment.Start(kSchedulers);
  deployment.EnforceMemoryLimit();
  const std::string job = JobId(1);
  const bool is_accepted = deployment.Submit(
      "petition", job,
      R"({"spec":"ms=300","steps":[{"count":4,"cpu":500,"mem_mb":64,)"
      R"("estimate_ms":300}]})");
  if (!is_accepted) {
    return kCannotRun;
  }
  // The traffic has ended. The processes read their records meanwhile.
  deployment.RunFor(2 * kFinishTime);
  std::map<std::string, int>& counts = deployment.runs[{"petition-hub", job}];
  const milliseconds idle =
      LongestIdleTime(&deployment, job, milliseconds(10000));
  deployment.Note("tasks ended as done: " + std::to_string(counts["done"]) +
                  " of 4; the job had nothing running for " +
                  std::to_string(idle.count()) +
                  " ms; processes killed for their memory: " +
                  std::to_string(deployment.memory_kills) + "; most memory: " +
                  std::to_string(deployment.largest_bytes) + " bytes; GET: " +
                  deployment.StateOf("petition", job).value_or("no state"));
  return counts["done"] < 4 && idle >= kMaxIdleTime ? kBroken : kHeld;
}

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
  // Those that a stop has ended and that are not at work again.
  std::set<std::string> ended_by_order;
  deployment.OnStop([&](const std::string& task, bool was_at_work) {
    for (auto other = ended_by_order.begin(); other != ended_by_order.end();) {
      other = deployment.IsAtWork(*other) ? ended_by_order.erase(other)
                                          : std::next(other);
    }
    const int away = static_cast<int>(ended_by_order.size());
    deployment.Note("stop of " + task + (was_at_work ? ", at work" : "") +
                    ", while " + std::to_string(away) +
                    " others of its step are away by such an order");
    broken += was_at_work && away >= kMayMiss ? 1 : 0;
    ended_by_order.insert(task);
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
  constexpr int kShortJobs = 19;
  const std::string spec = is_troubled ? "ms=600000" : "ms=30000";
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  const std::string job = JobId(1);
  const bool is_accepted = deployment.Submit(
      "petition", job,
      R"({"spec":")" + spec +
          R"(","steps":[{"count":9,"cpu":15000,"mem_mb":1024,)"
          R"("estimate_ms":30000}]})");
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
  const std::map<std::string, int> before =
      deployment.runs[{"petition-hub", job}];
  const milliseconds idle = LongestIdleTime(&deployment, job, seconds(14));
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
  const bool is_over = counts["done"] >= kMachines;
  return !is_over && idle >= kMaxIdleTime ? kBroken : kHeld;
}

int RunBurstAfterQuiet(const site_options& options, bool is_troubled) {
  constexpr int kQuietJobs = 6;
  constexpr int kBurstJobs = 4;
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition")) {
    return kCannotRun;
  }
  for (int i = 0; is_troubled && i < kQuietJobs; ++i) {
    const bool is_accepted = deployment.Submit(
        "petition", JobId(100 + i),
        R"({"spec":"ms=300","steps":[{"count":2,"cpu":500,"mem_mb":64,)"
        R"("estimate_ms":300}]})");
    if (!is_accepted) {
      return kCannotRun;
    }
    deployment.RunFor(milliseconds(1500));
  }
  for (int i = 1; i <= kBurstJobs; ++i) {
    const bool is_accepted = deployment.Submit(
        "petition", JobId(i),
        R"({"spec":"ms=25000","steps":[{"count":1,"cpu":16000,)"
        R"("mem_mb":1024,"estimate_ms":25000}]})");
    if (!is_accepted) {
      return kCannotRun;
    }
  }
  // The traffic has ended.
  deployment.RunFor(kFinishTime);
  std::string waiting;
  for (int i = 1; i <= kBurstJobs; ++i) {
    if (deployment.RunningTasksOf(JobId(i)) == 0) {
      waiting = JobId(i);
    }
  }
  if (waiting.empty()) {
    deployment.Note("all jobs of the burst run");
    return kHeld;
  }
  const milliseconds idle =
      LongestIdleTime(&deployment, waiting, milliseconds(6000));
  deployment.Note("GET of " + waiting + ": " +
                  deployment.StateOf("petition", waiting).value_or(""));
  deployment.Note(
      waiting + " had nothing running for " + std::to_string(idle.count()) +
      " ms; runners in use: " + std::to_string(deployment.RunningTasks()) +
      " of " + std::to_string(kMachines));
  return idle >= kMaxIdleTime ? kBroken : kHeld;
}

int RunSameId(const site_options& options, bool is_troubled) {
  constexpr int kTasks = 4;
  site deployment(options);
  deployment.AddQueue({"petition", "petition-hub", 2});
  deployment.AddQueue({"appeal", "appeals-office", 2});
  deployment.AddMachines("petition-hub", kMachines, "a");
  deployment.AddMachines("appeals-office", kMachines, "a");
  deployment.AddSparePool("common-tools", kSpareMachines);
  deployment.Start(kSchedulers);
  if (!AwaitServing(&deployment, "petition") ||
      !AwaitServing(&deployment, "appeal")) {
    return kCannotRun;
  }
  const std::string steps =
      R"("steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":300},)"
      R"({"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":300,)"
      R"("depends_on":[0]}]})";
  const std::string first = JobId(1);
  const std::string second = is_troubled ? first : JobId(2);
  if (!deployment.Submit("petition", first, R"({"spec":"ms=300",)" + steps)) {
    return kCannotRun;
  }
  std::string state;
  deployment.RunUntil(seconds(20), [&] {
    state = deployment.StateOf("petition", first).value_or("");
    return IsFinal(state);
  });
  deployment.Note("GET /petition/" + first + ": " + state);
  if (!deployment.Submit("appeal", second, R"({"spec":"ms=300",)" + steps)) {
    return kCannotRun;
  }
  deployment.RunUntil(seconds(20), [&] {
    state = deployment.StateOf("appeal", second).value_or("");
    return IsFinal(state);
  });
  const int done = deployment.runs[{"appeals-office", second}]["done"];
  deployment.Note("GET /appeal/" + second + ": " + state +
                  "; its tasks that have ended as done: " +
                  std::to_string(done) + " of " + std::to_string(kTasks));
  if (state.empty()) {
    return kCannotRun;
  }
  return state == "completed" && done < kTasks ? kBroken : kHeld;
}

}  // namespace plantainhead::review
