#ifndef PLANTAINHEAD_CALLER_LOAD_SENDER_H_
#define PLANTAINHEAD_CALLER_LOAD_SENDER_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "caller/load_balancer.h"
#include "caller/load_plan.h"
#include "caller/load_report.h"

namespace plantainhead::caller {

struct load_options {
  std::vector<entry_address> entries;
  /// Requests in progress at once.
  std::size_t concurrency = 256;
  /// Tells this run's nonces and keys from those of others.
  std::string run_id;
};

/// Returns the nonce, and the key if it has one, of a request.
/// Thread safety: safe from any thread.
std::string NonceOf(const std::string& run_id, std::uint64_t number);

/// Sends all requests of a plan at their times, whether or not earlier ones
/// have been answered, and adds how each ended to `report`. Returns once none
/// is in progress.
/// Thread safety: safe from any thread; uses up to `concurrency` of its own.
void SendLoad(const load_plan& plan,
              const load_options& options,
              load_report* report);

/// Sums up `GET /control/counters` of all runners, after waiting until none
/// has a run in progress (at most `patience`).
struct collected_runs {
  run_counts runs;
  std::uint64_t read = 0;
  std::uint64_t unread = 0;
};
collected_runs CollectRuns(const std::vector<entry_address>& runners,
                           std::chrono::milliseconds patience);

/// Returns the addresses of the endpoints that the platform at `platform`
/// lists. Throws `std::runtime_error` when it can't be read.
/// Thread safety: safe from any thread.
std::vector<entry_address> ReadRunners(const entry_address& platform);

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_LOAD_SENDER_H_
