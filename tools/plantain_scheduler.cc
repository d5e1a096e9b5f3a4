#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "daemon_main.h"
#include "jobs/event_log.h"
#include "jobs/job_service.h"
#include "settings/settings_reloader.h"

namespace {

namespace jobs = plantainhead::jobs;
namespace settings = plantainhead::settings;

// Time between two looks at whether the settings file has changed without a
// signal. A change is then in force, or refused in the log, within two looks;
// one reads some hundred bytes.
constexpr std::chrono::seconds kSettingsLook{1};

// Takes settings that changed over into a running process, and logs what was
// done about a change.
class settings_keeper {
 public:
  settings_keeper(boost::asio::io_context* context,
                  settings::settings_reloader* reloader,
                  jobs::job_service* service)
      : reloader_(reloader),
        service_(service),
        signals_(*context, SIGHUP),
        timer_(*context) {}

  void Start() {
    AwaitSignal();
    AwaitLook();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        Take("signal", reloader_->Reload());
        AwaitSignal();
      }
    });
  }

  void AwaitLook() {
    timer_.expires_after(kSettingsLook);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      if (const auto outcome = reloader_->Poll()) {
        Take("its content", *outcome);
      }
      AwaitLook();
    });
  }

  void Take(std::string_view cause, const settings::reload_outcome& outcome) {
    if (const auto* applied = std::get_if<settings::reload_applied>(&outcome)) {
      service_->SetStopGrace(applied->settings.stop_grace);
      Log(cause, "applied");
    } else if (const auto* refused =
                   std::get_if<settings::reload_refused>(&outcome)) {
      const plantainhead::core::findings_error error(refused->findings);
      Log(cause, "refused", error.what());
    } else {
      Log(cause, "nothing to apply");
    }
  }

  void Log(std::string_view cause,
           std::string_view outcome,
           const std::string& reason = "") {
    plantainhead::observe::log_fields fields = {
        {"file", reloader_->file()},
        {"noticed_by", std::string(cause)},
        {"outcome", std::string(outcome)}};
    if (!reason.empty()) {
      fields.emplace_back("reason", reason);
    }
    jobs::LogEvent(jobs::job_event::kSettingsRead, fields);
  }

  settings::settings_reloader* reloader_;
  jobs::job_service* service_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

void Run(settings::settings_reloader reloader) {
  const settings::scheduler_process_settings current = reloader.current();
  boost::asio::io_context context(1);
  jobs::job_service service(&context, current);
  boost::asio::signal_set endings(context, SIGTERM, SIGINT);
  endings.async_wait([&](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    jobs::LogEvent(jobs::job_event::kProcessStopping,
                   {{"signal", std::to_string(signal)}});
    service.Stop([&context] { context.stop(); });
  });
  settings_keeper keeper(&context, &reloader, &service);
  keeper.Start();
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
  plantainhead::tools::daemon_program<settings::settings_reloader> program;
  program.name = "plantain-scheduler";
  program.description =
      "The job scheduler of plantainhead: takes callers' jobs and runs their "
      "tasks on the pools' VMs.";
  program.load = [](const std::string& file) {
    return settings::settings_reloader(file);
  };
  program.log = [](const settings::settings_reloader&) {
    return plantainhead::tools::log_target();
  };
  program.run = [](const settings::settings_reloader& reloader) {
    Run(reloader);
    // The handler has gone with the run.
    std::signal(SIGHUP, SIG_IGN);
  };
  return plantainhead::tools::RunDaemon(program, argc, argv);
}
