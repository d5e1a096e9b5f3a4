#ifndef PLANTAINHEAD_REVIEW_STAND_INS_RUNNER_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_message.h"
#include "net/http_server.h"
#include "record.h"

namespace plantainhead::review {

/// One run of a task, as the runners saw it.
struct seen_run {
  std::string task;
  std::uint32_t run = 0;
  std::string runner;
  std::int64_t started_ms = 0;
  /// How the run ended; empty while it is running. "crashed": its runner
  /// crashed, so that no runner lists the end.
  std::string how;
  std::int64_t ended_ms = 0;
  /// When `acked_through` reached the end; -1 if it has not.
  std::int64_t noted_ms = -1;
  /// The runner's lease lapsed after the end and before it was taken note of.
  bool has_lapsed_before_note = false;
};

/// All runs of all tasks, in the order of their starts. Shared by the runners.
struct run_history {
  std::vector<std::shared_ptr<seen_run>> runs;
  std::map<std::string, std::vector<std::shared_ptr<seen_run>>> by_task;

  void Add(const std::shared_ptr<seen_run>& run);
  /// Returns how many runs of the task began.
  std::size_t StartsOf(const std::string& task) const;
  /// Returns how many runs are at work.
  std::size_t Running() const { return Ended(""); }
  /// Returns how many runs ended so.
  std::size_t Ended(const std::string& how) const;
};

/// Stands in for a runner of the platform: starts, stops and holds under a
/// lease, as PROTOCOL.md describes them. The job's `spec` says what its tasks
/// do: "run_ms=N" (their duration), "fails=N" (the first N starts of each task
/// end as failed) and "lasts=1" (they end only when they are stopped, and are
/// at work after `run_ms`). Not thread-safe.
class runner {
 public:
  runner(boost::asio::io_context* context,
         std::string machine,
         std::string address,
         run_history* history,
         record* log);

  /// Begins the first or another life under a new id.
  void Begin(const std::string& id, const std::string& service);
  /// Ends this life without a word: its connections break, its port is closed
  /// and its tasks are gone.
  void Crash();

  bool is_up() const { return server_ != nullptr; }
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& machine() const { return machine_; }
  nlohmann::json Capacity() const;
  nlohmann::json Labels() const;
  /// Returns the runner's report about itself; each has another `seq`.
  std::string Report();

 private:
  using steady_clock = std::chrono::steady_clock;

  struct ended_run {
    std::uint64_t number = 0;
    std::shared_ptr<seen_run> run;
  };

  void Handle(const net::server_request& request,
              const net::responder& respond);
  net::server_response Answer(unsigned status, nlohmann::json body) const;
  void Start(const nlohmann::json& body, const net::responder& respond);
  void Hold(const nlohmann::json& body, const net::responder& respond);
  void ExtendLease(const nlohmann::json& body);
  void EndLater(const std::shared_ptr<seen_run>& run,
                std::chrono::milliseconds time,
                const char* how);
  void End(std::shared_ptr<seen_run> run, const char* how);
  net::server_response Listing() const;
  void AnswerHolds();
  std::int64_t ClockMs() const;

  boost::asio::io_context* context_;
  std::string machine_;
  std::string address_;
  run_history* history_;
  record* log_;
  std::string id_;
  std::string service_;
  std::unique_ptr<net::http_server> server_;
  std::uint64_t life_ = 0;
  std::uint64_t report_ = 0;
  steady_clock::time_point clock_zero_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  boost::asio::steady_timer lease_timer_;
  std::map<std::string, std::shared_ptr<seen_run>> running_;
  std::map<std::string, std::int64_t> run_ms_;
  std::map<std::string, std::uint32_t> highest_;
  std::vector<ended_run> ended_;
  std::uint64_t last_end_ = 0;
  std::vector<net::responder> holds_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_RUNNER_H_
