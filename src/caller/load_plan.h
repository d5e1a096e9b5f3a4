#ifndef PLANTAINHEAD_CALLER_LOAD_PLAN_H_
#define PLANTAINHEAD_CALLER_LOAD_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"

namespace plantainhead::caller {

/// Requests of one kind that the load tool sends.
struct load_class {
  std::string service;
  /// Class of work; empty leaves `Plantain-Class` out.
  std::string name;
  /// Mean arrivals a second.
  double rate = 1.0;
  std::chrono::milliseconds deadline{1000};
  std::string method = "POST";
  std::string path = "/";
  bool idempotent = true;
  /// Sends an `Idempotency-Key`.
  bool keys = false;
  /// Bytes of each body.
  std::size_t body = 0;
  /// Share of the requests that are sent twice at once under one key, as by a
  /// caller that retries too early.
  double repeat = 0.0;

  friend bool operator==(const load_class&, const load_class&) = default;
};

/// One request to come.
struct arrival {
  /// From the start of the run.
  std::chrono::microseconds at{};
  /// Index into the plan's classes.
  std::size_t kind = 0;
  /// Number of the request within the run; two arrivals with one number are
  /// the same request sent twice.
  std::uint64_t number = 0;

  friend bool operator==(const arrival&, const arrival&) = default;
};

/// All arrivals of a run, in the order of their time.
struct load_plan {
  std::vector<load_class> classes;
  std::vector<arrival> arrivals;

  friend bool operator==(const load_plan&, const load_plan&) = default;
};

/// Builds a class from its parts by name, such as {"rate", "50"}. Throws
/// `core::findings_error` with all that is wrong, each with `place`.
/// Thread safety: safe from any thread.
load_class ParseLoadClass(const std::map<std::string, std::string>& parts,
                          const core::source_location& place);

/// Reads "service=intake,class=urgent,rate=50". Throws as `ParseLoadClass()`.
/// Thread safety: safe from any thread.
load_class ParseLoadClass(const std::string& text);

/// Draws arrivals of each class as a Poisson process over `length`. The same
/// seed gives the same plan. Thread safety: safe from any thread.
load_plan DrawPlan(std::vector<load_class> classes,
                   std::chrono::microseconds length,
                   std::uint64_t seed);

/// Writes a plan as JSON lines: the classes, then each arrival.
/// Thread safety: none for the stream.
void WriteTrace(const load_plan& plan, std::ostream& out);

/// Reads what `WriteTrace()` wrote. Throws `core::findings_error`.
/// Thread safety: none for the stream.
load_plan ReadTrace(std::istream& in, const std::string& file);

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_LOAD_PLAN_H_
