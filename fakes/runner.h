#ifndef PLANTAINHEAD_FAKES_RUNNER_H_
#define PLANTAINHEAD_FAKES_RUNNER_H_

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>

/// Stand-ins for the systems around plantainhead; for tests and demos only.
namespace plantainhead::fakes {

struct runner_options {
  std::string vm = "vm-1";
  /// Requests that it runs at once.
  std::uint32_t slots = 8;
  std::chrono::milliseconds service_time{0};
  /// Each run takes up to this much longer or shorter.
  std::chrono::milliseconds jitter{0};
  std::uint64_t seed = 1;
  /// Connections that it serves at once, and some for control.
  std::size_t threads = 80;
  /// How long a connection without a request is kept.
  std::chrono::seconds keep_alive{5};
  /// Called by the fault "die" after a run, before its answer.
  std::function<void()> die = [] {};
};

/// What a runner does wrong.
enum class runner_fault {
  kNone,
  /// Answers 500 without running anything.
  kFail,
  /// Runs, then sends half of the answer.
  kTruncate,
  /// Accepts requests and never answers.
  kHang,
  /// Runs, then ends the process.
  kDie,
};

/// cpp-httplib's server with room for a burst of connections. It asks the
/// system for 5 connections ahead of accept(); beyond them a client sees its
/// connection made, sends its request and waits in vain.
class burst_server : public httplib::Server {
 public:
  /// Precondition: the server is bound.
  void MakeRoom() {
    constexpr int kBacklog = 511;
    ::listen(svr_sock_, kBacklog);
  }
};

/// A back-end service with slots: it counts what it runs, so that a test can
/// compare that with what callers were told.
class runner {
 public:
  explicit runner(runner_options options)
      : options_(std::move(options)), random_(options_.seed) {
    server_.new_task_queue = [this] {
      return new httplib::ThreadPool(options_.threads);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(kRequestsPerConnection);
    server_.set_keep_alive_timeout(options_.keep_alive.count());
    RegisterControl();
    RegisterService();
  }

  ~runner() { Stop(); }

  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;

  /// Listens on 127.0.0.1 and returns the port, or -1.
  int Start(int port) {
    const int bound = port == 0
                          ? server_.bind_to_any_port(kHost)
                          : (server_.bind_to_port(kHost, port) ? port : -1);
    if (bound > 0) {
      server_.MakeRoom();
      listener_ = std::thread([this] { server_.listen_after_bind(); });
      while (!server_.is_running()) {
        std::this_thread::yield();
      }
    }
    return bound;
  }

  /// Lets the runs in progress end, except those that hang.
  void Stop() {
    if (!listener_.joinable()) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
    listener_.join();
  }

  /// Returns what `GET /control/counters` shows.
  nlohmann::json Counters() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"vm", options_.vm},       {"runs", runs_},
            {"overshoot", overshoot_}, {"cut", cut_},
            {"reboots", reboots_},     {"peak", peak_},
            {"by_key", by_key_},       {"in_flight", in_flight_},
            {"draining", draining_}};
  }

  /// Waits until `count` runs are in progress.
  void AwaitInFlight(std::uint32_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return in_flight_ == count || stopping_; });
  }

 private:
  static constexpr const char* kHost = "127.0.0.1";
  static constexpr std::size_t kRequestsPerConnection = 1000000;

  enum class admission { kRun, kBusy, kDraining };

  static void Answer(const nlohmann::json& body, httplib::Response& response) {
    response.set_content(body.dump() + "\n", "application/json");
  }

  void RegisterControl() {
    server_.Post("/control/drain",
                 [this](const httplib::Request&, httplib::Response& response) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   draining_ = true;
                   Answer({{"in_flight", in_flight_}}, response);
                 });
    server_.Post("/control/undrain",
                 [this](const httplib::Request&, httplib::Response& response) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   draining_ = false;
                   Answer({{"in_flight", in_flight_}}, response);
                 });
    server_.Post("/control/reboot",
                 [this](const httplib::Request&, httplib::Response& response) {
                   Reboot(response);
                 });
    server_.Get("/control/counters",
                [this](const httplib::Request&, httplib::Response& response) {
                  Answer(Counters(), response);
                });
    server_.Post("/control/faults", [this](const httplib::Request& request,
                                           httplib::Response& response) {
      SetFault(request, response);
    });
  }

  void RegisterService() {
    const auto serve = [this](const httplib::Request& request,
                              httplib::Response& response) {
      Serve(request, response);
    };
    constexpr const char* kAnyPath = ".*";
    server_.Get(kAnyPath, serve);
    server_.Post(kAnyPath, httplib::Server::Handler(serve));
    server_.Put(kAnyPath, httplib::Server::Handler(serve));
    server_.Patch(kAnyPath, httplib::Server::Handler(serve));
    server_.Delete(kAnyPath, httplib::Server::Handler(serve));
  }

  // A reboot ends what is running: those callers get no whole answer.
  void Reboot(httplib::Response& response) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++reboots_;
      ++life_;
      draining_ = false;
      Answer({{"cut", in_flight_}}, response);
    }
    changed_.notify_all();
  }

  void SetFault(const httplib::Request& request, httplib::Response& response) {
    static const std::map<std::string, runner_fault> kNames = {
        {"none", runner_fault::kNone},
        {"fail", runner_fault::kFail},
        {"truncate", runner_fault::kTruncate},
        {"hang", runner_fault::kHang},
        {"die", runner_fault::kDie}};
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto found = body.is_object() && body.contains("mode")
                           ? kNames.find(body["mode"].get<std::string>())
                           : kNames.end();
    if (found == kNames.end()) {
      response.status = 400;
      Answer({{"error", "'mode' is none, fail, truncate, hang or die"}},
             response);
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      fault_ = found->second;
    }
    changed_.notify_all();
    Answer({{"mode", found->first}}, response);
  }

  static std::string KeyOf(const httplib::Request& request) {
    const std::string key = request.get_header_value("Idempotency-Key");
    return key.empty() ? request.get_header_value("Plantain-Nonce") : key;
  }

  admission Admit(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (draining_) {
      return admission::kDraining;
    }
    if (in_flight_ >= options_.slots) {
      ++overshoot_;
      return admission::kBusy;
    }
    ++in_flight_;
    peak_ = std::max(peak_, in_flight_);
    ++runs_;
    if (!key.empty()) {
      ++by_key_[key];
    }
    return admission::kRun;
  }

  std::chrono::milliseconds DrawServiceTime() {
    const auto spread = options_.jitter.count();
    std::uniform_int_distribution<std::int64_t> draw(-spread, spread);
    const std::chrono::milliseconds drawn =
        options_.service_time + std::chrono::milliseconds(draw(random_));
    return std::max(drawn, std::chrono::milliseconds(0));
  }

  // Returns the fault that the run ends with; kTruncate when a reboot cut it.
  runner_fault Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::uint64_t life = life_;
    const runner_fault fault = fault_;
    changed_.notify_all();
    const auto interrupted = [&] { return life_ != life; };
    const auto until = std::chrono::steady_clock::now() + DrawServiceTime();
    changed_.wait_until(lock, until, interrupted);
    if (fault == runner_fault::kHang) {
      changed_.wait(lock, [&] {
        return interrupted() || stopping_ || fault_ != runner_fault::kHang;
      });
    }
    --in_flight_;
    // Counted here, so that a second reboot doesn't count the same run again.
    cut_ += interrupted() ? 1 : 0;
    const bool cut = interrupted() || fault == runner_fault::kHang;
    lock.unlock();
    changed_.notify_all();
    return cut ? runner_fault::kTruncate : fault;
  }

  void Serve(const httplib::Request& request, httplib::Response& response) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (fault_ == runner_fault::kFail) {
        response.status = 500;
        Answer({{"error", "told to fail"}}, response);
        return;
      }
    }
    const admission admitted = Admit(KeyOf(request));
    if (admitted != admission::kRun) {
      response.status = 503;
      response.set_header("Plantain-Not-Run", "true");
      if (admitted == admission::kDraining) {
        response.set_header("Plantain-Leaving", "true");
      }
      Answer({{"error", "not run"}}, response);
      return;
    }
    const runner_fault fault = Run();
    if (fault == runner_fault::kDie) {
      options_.die();
    }
    const nlohmann::json body = {
        {"vm", options_.vm},
        {"nonce", request.get_header_value("Plantain-Nonce")},
        {"body_hash", std::hash<std::string>()(request.body)}};
    if (fault == runner_fault::kTruncate || fault == runner_fault::kDie) {
      Truncate(body.dump(), response);
      return;
    }
    Answer(body, response);
  }

  static void Truncate(const std::string& text, httplib::Response& response) {
    response.set_content_provider(
        text.size(), "application/json",
        [text](std::size_t offset, std::size_t, httplib::DataSink& sink) {
          if (offset > 0) {
            return false;
          }
          return sink.write(text.data(), text.size() / 2);
        });
  }

  const runner_options options_;
  burst_server server_;
  std::thread listener_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  runner_fault fault_ = runner_fault::kNone;
  bool draining_ = false;
  bool stopping_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t peak_ = 0;
  // Counts reboots, so that a run notices one.
  std::uint64_t life_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t overshoot_ = 0;
  std::uint64_t cut_ = 0;
  std::uint64_t reboots_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_RUNNER_H_
