#ifndef PLANTAINHEAD_TOOLS_DAEMON_MAIN_H_
#define PLANTAINHEAD_TOOLS_DAEMON_MAIN_H_

#include <signal.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "plantainhead/core/findings.h"
#include "plantainhead/observe/logging.h"
#include "plantainhead/version.h"

namespace plantainhead::tools {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;

/// Where a daemon logs to, as `observe::ConfigureLogging` has it.
struct log_target {
  core::log_severity level = core::log_severity::kInfo;
  std::string file = "-";
};

/// What a daemon is made of, beside its command line and its exit codes.
/// `Settings` is what its settings file is read to.
template <typename Settings>
struct daemon_program {
  std::string name;
  std::string description;
  /// Throws `core::findings_error` when the file can't be used.
  std::function<Settings(const std::string& file)> load;
  std::function<log_target(const Settings& settings)> log;
  /// Returns when the daemon has been asked to end.
  std::function<void(const Settings& settings)> run;
};

/// The `main` of a daemon: reads its command line and its settings file, and
/// runs it with a log. Returns the exit code: 0 when it was asked to end or
/// only to check the file, `kExitBadInput` when the file can't be used,
/// `kExitFailed` when the daemon can't run; the reason is then on standard
/// error.
template <typename Settings>
int RunDaemon(const daemon_program<Settings>& program, int argc, char** argv) {
  CLI::App app(program.description);
  app.set_version_flag("--version", kVersion);
  std::string file;
  bool check = false;
  app.add_option("settings", file, "settings file (YAML)")->required();
  app.add_flag("--check", check, "only check the settings file");
  CLI11_PARSE(app, argc, argv);

  // A peer that closes its connection must not end the process.
  signal(SIGPIPE, SIG_IGN);
  try {
    const Settings settings = program.load(file);
    if (check) {
      std::cout << file << ": no findings\n";
      return 0;
    }
    const log_target log = program.log(settings);
    observe::ConfigureLogging(log.level, log.file);
    program.run(settings);
    observe::StopLogging();
    return 0;
  } catch (const core::findings_error& error) {
    std::cerr << error.what() << '\n';
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << program.name << ": " << error.what() << '\n';
    return kExitFailed;
  }
}

}  // namespace plantainhead::tools

#endif  // PLANTAINHEAD_TOOLS_DAEMON_MAIN_H_
