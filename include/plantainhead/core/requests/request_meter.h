#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_METER_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_METER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Returns the SLO outcome of an answer that took `elapsed`; nothing if the
/// answer reports an error of the caller. `in_maintenance` tells whether
/// maintenance keeps VMs of the service out of use. Thread safety: safe from
/// any thread.
std::optional<slo_outcome> ClassifyAnswer(const response& answer,
                                          duration elapsed,
                                          duration within,
                                          bool in_maintenance);

/// Counts the requests of an entry's own callers by class and SLO outcome, and
/// the time for which its calls occupied slots of each service. The counters
/// only grow, so that readers can use differences and a lost report does no
/// harm. Thread safety: none.
class request_meter {
 public:
  void OnArrival(std::uint64_t sequence,
                 const work_class& work,
                 time_point now);
  /// Ignores answers to requests that did not arrive at this entry.
  void OnAnswer(const answer_caller& item, bool in_maintenance, time_point now);
  void OnCall(const call_endpoint& item, time_point now);
  /// Records that a call was answered or failed. Ignores unknown calls.
  void OnCallEnded(call_id call, time_point now);

  /// Returns the service of a request that arrived here and is not answered
  /// yet, or null.
  const service_name* ServiceOf(std::uint64_t sequence) const;

  std::vector<class_counts> Classes() const;
  std::vector<service_times> Times() const;

  /// Returns the counts since the previous call, without classes whose counts
  /// are all zero.
  std::map<class_name, request_counts> TakeUnrecorded();

 private:
  struct open_request {
    class_name work;
    service_name service;
    duration within{};
    time_point arrived;
  };
  struct open_call {
    service_name service;
    time_point started;
  };

  std::unordered_map<std::uint64_t, open_request> requests_;
  std::unordered_map<call_id, open_call> calls_;
  std::map<class_name, request_counts> classes_;
  std::map<class_name, request_counts> recorded_;
  std::map<service_name, service_times> times_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_METER_H_
