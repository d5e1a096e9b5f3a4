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

/// Returns what an answer that took `elapsed` means for the target of its
/// class; nothing for an answer that says the caller's request was wrong.
/// `in_maintenance` tells that maintenance keeps VMs of the service from work.
/// Thread safety: safe from any thread.
std::optional<slo_outcome> ClassifyAnswer(const response& answer,
                                          duration elapsed,
                                          duration within,
                                          bool in_maintenance);

/// Counts one entry's own callers' requests by class and fate, and how long its
/// calls held slots of each service. The counts only grow, so that others can
/// work with differences and a lost report costs nothing.
/// Thread safety: none.
class request_meter {
 public:
  void OnArrival(std::uint64_t sequence,
                 const work_class& work,
                 time_point now);
  /// An answer to a request that didn't arrive here is ignored.
  void OnAnswer(const answer_caller& item, bool in_maintenance, time_point now);
  void OnCall(const call_endpoint& item, time_point now);
  /// The call was answered or failed. Unknown calls are ignored.
  void OnCallEnded(call_id call, time_point now);

  /// Returns the service of a request that arrived here and isn't answered yet,
  /// or null.
  const service_name* ServiceOf(std::uint64_t sequence) const;

  std::vector<class_counts> Classes() const;
  std::vector<service_times> Times() const;

  /// Returns what was counted since the previous call, without empty counts.
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
