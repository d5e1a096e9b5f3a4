#ifndef PLANTAINHEAD_REVIEW_STAND_INS_3_RUNNER_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_3_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace plantainhead::review {

/// Stands in for one life of a runner, as PROTOCOL.md describes it: starts,
/// stops, holds and pace under a lease and a fencing token. A task's `spec`
/// states how it behaves: "ms=N" (it ends as done after N milliseconds) or
/// "lasts" (it runs until it is stopped). Not thread-safe.
class runner {
 public:
  /// Reports what happens to a run: "started", or how it ended.
  using run_listener = std::function<
      void(const std::string& task, std::uint32_t run, const std::string& how)>;

  runner(boost::asio::io_context* context,
         std::string id,
         const std::string& address,
         run_listener on_run);
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;
  ~runner();

  const std::string& id() const { return id_; }
  std::size_t running() const { return running_.size(); }
  /// Returns the number of tasks of the job that run here.
  std::size_t RunningOf(const std::string& job) const;
  /// Is told of each stop of a task that runs here, before it is carried out,
  /// and whether the task was at work.
  std::function<void(const std::string& task, bool was_at_work)> on_stop;

 private:
  using clock = std::chrono::steady_clock;

  struct task_run {
    std::uint32_t number = 0;
    clock::time_point started_at;
    /// Zero for a task that lasts.
    std::chrono::milliseconds duration{0};
  };

  struct ended_run {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };

  struct waiting_hold {
    net::responder respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Handle(const net::server_request& request,
              const net::responder& respond);
  void Start(const nlohmann::json& body, const net::responder& respond);
  void Hold(const nlohmann::json& body, const net::responder& respond);
  void End(const std::string& task,
           std::uint32_t number,
           const std::string& how);
  void ExtendLease(std::int64_t deadline_ms);
  void AnswerHolds();
  std::int64_t ClockMs() const;
  net::server_response Answer(unsigned status, nlohmann::json body) const;
  net::server_response Listing() const;
  int PercentOf(const task_run& held) const;

  boost::asio::io_context* context_;
  std::string id_;
  run_listener on_run_;
  clock::time_point booted_at_ = clock::now();
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  boost::asio::steady_timer lease_timer_;
  std::map<std::string, task_run> running_;
  /// The highest run of each task that was stopped or ended here.
  std::map<std::string, std::uint32_t> highest_ended_;
  std::vector<ended_run> ended_;
  std::uint64_t last_end_ = 0;
  std::vector<waiting_hold> holds_;
  /// Expires with this life, so that timers of an earlier life do nothing.
  std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
  std::unique_ptr<net::http_server> server_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_3_RUNNER_H_
