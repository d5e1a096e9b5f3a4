#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_RUNNER_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::review {

/// Stands in for a runner that takes calls: start, stop, hold and pace. A task
/// works for its estimate and ends as done. Not thread-safe.
class runner {
 public:
  runner(boost::asio::io_context* context,
         std::string id,
         std::string address,
         std::chrono::milliseconds task_time);
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;

  const std::string& id() const { return id_; }
  /// Returns the value of the runner's entry in the store.
  std::string Entry(const std::string& service) const;
  bool is_up() const { return server_ != nullptr; }
  /// The process of the runner dies, with all that it runs.
  void Crash();
  /// Starts again at the same address. The new life has another id, and runs
  /// and remembers nothing.
  void Restart(const std::string& id);

  std::function<void(const std::string& task, std::uint32_t run)> on_start;
  std::function<
      void(const std::string& task, std::uint32_t run, const std::string& how)>
      on_end;

 private:
  struct work {
    std::uint32_t run = 0;
    std::chrono::steady_clock::time_point began_at;
  };
  struct end {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };

  void Listen();
  std::int64_t Clock() const;
  void Handle(const net::server_request& request,
              const net::responder& respond);
  void Start(const net::server_request& request, const net::responder& respond);
  void Hold(const net::server_request& request, const net::responder& respond);
  void ExtendLease(std::int64_t deadline);
  void End(const std::string& task, std::uint32_t run, const std::string& how);
  std::string Listing() const;
  void AnswerHolds();
  /// Calls `action` later, unless this life has ended by then.
  void After(std::chrono::milliseconds time, std::function<void()> action);

  boost::asio::io_context* context_;
  std::string id_;
  std::string address_;
  std::chrono::milliseconds task_time_;
  std::unique_ptr<net::http_server> server_;
  std::chrono::steady_clock::time_point born_at_;
  int life_ = 0;
  std::map<std::string, work> running_;
  std::map<std::string, std::uint32_t> highest_;
  std::vector<end> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::vector<net::responder> holds_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_RUNNER_H_
