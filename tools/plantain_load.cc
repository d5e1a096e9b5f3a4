// Sends requests to entries at given rates and reports what became of them.

#include <yaml-cpp/yaml.h>
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "caller/load_plan.h"
#include "caller/load_report.h"
#include "caller/load_sender.h"
#include "plantainhead/version.h"

namespace {

using namespace plantainhead;
using nlohmann::json;

constexpr int kNotCleanExitCode = 1;
constexpr int kUsageExitCode = 2;

struct settings {
  std::vector<std::string> entries;
  std::vector<std::string> classes;
  std::string class_file;
  std::vector<std::string> runners;
  std::string runners_from;
  double duration_s = 10;
  std::uint64_t seed = 1;
  std::size_t concurrency = 256;
  double settle_s = 2;
  std::string output = "text";
  std::string trace_out;
  std::string trace_in;
  std::vector<std::string> compare;
};

void AddOptions(CLI::App* app, settings* all) {
  app->add_option("--entry", all->entries, "HOST:PORT of an entry; repeatable");
  app->add_option("--class", all->classes,
                  "service=intake,class=urgent,rate=50,deadline=800ms,"
                  "idempotent=false,keys=true; repeatable");
  app->add_option("--classes", all->class_file, "YAML list of classes");
  app->add_option("--runner", all->runners,
                  "HOST:PORT of a runner whose counters are compared");
  app->add_option("--runners-from-platform", all->runners_from,
                  "HOST:PORT of the platform that lists the runners");
  app->add_option("--duration", all->duration_s, "Seconds of arrivals");
  app->add_option("--seed", all->seed, "Seed of the arrivals");
  app->add_option("--concurrency", all->concurrency, "Requests at once");
  app->add_option("--settle", all->settle_s,
                  "Seconds to wait for late runs before counters are read");
  app->add_option("--output", all->output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app->add_option("--trace-out", all->trace_out, "File to record arrivals in");
  app->add_option("--trace-in", all->trace_in, "File to replay arrivals from");
  app->add_option("--compare", all->compare, "Two reports to compare")
      ->expected(2);
}

std::ifstream Open(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    throw std::runtime_error("can't read " + file);
  }
  return in;
}

json ReadReport(const std::string& file) {
  std::ifstream in = Open(file);
  return json::parse(in);
}

std::vector<caller::load_class> ReadClasses(const settings& all) {
  std::vector<caller::load_class> classes;
  for (const std::string& text : all.classes) {
    classes.push_back(caller::ParseLoadClass(text));
  }
  if (!all.class_file.empty()) {
    for (const YAML::Node& node : YAML::LoadFile(all.class_file)) {
      const core::source_location place = {all.class_file, node.Mark().line + 1,
                                           node.Mark().column + 1};
      classes.push_back(caller::ParseLoadClass(
          node.as<std::map<std::string, std::string>>(), place));
    }
  }
  return classes;
}

caller::load_plan MakePlan(const settings& all) {
  if (!all.trace_in.empty()) {
    std::ifstream in = Open(all.trace_in);
    return caller::ReadTrace(in, all.trace_in);
  }
  const auto length = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(all.duration_s));
  return caller::DrawPlan(ReadClasses(all), length, all.seed);
}

std::vector<caller::entry_address> ParseAll(
    const std::vector<std::string>& texts) {
  std::vector<caller::entry_address> addresses;
  addresses.reserve(texts.size());
  for (const std::string& text : texts) {
    addresses.push_back(caller::ParseAddress(text));
  }
  return addresses;
}

std::string DrawRunId() {
  std::random_device source;
  std::ostringstream text;
  text << std::hex << source() << source();
  return text.str();
}

int Run(const settings& all) {
  if (!all.compare.empty()) {
    std::cout << caller::Compare(ReadReport(all.compare[0]),
                                 ReadReport(all.compare[1]));
    return EXIT_SUCCESS;
  }
  const caller::load_plan plan = MakePlan(all);
  if (plan.classes.empty() || all.entries.empty()) {
    throw std::runtime_error("--entry and --class (or --trace-in) are needed");
  }
  if (!all.trace_out.empty()) {
    std::ofstream out(all.trace_out);
    caller::WriteTrace(plan, out);
  }
  std::vector<caller::entry_address> runners = ParseAll(all.runners);
  if (!all.runners_from.empty()) {
    const auto listed =
        caller::ReadRunners(caller::ParseAddress(all.runners_from));
    runners.insert(runners.end(), listed.begin(), listed.end());
  }
  const caller::load_options options = {ParseAll(all.entries), all.concurrency,
                                        DrawRunId()};
  caller::load_report report(plan.classes);
  caller::SendLoad(plan, options, &report);

  // A request that was answered "not run" may still run late; only counters
  // that are read after that could have happened show it.
  std::this_thread::sleep_for(std::chrono::duration<double>(all.settle_s));
  constexpr std::chrono::seconds kRunsEndWithin{10};
  if (!runners.empty()) {
    const caller::collected_runs runs =
        caller::CollectRuns(runners, kRunsEndWithin);
    report.Audit(runs.runs, runs.read, runs.unread, [&](std::uint64_t number) {
      return caller::NonceOf(options.run_id, number);
    });
  }
  json figures = report.ToJson();
  figures["seed"] = all.seed;
  std::cout << (all.output == "json" ? figures.dump(2) + "\n"
                                     : caller::ToText(figures));
  return report.IsClean() ? EXIT_SUCCESS : kNotCleanExitCode;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends requests to entries and reports what became of them");
  app.set_version_flag("--version", plantainhead::kVersion);
  settings all;
  AddOptions(&app, &all);
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(all);
  } catch (const std::exception& error) {
    std::cerr << "plantain-load: " << error.what() << "\n";
    return kUsageExitCode;
  }
}
