#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/observe/job_trace.h"
#include "plantainhead/operators/control.h"
#include "plantainhead/settings/files.h"
#include "plantainhead/version.h"

namespace plantainhead::operators {
namespace {

// What the command line says.
struct arguments {
  std::vector<std::string> entries;
  output_format format = output_format::kTable;
  std::string author;
  publish_options publish;
  wave_options wave;
  job_options job;
  std::string file;
  std::vector<std::string> logs;
  std::string name;
  std::string reason;
  int wait_seconds = 60;
  std::uint64_t expect = 0;
};

// The command that was chosen, run once the line has been read.
using chosen_command = std::function<exit_code(control&)>;

std::string FromEnvironment(const char* name, const char* otherwise) {
  const char* const value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

void AddTargetCommands(CLI::App* app, arguments* args, chosen_command* chosen) {
  CLI::App* publish = app->add_subcommand("publish", "Publish new targets");
  publish->add_option("file", args->publish.file, "YAML file")->required();
  publish->add_flag("--wait", args->publish.wait,
                    "Wait until every live entry has them in force");
  publish->add_option("--wait-limit", args->wait_seconds,
                      "Seconds after which --wait gives up");
  CLI::Option* expect = publish->add_option("--expect", args->expect,
                                            "Version that must be in force");
  publish->callback([=] {
    if (expect->count() > 0) {
      args->publish.expected = args->expect;
    }
    args->publish.wait_limit = std::chrono::seconds(args->wait_seconds);
    *chosen = [args](control& run) { return run.Publish(args->publish); };
  });

  CLI::App* show = app->add_subcommand("show", "Show the targets in force");
  show->callback([=] { *chosen = [](control& run) { return run.Show(); }; });

  CLI::App* diff =
      app->add_subcommand("diff", "Compare a file with the targets in force");
  diff->add_option("file", args->file, "YAML file")->required();
  diff->callback(
      [=] { *chosen = [args](control& run) { return run.Diff(args->file); }; });

  CLI::App* check = app->add_subcommand(
      "check", "Check a file of targets or of an entry's settings");
  check->add_option("file", args->file, "YAML file")->required();
  check->callback([=] {
    *chosen = [args](control& run) { return run.Check(args->file); };
  });
}

// Needs no entry.
exit_code Trace(const arguments& args) {
  std::vector<observe::process_log> logs;
  for (const std::string& path : args.logs) {
    logs.push_back({std::filesystem::path(path).stem().string(),
                    settings::ReadFile(path)});
  }
  const observe::job_trace trace = observe::TraceJob(args.name, logs);
  std::cout << observe::ToText(trace);
  return trace.events.empty() ? exit_code::kFailed : exit_code::kOk;
}

void AddTraceCommand(CLI::App* app, arguments* args, chosen_command* chosen) {
  CLI::App* trace = app->add_subcommand(
      "trace", "Tell what became of a job, from the logs of all processes");
  trace->add_option("job", args->name, "Id of the job")->required();
  trace->add_option("logs", args->logs, "Log files")->required();
  trace->callback(
      [=] { *chosen = [args](control& /*run*/) { return Trace(*args); }; });
}

void AddWaveCommands(CLI::App* app, arguments* args, chosen_command* chosen) {
  CLI::App* wave = app->add_subcommand("wave", "Maintenance waves");
  wave->require_subcommand(1);
  CLI::App* start = wave->add_subcommand("start", "Reboot the VMs of pools");
  start->add_option("wave", args->wave.wave, "Name of the wave")->required();
  start->add_option("--pool", args->wave.pools, "Pool; may be repeated")
      ->required();
  start->add_option("--finish-by", args->wave.finish_by,
                    "Time in UTC, as in 2026-03-01T12:00:00Z");
  start->callback([=] {
    *chosen = [args](control& run) { return run.StartWave(args->wave); };
  });
  CLI::App* status = wave->add_subcommand("status", "Show waves");
  status->add_option("wave", args->name, "Name of the wave");
  status->callback([=] {
    *chosen = [args](control& run) { return run.ShowWaves(args->name); };
  });
  for (const char* verb : {"pause", "resume", "cancel"}) {
    CLI::App* change =
        wave->add_subcommand(verb, std::string("Make a wave ") + verb);
    change->add_option("wave", args->name, "Name of the wave")->required();
    change->add_option("--reason", args->reason, "Shown to other operators");
    change->callback([=] {
      *chosen = [args, verb](control& run) {
        return run.ChangeWave(args->name, verb, args->reason);
      };
    });
  }
}

void AddFleetCommands(CLI::App* app, arguments* args, chosen_command* chosen) {
  const auto add = [=](const char* name, const char* help,
                       exit_code (control::*method)()) {
    app->add_subcommand(name, help)->callback([=] {
      *chosen = [method](control& run) { return (run.*method)(); };
    });
  };
  add("status", "Show an entry and its view", &control::Status);
  add("vms", "Show the VMs", &control::ShowVms);
  add("pools", "Show the pools", &control::ShowPools);
  add("jobs", "Show the jobs", &control::ShowJobs);
  add("burn", "Show how fast classes use up their budgets", &control::Burn);
  CLI::App* explain =
      app->add_subcommand("explain", "Tell why a VM is where it is");
  explain->add_option("vm", args->name, "Name of the VM")->required();
  explain->callback([=] {
    *chosen = [args](control& run) { return run.Explain(args->name); };
  });
}

void AddJobCommands(CLI::App* app, arguments* args, chosen_command* chosen) {
  CLI::App* job = app->add_subcommand("job", "Jobs on workers");
  job->require_subcommand(1);
  CLI::App* submit = job->add_subcommand("submit", "Submit a job");
  job_options* options = &args->job;
  submit->add_option("job", options->job, "Name of the job")->required();
  submit->add_option("--pool", options->pool, "Pool to run in")->required();
  submit->add_option("--team", options->team, "Team that it counts against");
  submit->add_option("--processors", options->processors, "Processors");
  submit->add_option("--memory-mb", options->memory_mb, "Memory in MB");
  submit->add_option("--accelerators", options->accelerators, "Accelerators");
  submit->add_option("--run-time", options->declared_run_time,
                     "Declared run time, as in 2h");
  submit->add_option("--finish-by", options->finish_by,
                     "Time in UTC, as in 2026-03-01T12:00:00Z");
  submit->add_flag("--urgent", options->urgent, "Goes before other jobs");
  submit->callback([=] {
    *chosen = [args](control& run) { return run.SubmitJob(args->job); };
  });
  const std::map<std::string, std::string> verbs = {
      {"cancel", "Cancel a job"}, {"retry", "Free a parked job"}};
  for (const auto& [verb, help] : verbs) {
    CLI::App* change = job->add_subcommand(verb, help);
    change->add_option("job", args->name, "Name of the job")->required();
    change->add_option("--reason", args->reason, "Shown to other operators");
    change->callback([=, verb = verb] {
      *chosen = [args, verb](control& run) {
        return run.ChangeJob(args->name, verb, args->reason);
      };
    });
  }
}

control_context MakeContext(const arguments& args) {
  control_context context;
  context.format = args.format;
  context.author = args.author;
  for (const std::string& text : args.entries) {
    for (entry_address& address : ParseAddresses(text)) {
      context.entries.push_back(std::move(address));
    }
  }
  if (context.entries.empty()) {
    context.entries =
        ParseAddresses(FromEnvironment("PLANTAIN_ENTRIES", "127.0.0.1:8080"));
  }
  return context;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Operators' commands of plantainhead. Exit codes: 0 done, 1 "
      "failed, 2 bad input, 3 conflict, 4 no entry answered.");
  app.set_version_flag("--version", std::string(kVersion));
  app.require_subcommand(1);
  app.fallthrough();
  arguments args;
  args.author = FromEnvironment("USER", "operator");
  chosen_command chosen;
  app.add_option("--entry", args.entries,
                 "Entry as host:port; may be repeated (else PLANTAIN_ENTRIES)");
  app.add_option("--author", args.author, "Name written beside changes");
  const std::map<std::string, output_format> formats = {
      {"table", output_format::kTable},
      {"json", output_format::kJson},
      {"html", output_format::kHtml}};
  app.add_option("--output", args.format, "table or json; html for burn")
      ->transform(CLI::CheckedTransformer(formats));
  AddTargetCommands(&app, &args, &chosen);
  AddTraceCommand(&app, &args, &chosen);
  AddWaveCommands(&app, &args, &chosen);
  AddJobCommands(&app, &args, &chosen);
  AddFleetCommands(&app, &args, &chosen);
  try {
    app.parse(argc, argv);
    control run(MakeContext(args), &std::cout, &std::cerr);
    return static_cast<int>(chosen(run));
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(exit_code::kBadInput);
  } catch (const core::findings_error& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(exit_code::kBadInput);
  } catch (const std::invalid_argument& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(exit_code::kBadInput);
  }
}

}  // namespace
}  // namespace plantainhead::operators

int main(int argc, char** argv) {
  return plantainhead::operators::Main(argc, argv);
}
