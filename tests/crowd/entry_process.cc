#include "crowd/entry_process.h"

#include <httplib.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace plantainhead::testing {
namespace {

// Ends a test that would wait for ever.
constexpr std::chrono::seconds kWaitLimit(60);
constexpr std::chrono::milliseconds kPause(20);

std::string MakeDirectory() {
  std::string path =
      (std::filesystem::temp_directory_path() / "plantain-crowd.XXXXXX")
          .string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make " + path);
  }
  return path;
}

template <typename Condition>
void Await(const char* what, Condition holds) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error(std::string("waited in vain: ") + what);
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace

entry_process::entry_process(const std::string& limits)
    : platform_(fakes::platform_server_options{}), directory_(MakeDirectory()) {
  const std::string settings = directory_ + "/entry.yaml";
  const std::string ports = directory_ + "/ports";
  std::ofstream(settings) << "name: entry-1\nzone: suwon\nregion: gyeonggi\n"
                             "host: 127.0.0.1\nport-file: "
                          << ports << "\nplatform:\n  host: 127.0.0.1\n  port: "
                          << platform_.port()
                          << "\nlog:\n  file: " << directory_
                          << "/log\nlimits:\n  patience: 10s\n"
                          << limits;
  pid_ = fork();
  if (pid_ == 0) {
    execl(PLANTAINHEAD_ENTRY_PROGRAM, "plantain-entry", settings.c_str(),
          nullptr);
    _exit(127);
  }
  try {
    Await("no ports", [&] {
      std::ifstream file(ports);
      return static_cast<bool>(file >> http_port_ >> peer_port_) || !IsAlive();
    });
    AwaitReady();
  } catch (...) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    throw;
  }
}

entry_process::~entry_process() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void entry_process::AwaitReady() {
  httplib::Client caller("127.0.0.1", http_port_);
  Await("not ready", [&] {
    if (!IsAlive()) {
      throw std::runtime_error("the entry ended at its start");
    }
    const auto answer = caller.Get("/readyz");
    return answer && answer->status == 200;
  });
}

bool entry_process::IsAlive() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::size_t entry_process::PeakMemory() const {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  std::size_t kibibytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> kibibytes;
    }
  }
  return kibibytes * kKibibyte;
}

std::size_t entry_process::Descriptors() const {
  std::size_t count = 0;
  std::error_code ignored;
  for (std::filesystem::directory_iterator
           it("/proc/" + std::to_string(pid_) + "/fd", ignored),
       end;
       it != end; it.increment(ignored)) {
    ++count;
  }
  return count;
}

void entry_process::AwaitMetric(const std::string& name, double least) const {
  httplib::Client operator_client("127.0.0.1", http_port_);
  Await(name.c_str(), [&] {
    const auto answer = operator_client.Get("/metrics");
    const std::size_t at =
        answer ? answer->body.find("\n" + name + " ") : std::string::npos;
    return at != std::string::npos &&
           std::stod(answer->body.substr(at + name.size() + 2)) >= least;
  });
}

std::uint64_t entry_process::Incarnation() const {
  httplib::Client operator_client("127.0.0.1", http_port_);
  const auto answer = operator_client.Get("/v1/status");
  if (!answer) {
    throw std::runtime_error("no status");
  }
  const std::string text =
      nlohmann::json::parse(answer->body).at("incarnation");
  return std::stoull(text, nullptr, 16);
}

}  // namespace plantainhead::testing
