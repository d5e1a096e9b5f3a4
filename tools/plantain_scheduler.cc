#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <string>

#include "daemon_main.h"
#include "jobs/event_log.h"
#include "jobs/job_service.h"
#include "plantainhead/core/findings.h"
#include "plantainhead/settings/scheduler_settings.h"

namespace {

namespace jobs = plantainhead::jobs;
namespace settings = plantainhead::settings;

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
  using settings::scheduler_process_settings;
  // Before anything else: by default the signal that asks for a look at the
  // settings would end a process that has just started.
  std::signal(SIGHUP, SIG_IGN);
  // For the reload.
  std::string file_in_use;
  plantainhead::tools::daemon_program<scheduler_process_settings> program;
  program.name = "plantain-scheduler";
  program.description =
      "The job scheduler of plantainhead: takes callers' jobs and runs their "
      "tasks on the pools' VMs.";
  program.load = [&file_in_use](const std::string& file) {
    file_in_use = file;
    return settings::LoadSchedulerSettings(file);
  };
  program.log = [](const scheduler_process_settings&) {
    return plantainhead::tools::log_target();
  };
  program.run = [&file_in_use](const scheduler_process_settings& current) {
    Run(file_in_use, current);
    // The handler has gone with the run.
    std::signal(SIGHUP, SIG_IGN);
  };
  return plantainhead::tools::RunDaemon(program, argc, argv);
}
