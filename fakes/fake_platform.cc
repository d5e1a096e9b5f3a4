#include <csignal>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "plantainhead/version.h"
#include "platform_server.h"

namespace {

// Lets this thread take SIGTERM and SIGINT, and no other. Called before any
// thread starts, so that all inherit it.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Writes the port to a file that appears whole, so that a script that waits for
// it never reads an empty one.
void WritePort(const std::string& path, std::uint16_t port) {
  const std::string partial = path + ".partial";
  std::ofstream(partial) << port << '\n';
  std::filesystem::rename(partial, path);
}

}  // namespace

int main(int argc, char** argv) {
  plantainhead::fakes::platform_server_options options;
  std::string port_file;
  std::uint32_t list_lag_ms = 0;
  std::uint32_t reboot_ms = 2000;
  CLI::App app("Stands in for the platform: log, VM list and operations");
  app.set_version_flag("--version", plantainhead::kVersion);
  app.add_option("--host", options.host, "IP number to listen on");
  app.add_option("--port", options.port, "Port; 0 picks a free one");
  app.add_option("--port-file", port_file, "File to write the port to");
  app.add_option("--list-lag", list_lag_ms, "Lag of the lists in ms");
  app.add_option("--reboot-time", reboot_ms, "Length of a reboot in ms");
  app.add_option("--append-rate", options.appends_per_second,
                 "Most appends a second; 0 for no limit");
  CLI11_PARSE(app, argc, argv);
  options.list_lag = std::chrono::milliseconds(list_lag_ms);
  options.reboot_time = std::chrono::milliseconds(reboot_ms);

  const sigset_t signals = BlockStopSignals();
  try {
    const plantainhead::fakes::platform_server server(options);
    if (!port_file.empty()) {
      WritePort(port_file, server.port());
    }
    std::cout << "listening on " << server.port() << std::endl;
    int taken = 0;
    sigwait(&signals, &taken);
  } catch (const std::exception& error) {
    std::cerr << "fake-platform: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
