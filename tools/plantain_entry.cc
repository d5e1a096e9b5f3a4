#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include <mutex>
#include <thread>

#include "daemon_main.h"
#include "plantainhead/runtime/entry_daemon.h"
#include "plantainhead/settings/entry_settings.h"

namespace {

// By default glibc keeps freed bodies in the arena of each thread, up to 32 MiB
// apiece, so that bodies long gone fill the memory of a VM.
void ReturnFreedBodies() {
  constexpr int kFromSystem = 64 << 10;
  mallopt(M_MMAP_THRESHOLD, kFromSystem);
}

// Blocks the signals that end the process, before any thread starts, so that
// only `sigwait` sees them.
sigset_t BlockSignals() {
  sigset_t ending;
  sigemptyset(&ending);
  sigaddset(&ending, SIGTERM);
  sigaddset(&ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ending, nullptr);
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

void RunUntilStopped(plantainhead::settings::entry_settings settings,
                     stop_target& target) {
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

void Run(const plantainhead::settings::entry_settings& settings,
         sigset_t ending) {
  // Outlives main(), since the thread that waits for signals does.
  static stop_target target;
  std::thread([ending] {
    int signal = 0;
    sigwait(&ending, &signal);
    target.Stop();
  }).detach();
  RunUntilStopped(settings, target);
}

}  // namespace

int main(int argc, char** argv) {
  using plantainhead::settings::entry_settings;
  ReturnFreedBodies();
  const sigset_t ending = BlockSignals();
  plantainhead::tools::daemon_program<entry_settings> program;
  program.name = "plantain-entry";
  program.description =
      "The entry of plantainhead: routes callers' requests, folds the "
      "platform's log and may plan the fleet.";
  program.load = plantainhead::settings::LoadEntrySettings;
  program.log = [](const entry_settings& settings) {
    return plantainhead::tools::log_target{settings.log_level,
                                           settings.log_file};
  };
  program.run = [ending](const entry_settings& settings) {
    Run(settings, ending);
  };
  return plantainhead::tools::RunDaemon(program, argc, argv);
}
