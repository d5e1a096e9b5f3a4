#include "process.h"

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

#include "net/address.h"

extern char** environ;

namespace plantainhead::review {
namespace {

constexpr const char* kProgram = "target/plantain-scheduler";

volatile std::sig_atomic_t is_stop_requested = 0;

void RequestStop(int /*signal*/) {
  is_stop_requested = 1;
}

}  // namespace

void HandleStopSignals() {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
}

bool IsStopRequested() {
  return is_stop_requested != 0;
}

std::string FreeAddress() {
  static int next_port = 20000 + (::getpid() % 400) * 30;
  boost::asio::io_context context;
  while (true) {
    const std::string address = "127.0.0.1:" + std::to_string(next_port++);
    const auto endpoint = net::ParseAddress(address);
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.bind(endpoint, error);
    if (!error) {
      return address;
    }
  }
}

process::process(const std::string& directory,
                 std::string name,
                 const std::string& store,
                 const std::string& fleet)
    : directory_(directory), name_(std::move(name)), callers_(FreeAddress()) {
  std::ofstream settings(directory_ + "/" + name_ + ".yaml");
  settings << "name: \"" << name_ << "\"\n"
           << "availability-zone: \"zone-1\"\n"
           << "processor: 0.25\n"
           << "listen:\n"
           << "  callers: \"" << callers_ << "\"\n"
           << "  probes: \"" << FreeAddress() << "\"\n"
           << "  peers: \"" << FreeAddress() << "\"\n"
           << "  metrics: \"" << FreeAddress() << "\"\n"
           << "store:\n  address: \"" << store << "\"\n";
  if (!fleet.empty()) {
    settings << "fleet:\n  address: \"" << fleet << "\"\n";
  }
  settings << "lease:\n  most: 10000ms\n  holder: 3000ms\n"
           << "configuration:\n  apply: 2000ms\n"
           << "stop:\n  grace: 6s\n";
}

process::~process() {
  if (is_running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void process::Start() {
  std::string program = kProgram;
  std::string settings = directory_ + "/" + name_ + ".yaml";
  const std::string log = directory_ + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The process must not keep the sockets of the stand-ins open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<char*, 3> arguments = {program.data(), settings.data(), nullptr};
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = 0;
    throw std::runtime_error("cannot start " + program);
  }
}

void process::Signal(int signal) const {
  if (is_running()) {
    kill(pid_, signal);
  }
}

bool process::HasEnded() {
  if (!is_running() || waitpid(pid_, nullptr, WNOHANG) != pid_) {
    return false;
  }
  pid_ = 0;
  return true;
}

std::int64_t process::ResidentMb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  const bool is_read = is_running() && (status >> size >> resident);
  return is_read ? resident * ::sysconf(_SC_PAGESIZE) / (1 << 20) : 0;
}

}  // namespace plantainhead::review
