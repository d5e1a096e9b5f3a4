#include <pthread.h>
#include <signal.h>

#include <exception>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>

#include "plantainhead/core/findings.h"
#include "plantainhead/observe/logging.h"
#include "plantainhead/runtime/entry_daemon.h"
#include "plantainhead/settings/entry_settings.h"
#include "plantainhead/version.h"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

// Blocks the signals that end the process, before any thread starts, so that
// only `sigwait` sees them. A caller that closes its connection must not end
// the process either.
sigset_t BlockSignals() {
  sigset_t ending;
  sigemptyset(&ending);
  sigaddset(&ending, SIGTERM);
  sigaddset(&ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ending, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return ending;
}

// The daemon that a signal is for; it changes when an entry starts anew.
class stop_target {
 public:
  void Set(plantainhead::runtime::entry_daemon* daemon) {
    const std::lock_guard lock(mutex_);
    daemon_ = daemon;
    if (daemon_ != nullptr && stop_asked_) {
      daemon_->RequestStop();
    }
  }

  void Stop() {
    const std::lock_guard lock(mutex_);
    stop_asked_ = true;
    if (daemon_ != nullptr) {
      daemon_->RequestStop();
    }
  }

  bool stop_asked() {
    const std::lock_guard lock(mutex_);
    return stop_asked_;
  }

 private:
  std::mutex mutex_;
  plantainhead::runtime::entry_daemon* daemon_ = nullptr;
  bool stop_asked_ = false;
};

void Run(plantainhead::settings::entry_settings settings, stop_target& target) {
  bool again = true;
  while (again) {
    plantainhead::runtime::entry_daemon daemon(settings);
    daemon.Start();
    settings.http_port = daemon.http_port();
    settings.peer_port = daemon.peer_port();
    target.Set(&daemon);
    again = daemon.Wait() && !target.stop_asked();
    target.Set(nullptr);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "The entry of plantainhead: routes callers' requests, folds the "
      "platform's log and may plan the fleet.");
  app.set_version_flag("--version", plantainhead::kVersion);
  std::string file;
  bool check = false;
  app.add_option("settings", file, "settings file (YAML)")->required();
  app.add_flag("--check", check, "only check the settings file");
  CLI11_PARSE(app, argc, argv);

  const sigset_t ending = BlockSignals();
  try {
    const auto settings = plantainhead::settings::LoadEntrySettings(file);
    if (check) {
      std::cout << file << ": no findings\n";
      return 0;
    }
    plantainhead::observe::ConfigureLogging(settings.log_level,
                                            settings.log_file);
    // Outlives main(), since the thread that waits for signals does.
    static stop_target target;
    std::thread([ending] {
      int signal = 0;
      sigwait(&ending, &signal);
      target.Stop();
    }).detach();
    Run(settings, target);
    plantainhead::observe::StopLogging();
    return 0;
  } catch (const plantainhead::core::findings_error& error) {
    std::cerr << error.what() << '\n';
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "plantain-entry: " << error.what() << '\n';
    return kExitFailed;
  }
}
