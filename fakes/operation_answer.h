#ifndef PLANTAINHEAD_FAKES_OPERATION_ANSWER_H_
#define PLANTAINHEAD_FAKES_OPERATION_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "plantainhead/core/names.h"

namespace plantainhead::fakes {

/// How far an operation has come.
enum class operation_progress { kDone, kRunning, kRefused };

inline constexpr core::name_table<operation_progress, 3>
    kOperationProgressNames = {{
        {operation_progress::kDone, "done"},
        {operation_progress::kRunning, "running"},
        {operation_progress::kRefused, "refused"},
    }};
inline constexpr const auto& NamesOf(operation_progress) {
  return kOperationProgressNames;
}

struct operation_answer {
  operation_progress progress = operation_progress::kDone;
  std::string detail;
  /// Requests that a draining VM still runs.
  std::optional<std::uint32_t> in_flight;
};

inline operation_answer Done(std::string detail = "") {
  return {operation_progress::kDone, std::move(detail), std::nullopt};
}

inline operation_answer Refused(std::string detail) {
  return {operation_progress::kRefused, std::move(detail), std::nullopt};
}

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_OPERATION_ANSWER_H_
