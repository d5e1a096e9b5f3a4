#ifndef PLANTAINHEAD_OBSERVE_REQUEST_RECORDER_H_
#define PLANTAINHEAD_OBSERVE_REQUEST_RECORDER_H_

#include <memory>

#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/metrics.h"

namespace plantainhead::observe {

/// Counts the answers that an entry gives to its own callers, as the metrics
/// `plantainhead_answers_total` (by class and outcome) and
/// `plantainhead_answer_seconds` (by class).
/// Thread safety: all methods are safe from any thread.
class request_recorder {
 public:
  /// Precondition: `all` isn't null and outlives the recorder.
  explicit request_recorder(metrics* all);
  request_recorder(const request_recorder&) = delete;
  request_recorder& operator=(const request_recorder&) = delete;
  ~request_recorder();

  /// Takes the known classes from the targets in force. Cheap when their
  /// version is the same as at the call before.
  void FollowTargets(const core::fleet_state& fleet);

  /// Counts one answer. A class that is not in the targets is left out: names
  /// that callers make up would grow the metrics without end.
  void Record(const core::request_envelope& request,
              const core::response& answer,
              core::time_point arrived,
              core::time_point now);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_REQUEST_RECORDER_H_
