#ifndef PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_
#define PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_

#include "plantainhead/core/names.h"

namespace plantainhead::net {

/// Whether a request was sent and answered.
enum class call_outcome {
  /// The request was not sent, for example because no connection was made.
  kNotSent,
  /// The request was sent, at least in part, but no complete response arrived
  /// in
  /// time.
  kUnanswered,
  /// A complete response arrived.
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
