#include "scheduler_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "net/address.h"

namespace plantainhead::soak {

namespace {

constexpr int kFirstPort = 20000;
constexpr int kPortsOfRun = 48;
constexpr int kRuns = 250;

int next_port = kFirstPort;

// A process that finds its port taken ends, and the run fails.
bool IsFree(const std::string& address) {
  boost::asio::io_context context;
  boost::system::error_code error;
  const auto endpoint = net::ParseAddress(address);
  boost::asio::ip::tcp::acceptor acceptor(context);
  acceptor.open(endpoint.protocol());
  acceptor.bind(endpoint, error);
  return !error;
}

}  // namespace

void UsePortsOfThisRun() {
  next_port = kFirstPort + (::getpid() % kRuns) * kPortsOfRun;
}

std::string NextAddress() {
  std::string address;
  do {
    address = "127.0.0.1:" + std::to_string(next_port++);
  } while (!IsFree(address));
  return address;
}

scheduler_process::scheduler_process(std::string program,
                                     std::string directory,
                                     std::string name,
                                     const std::string& store)
    : program_(std::move(program)),
      directory_(std::move(directory)),
      name_(std::move(name)),
      callers_(NextAddress()) {
  std::ofstream settings(directory_ + "/" + name_ + ".yaml");
  settings << "name: " << name_ << "\nlisten:\n  callers: \"" << callers_
           << "\"\n  probes: \"" << NextAddress() << "\"\n  peers: \""
           << NextAddress() << "\"\nstore:\n  address: \"" << store << "\"\n";
}

scheduler_process::~scheduler_process() {
  Signal(SIGCONT);
  Signal(SIGKILL);
  if (is_running()) {
    waitpid(pid_, nullptr, 0);
  }
}

void scheduler_process::Start() {
  if (is_running()) {
    return;
  }
  std::string settings = directory_ + "/" + name_ + ".yaml";
  const std::string log = directory_ + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A process that inherited the sockets of the stand-ins would keep their
  // addresses in use.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<char*, 3> arguments = {program_.data(), settings.data(), nullptr};
  const int error = posix_spawn(&pid_, program_.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = 0;
    throw std::runtime_error("can't start " + program_);
  }
  started_at_ = std::chrono::steady_clock::now();
}

void scheduler_process::Signal(int signal) const {
  const bool is_loading = std::chrono::steady_clock::now() - started_at_ <
                          std::chrono::milliseconds(500);
  const bool must_wait = signal == SIGHUP || signal == SIGSTOP;
  if (is_running() && !(must_wait && is_loading)) {
    kill(pid_, signal);
  }
}

std::uint64_t scheduler_process::ResidentBytes() const {
  if (!is_running()) {
    return 0;
  }
  std::ifstream pages("/proc/" + std::to_string(pid_) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  // A process that has just ended has none.
  if (!(pages >> size >> resident)) {
    return 0;
  }
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::optional<std::string> scheduler_process::Reap() {
  int status = 0;
  if (!is_running() || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = 0;
  const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  // A process that hasn't set its handlers yet ends by SIGTERM itself.
  const bool is_ordered = signal == SIGKILL || signal == SIGTERM ||
                          (WIFEXITED(status) && WEXITSTATUS(status) == 0);
  if (is_ordered) {
    return std::nullopt;
  }
  return name_ + (signal != 0
                      ? " ended by signal " + std::to_string(signal)
                      : " exited with " + std::to_string(WEXITSTATUS(status)));
}

}  // namespace plantainhead::soak
