#ifndef PLANTAINHEAD_FAKES_PLATFORM_STATE_H_
#define PLANTAINHEAD_FAKES_PLATFORM_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>

#include "fleet_model.h"
#include "log_model.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "platform/json_archive.h"

namespace plantainhead::fakes {

/// How an answer to an append that took effect is lost.
enum class answer_loss { kStatus, kClose };

inline constexpr core::name_table<answer_loss, 2> kAnswerLossNames = {{
    {answer_loss::kStatus, "status"},
    {answer_loss::kClose, "close"},
}};
inline constexpr const auto& NamesOf(answer_loss) {
  return kAnswerLossNames;
}

struct platform_faults {
  bool down = false;
  /// What each call waits first.
  core::duration slow{};
  /// So many appends are refused without effect.
  std::uint64_t refuse_appends = 0;
  /// So many appends take effect without an answer.
  std::uint64_t lose_append_answers = 0;
  answer_loss lose_by = answer_loss::kStatus;
};

struct platform_counters {
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  std::uint64_t refused_appends = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t operation_calls = 0;
};

/// All that the stand-in for the platform keeps.
/// Thread safety: the holder of `mutex` may use it.
struct platform_state {
  std::mutex mutex;
  log_model log;
  fleet_model fleet;
  platform_faults faults;
  platform_counters counters;
  bool stopping = false;
  /// Wakes the readers of one stream.
  std::map<core::stream_name, std::condition_variable> readers;
  std::condition_variable faults_changed;

  /// Waits out the fault `slow`. Returns false when the platform is down.
  /// Precondition: `lock` holds `mutex`.
  bool PassFaults(std::unique_lock<std::mutex>& lock);

  /// Changes the faults that `body` names.
  /// Errors: `platform::codec_error`; no fault is changed then.
  void ChangeFaults(const platform::json& body);

  /// Lets everyone who waits look at the state again.
  void WakeAll();

  platform::json FaultsJson() const;
  platform::json CountersJson() const;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_PLATFORM_STATE_H_
