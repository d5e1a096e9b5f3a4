#ifndef PLANTAINHEAD_CORE_LOG_RECORD_GATE_H_
#define PLANTAINHEAD_CORE_LOG_RECORD_GATE_H_

#include <map>
#include <string>
#include <utility>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Keys of objects in the gate, also used in reasons and log messages.
inline std::string ObjectOf(const vm_id& vm) {
  return "vm:" + vm.value();
}
inline std::string ObjectOf(const wave_id& wave) {
  return "wave:" + wave.value();
}
inline std::string ObjectOf(const pool_id& pool) {
  return "pool:" + pool.value();
}
inline std::string ObjectOf(const job_id& job) {
  return "job:" + job.value();
}

/// Deduplicates records before they are appended: lets one record through for
/// each generation of an object and suppresses repetitions until the fleet
/// state has another generation or `timeout` has passed. A record that is
/// appended twice takes effect once, since both copies expect the same
/// generation. Thread safety: none.
class record_gate {
 public:
  explicit record_gate(duration timeout) : timeout_(timeout) {}

  /// Returns true while a record for this generation of `object` is pending.
  bool IsPending(const std::string& object,
                 generation expected,
                 time_point now) const {
    const auto found = pending_.find(object);
    return found != pending_.end() && found->second.first == expected &&
           now - found->second.second < timeout_;
  }

  /// Appends `body` unless a record for this generation of `object` is pending.
  /// Returns whether it was appended.
  bool Append(const std::string& object,
              generation expected,
              record_body body,
              time_point now,
              effects& out) {
    if (IsPending(object, expected, now)) {
      return false;
    }
    pending_[object] = {expected, now};
    out.Append(std::move(body));
    return true;
  }

  /// Removes pending records that are older than the timeout.
  void Expire(time_point now) {
    std::erase_if(pending_, [&](const auto& item) {
      return now - item.second.second >= timeout_;
    });
  }

  bool empty() const { return pending_.empty(); }

  /// Removes all pending records, for example after the lease was lost.
  void Clear() { pending_.clear(); }

 private:
  duration timeout_;
  std::map<std::string, std::pair<generation, time_point>> pending_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORD_GATE_H_
