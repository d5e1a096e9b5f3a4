#include "plantainhead/observe/job_trace.h"

#include <catch2/catch.hpp>

namespace plantainhead::observe {
namespace {

// A job is accepted by one process and run by another; its first VM falls
// silent, and its task runs again elsewhere. Someone who has only its id and
// the logs finds each of these, and nothing of other jobs.
TEST_CASE("A job's trace has what decided about it, in order") {
  const std::vector<process_log> logs = {
      {"entry-1",
       R"({"time":"T10","message":"job accepted","job":"aaa","ms":"7"}
{"time":"T11","message":"job accepted","job":"bbb","ms":"7"}
not json
{"time":"T05","message":"store lost"}
)"},
      {"entry-2",
       R"({"time":"T12","message":"task started","job":"aaa","vm":"vm-1"}
{"time":"T13","message":"vm lost","vm":"vm-1","reason":"a hold had no answer"}
{"time":"T14","message":"vm lost","vm":"vm-9"}
{"time":"T15","message":"ownership lost","partition":"3"}
{"time":"T16","message":"task started","job":"bbb","vm":"vm-1"}
{"time":"T18","message":"job ended","job":"aaa","verdict":"late, runs repeated"}
{"time":"T19","message":"store lost"}
)"},
      {"entry-3", R"({"time":"T13","message":"store lost"})"}};
  const job_trace trace = TraceJob("aaa", logs);
  std::vector<std::string> messages;
  for (const trace_event& event : trace.events) {
    messages.push_back(event.process + ": " + event.message);
  }
  CHECK(messages == std::vector<std::string>{
                        "entry-1: job accepted", "entry-2: task started",
                        "entry-2: vm lost", "entry-2: ownership lost",
                        "entry-2: job ended"});
  CHECK(trace.events[1].details == "job=aaa vm=vm-1");
  CHECK(trace.verdict == "late, runs repeated");
  CHECK(ToText(trace).find("verdict: late, runs repeated\n") !=
        std::string::npos);
}

// After an outage a process tells of tasks, VMs and jobs in lists, one line for
// many. Someone who looks for one job finds it in them, and what befell the VMs
// that only such a list names.
TEST_CASE("A job's trace knows it and its VMs in lines that list several") {
  const std::vector<process_log> logs = {
      {"entry-1",
       R"({"time":"T10","message":"job read","jobs":"aaa bbb","count":"2"}
{"time":"T11","message":"job read","jobs":"bbb ccc","count":"2"}
{"time":"T12","message":"task started","job":"aaa","tasks":"vm-1:0-3,7 vm-2:4"}
{"time":"T13","message":"task started","job":"bbb","tasks":"vm-1:0 vm-3:1"}
{"time":"T14","message":"vm lost","vms":"vm-2 vm-3"}
{"time":"T15","message":"vm lost","vms":"vm-3 vm-4"}
{"time":"T16","message":"vm heard","vm":"vm-1"}
{"time":"T17","message":"job ended","job":"aaa","verdict":"in time"}
)"}};
  const job_trace trace = TraceJob("aaa", logs);
  std::vector<std::string> times;
  for (const trace_event& event : trace.events) {
    times.push_back(event.time);
  }
  CHECK(times == std::vector<std::string>{"T10", "T12", "T14", "T16", "T17"});
  CHECK(trace.events[1].details == "job=aaa tasks=vm-1:0-3,7 vm-2:4");
}

TEST_CASE("One file may hold the lines of several processes") {
  const job_trace trace = TraceJob(
      "aaa", {{"all.log",
               R"(  1.50 entry-7 {"time":"T1","message":"x","job":"aaa"})"}});
  REQUIRE(trace.events.size() == 1);
  CHECK(trace.events[0].process == "entry-7");
  CHECK(trace.verdict.empty());
}

TEST_CASE("A job that no line names has an empty trace") {
  CHECK(
      TraceJob("zzz", {{"a", R"({"time":"T1","job":"aaa"})"}}).events.empty());
  CHECK(ToText(job_trace()) == "no line names this job\n");
}

}  // namespace
}  // namespace plantainhead::observe
