// A back-end service with slots, for demos and load runs on one machine.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include "plantainhead/version.h"
#include "runner.h"

namespace {

using plantainhead::fakes::runner;
using plantainhead::fakes::runner_options;

constexpr int kDiedExitCode = 70;
constexpr int kRegistrationTries = 50;
constexpr std::chrono::milliseconds kRegistrationPause{200};

struct settings {
  runner_options runner;
  int port = 0;
  std::string port_file;
  std::string service = "intake";
  std::string region = "region-1";
  std::string zone = "zone-1";
  std::string rack = "rack-1";
  std::string pool;
  std::string platform;
  std::int64_t service_time_ms = 0;
  std::int64_t jitter_ms = 0;
  std::uint32_t processors = 16;
  std::uint32_t memory_mb = 65536;
  std::uint32_t accelerators = 0;
};

void AddOptions(CLI::App* app, settings* all) {
  app->add_option("--port", all->port, "Port; 0 picks a free one");
  app->add_option("--port-file", all->port_file, "Where to write the port");
  app->add_option("--vm", all->runner.vm, "Name of its VM");
  app->add_option("--service", all->service, "Service that it runs");
  app->add_option("--region", all->region, "Region");
  app->add_option("--zone", all->zone, "Availability zone");
  app->add_option("--rack", all->rack, "Rack");
  app->add_option("--pool", all->pool, "Pool that the platform lists");
  app->add_option("--slots", all->runner.slots, "Requests run at once");
  app->add_option("--service-time-ms", all->service_time_ms, "Time of a run");
  app->add_option("--jitter-ms", all->jitter_ms, "Spread of that time");
  app->add_option("--seed", all->runner.seed, "Seed of the spread");
  app->add_option("--threads", all->runner.threads, "Connections at once");
  app->add_option("--processors", all->processors, "Processors of the VM");
  app->add_option("--memory-mb", all->memory_mb, "Memory of the VM");
  app->add_option("--accelerators", all->accelerators, "Accelerators");
  app->add_option("--platform", all->platform,
                  "HOST:PORT of the platform, to be listed there");
}

// Returns whether the platform has listed the VM.
bool Register(const settings& all, int port) {
  const nlohmann::json listing = {{"vm", all.runner.vm},
                                  {"state", "live"},
                                  {"region", all.region},
                                  {"zone", all.zone},
                                  {"rack", all.rack},
                                  {"processors", all.processors},
                                  {"memory_mb", all.memory_mb},
                                  {"accelerators", all.accelerators},
                                  {"pool", all.pool},
                                  {"host", "127.0.0.1"},
                                  {"port", port},
                                  {"service", all.service},
                                  {"slots", all.runner.slots}};
  httplib::Client platform("http://" + all.platform);
  for (int i = 0; i < kRegistrationTries; ++i) {
    const auto answer =
        platform.Post("/vms", listing.dump(), "application/json");
    if (answer && answer->status / 100 == 2) {
      return true;
    }
    std::this_thread::sleep_for(kRegistrationPause);
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A stand-in for a back-end service");
  app.set_version_flag("--version", plantainhead::kVersion);
  settings all;
  AddOptions(&app, &all);
  CLI11_PARSE(app, argc, argv);
  all.runner.service_time = std::chrono::milliseconds(all.service_time_ms);
  all.runner.jitter = std::chrono::milliseconds(all.jitter_ms);
  all.runner.die = [] { std::_Exit(kDiedExitCode); };

  // Blocked before any thread starts, so that only sigwait() takes them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  runner fake(all.runner);
  const int port = fake.Start(all.port);
  if (port <= 0) {
    std::cerr << "fake-runner: can't listen on port " << all.port << "\n";
    return EXIT_FAILURE;
  }
  if (!all.port_file.empty()) {
    std::ofstream(all.port_file) << port << "\n";
  }
  std::cout << "fake-runner: " << all.runner.vm
            << " listens on 127.0.0.1:" << port << std::endl;
  if (!all.platform.empty() && !Register(all, port)) {
    std::cerr << "fake-runner: the platform at " << all.platform
              << " doesn't list it\n";
    return EXIT_FAILURE;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  fake.Stop();
  return EXIT_SUCCESS;
}
