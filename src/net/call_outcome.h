#ifndef PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_
#define PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_

#include "plantainhead/core/names.h"

namespace plantainhead::net {

/// How far a request got.
enum class call_outcome {
  /// No connection was made, so the request was not sent.
  kNotSent,
  /// It was sent, at least in part, and no whole answer came in time.
  kUnanswered,
  /// A whole answer came.
  kAnswered,
};

inline constexpr core::name_table<call_outcome, 3> kCallOutcomeNames = {{
    {call_outcome::kNotSent, "not sent"},
    {call_outcome::kUnanswered, "no whole answer"},
    {call_outcome::kAnswered, "answered"},
}};
inline constexpr const auto& NamesOf(call_outcome) {
  return kCallOutcomeNames;
}

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_
