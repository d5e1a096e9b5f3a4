// Plays one case of the review against real scheduler processes.
//   review-3-case NAME PROGRAM DIRECTORY RECORD
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "cases.h"
#include "site.h"

namespace plantainhead::review {
namespace {

int Run(const std::string& name,
        const site_options& options,
        bool is_troubled) {
  const std::map<std::string, int (*)(const site_options&, bool)> cases = {
      {"serving-job", &RunServingJob},
      {"long-tasks", &RunLongTasks},
      {"wide-job", &RunWideJob},
      {"nested-body", &RunNestedBody},
  };
  const auto found = cases.find(name);
  if (found == cases.end()) {
    std::cerr << "unknown case: " << name << "\n";
    return kCannotRun;
  }
  return found->second(options, is_troubled);
}

}  // namespace
}  // namespace plantainhead::review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: review-3-case NAME PROGRAM DIRECTORY RECORD\n";
    return plantainhead::review::kCannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool is_troubled = trouble == nullptr || std::string(trouble) != "0";
  try {
    return plantainhead::review::Run(argv[1], {argv[2], argv[3], argv[4]},
                                     is_troubled);
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return plantainhead::review::kCannotRun;
  }
}
