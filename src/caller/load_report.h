#ifndef PLANTAINHEAD_CALLER_LOAD_REPORT_H_
#define PLANTAINHEAD_CALLER_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "caller/load_plan.h"

namespace plantainhead::caller {

/// How one request ended, as its caller saw it.
enum class load_outcome {
  kDone,
  kNotRun,
  kUnknown,
  /// No answer, and the connection was refused or ended.
  kConnectionFailed,
  /// No answer, although the connection stayed up past the deadline.
  kLost,
  /// The tool itself was too busy to send it in time.
  kNotSent,
};

/// One request's end.
struct load_result {
  std::size_t kind = 0;
  std::uint64_t number = 0;
  load_outcome how = load_outcome::kLost;
  /// HTTP status, or 0.
  int status = 0;
  std::string reason;
  /// From the planned arrival to the end.
  std::chrono::microseconds took{};
  /// The answer is that of another request.
  bool crossed = false;
};

/// Runs that the runners counted, by nonce.
using run_counts = std::map<std::string, std::uint64_t>;

/// What can't happen if the system keeps its promises.
struct load_audit {
  /// Requests that aren't idempotent and ran more than once.
  std::uint64_t doubled = 0;
  /// Requests that ran although each answer said "not run".
  std::uint64_t dishonest = 0;
  /// Requests answered as done that no runner has run.
  std::uint64_t unfounded = 0;
  /// Runners whose counters couldn't be read; their runs aren't counted.
  std::uint64_t unread_runners = 0;
  std::uint64_t read_runners = 0;
};

/// Collects results and works out the report.
/// Thread safety: none.
class load_report {
 public:
  explicit load_report(std::vector<load_class> classes);
  ~load_report();

  load_report(const load_report&) = delete;
  load_report& operator=(const load_report&) = delete;

  void Add(const load_result& result);

  /// Compares the results with the runs. `nonce_of` gives the nonce of a
  /// request's number.
  template <typename NonceOf>
  void Audit(const run_counts& runs,
             std::uint64_t read_runners,
             std::uint64_t unread_runners,
             NonceOf nonce_of) {
    audit_ = {};
    audit_.read_runners = read_runners;
    audit_.unread_runners = unread_runners;
    for (const auto& [number, attempts] : attempts_) {
      const auto found = runs.find(nonce_of(number));
      AuditOne(attempts, found == runs.end() ? 0 : found->second);
    }
  }

  /// True when nothing was crossed, lost, doubled or dishonest.
  bool IsClean() const;

  nlohmann::json ToJson() const;

 private:
  // All attempts at one request.
  struct attempts {
    std::size_t kind = 0;
    std::uint32_t sent = 0;
    std::uint32_t not_run = 0;
    std::uint32_t done = 0;
  };
  struct class_figures;

  void AuditOne(const attempts& of, std::uint64_t runs);

  std::vector<std::unique_ptr<class_figures>> classes_;
  std::map<std::uint64_t, attempts> attempts_;
  load_audit audit_;
};

/// Returns a table for people from what `load_report::ToJson()` gave.
/// Thread safety: safe from any thread.
std::string ToText(const nlohmann::json& report);

/// Returns a table of how the figures of `after` differ from those of `before`.
/// Thread safety: safe from any thread.
std::string Compare(const nlohmann::json& before, const nlohmann::json& after);

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_LOAD_REPORT_H_
