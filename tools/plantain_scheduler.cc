#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "jobs/event_log.h"
#include "jobs/job_service.h"
#include "plantainhead/core/findings.h"
#include "plantainhead/observe/logging.h"
#include "plantainhead/settings/scheduler_settings.h"
#include "plantainhead/version.h"

namespace {

namespace jobs = plantainhead::jobs;
namespace settings = plantainhead::settings;

constexpr int kExitBadInput = 2;
constexpr int kExitFailed = 1;

// Reads the settings again and says what of them would need a restart.
void Reload(const std::string& file,
            const settings::scheduler_process_settings& current) {
  try {
    const auto fresh = settings::LoadSchedulerSettings(file);
    const bool is_same = fresh.store_address == current.store_address &&
                         fresh.fleet_address == current.fleet_address &&
                         fresh.caller_address == current.caller_address &&
                         fresh.probe_address == current.probe_address;
    jobs::LogEvent(jobs::job_event::kSettingsRead,
                   {{"file", file},
                    {"outcome", is_same ? "nothing to apply"
                                        : "addresses apply after a restart"}});
  } catch (const plantainhead::core::findings_error& error) {
    jobs::LogEvent(
        jobs::job_event::kSettingsRead,
        {{"file", file}, {"outcome", "refused"}, {"reason", error.what()}});
  }
}

void Run(const std::string& file,
         const settings::scheduler_process_settings& current) {
  boost::asio::io_context context(1);
  jobs::job_service service(&context, current);
  boost::asio::signal_set endings(context, SIGTERM, SIGINT);
  boost::asio::signal_set reloads(context, SIGHUP);
  endings.async_wait([&](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    jobs::LogEvent(jobs::job_event::kProcessStopping,
                   {{"signal", std::to_string(signal)}});
    service.Stop([&context] { context.stop(); });
  });
  std::function<void()> await_reload = [&] {
    reloads.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) {
        Reload(file, current);
        await_reload();
      }
    });
  };
  await_reload();
  service.Start();
  jobs::LogEvent(jobs::job_event::kProcessStarted,
                 {{"name", current.name},
                  {"version", plantainhead::kVersion},
                  {"callers", current.caller_address},
                  {"store", current.store_address}});
  context.run();
  jobs::LogEvent(jobs::job_event::kProcessStopped, {});
}

}  // namespace

int main(int argc, char** argv) {
  // Before anything else: by default the signal that asks for a look at the
  // settings would end a process that has just started.
  std::signal(SIGHUP, SIG_IGN);
  CLI::App app(
      "The job scheduler of plantainhead: takes callers' jobs and runs their "
      "tasks on the pools' VMs.");
  app.set_version_flag("--version", plantainhead::kVersion);
  std::string file;
  bool check = false;
  app.add_option("settings", file, "settings file (YAML)")->required();
  app.add_flag("--check", check, "only check the settings file");
  CLI11_PARSE(app, argc, argv);

  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto current = settings::LoadSchedulerSettings(file);
    if (check) {
      std::cout << file << ": no findings\n";
      return 0;
    }
    plantainhead::observe::ConfigureLogging(
        plantainhead::core::note_level::kInfo, "-");
    Run(file, current);
    // The handler has gone with the run.
    std::signal(SIGHUP, SIG_IGN);
    plantainhead::observe::StopLogging();
    return 0;
  } catch (const plantainhead::core::findings_error& error) {
    std::cerr << error.what() << '\n';
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "plantain-scheduler: " << error.what() << '\n';
    return kExitFailed;
  }
}
