#ifndef PLANTAINHEAD_TESTS_PROCESS_SCHEDULER_RUN_H_
#define PLANTAINHEAD_TESTS_PROCESS_SCHEDULER_RUN_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>

#include "free_address.h"
#include "net/address.h"
#include "net/http_server.h"
#include "site_store.h"

namespace plantainhead::testing {

using tcp_socket = boost::asio::ip::tcp::socket;

/// Opens a blocking connection. Throws if it is refused.
inline tcp_socket Connect(boost::asio::io_context* context,
                          const std::string& address) {
  tcp_socket socket(*context);
  socket.connect(net::ParseAddress(address));
  return socket;
}

/// Sends one request over a new connection. Returns the status line, or an
/// empty string if there was no response.
inline std::string Ask(const std::string& address, const std::string& request) {
  boost::asio::io_context context;
  boost::system::error_code error;
  std::string response;
  tcp_socket socket = Connect(&context, address);
  boost::asio::write(socket, boost::asio::buffer(request), error);
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), "\r\n",
                          error);
  return response.substr(0, response.find("\r\n"));
}

/// Polls until `is_done` returns true, and returns whether it did. The limit
/// only ends a test that would otherwise hang.
inline bool WaitUntil(const std::function<bool()>& is_done) {
  constexpr auto kLimit = std::chrono::seconds(60);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// A plantain-scheduler process on loopback with a store that this process
/// plays. Killed by the destructor. Not thread-safe.
class scheduler_run {
 public:
  /// `settings` is appended to the settings file.
  explicit scheduler_run(const std::string& settings = "")
      : callers(FreeAddress()),
        probes(FreeAddress()),
        peers(FreeAddress()),
        metrics(FreeAddress()),
        store_(&context_),
        directory_(std::filesystem::temp_directory_path() /
                   ("hostile." + std::to_string(getpid()))) {
    const std::string store_address = FreeAddress();
    store_.Put("keyed.op", "config",
               R"({"version":3,"routes":[{"name":"q","host":"a.example",
                   "path_prefix":"/q/","service":"pool","max_attempts":20,
                   "stretch":2}],"services":[{"name":"pool"}]})");
    store_server_ = std::make_unique<net::http_server>(
        &context_, store_address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store_.Handle(request, respond);
        });
    thread_ = std::thread([this] { context_.run(); });
    std::filesystem::create_directories(directory_);
    std::ofstream(directory_ / "s.yaml")
        << "name: s\nlisten:\n  callers: \"" << callers << "\"\n  probes: \""
        << probes << "\"\n  peers: \"" << peers << "\"\n  metrics: \""
        << metrics << "\"\nstore:\n  address: \"" << store_address << "\"\n"
        << settings;
    Spawn();
  }
  scheduler_run(const scheduler_run&) = delete;
  scheduler_run& operator=(const scheduler_run&) = delete;
  ~scheduler_run() {
    if (IsAlive()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    context_.stop();
    thread_.join();
    std::filesystem::remove_all(directory_);
  }

  bool IsAlive() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  /// Returns whether the readiness probe is answered with 200 in the end.
  bool BecomesReady() {
    return WaitUntil([this] {
             try {
               return Ask(probes,
                          "GET /plantainhead/ready HTTP/1.1\r\nHost: "
                          "x\r\n\r\n") == "HTTP/1.1 200 OK";
             } catch (const boost::system::system_error&) {
               return !IsAlive();
             }
           }) &&
           IsAlive();
  }

  /// Returns the peak of the resident memory in KiB.
  long PeakMemoryKib() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0) {
        return std::stol(line.substr(6));
      }
    }
    return -1;
  }

  long OpenDescriptors() const {
    long count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) +
                                             "/fd")) {
      ++count;
    }
    return count;
  }

  /// Waits until the process has read all bytes that arrived at `address`.
  static bool HasReadAll(const std::string& address) {
    std::ostringstream port;
    port << ':' << std::hex << std::uppercase
         << net::ParseAddress(address).port();
    return WaitUntil([&] {
      std::ifstream connections("/proc/net/tcp");
      std::string line;
      while (std::getline(connections, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        const bool is_listener = state == "0A";
        if (!is_listener && local.ends_with(port.str()) &&
            !queues.ends_with(":00000000")) {
          return false;
        }
      }
      return true;
    });
  }

  const std::string callers;
  const std::string probes;
  const std::string peers;
  const std::string metrics;

 private:
  void Spawn() {
    std::string program = PLANTAINHEAD_SCHEDULER;
    std::string settings = directory_ / "s.yaml";
    const std::string log = directory_ / "s.log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::array<char*, 3> arguments = {program.data(), settings.data(), nullptr};
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      pid_ = 0;
      throw std::runtime_error("cannot start " + program);
    }
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{context_.get_executor()};
  fakes::site_store store_;
  std::unique_ptr<net::http_server> store_server_;
  std::thread thread_;
  std::filesystem::path directory_;
  pid_t pid_ = 0;
};

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_PROCESS_SCHEDULER_RUN_H_
