#ifndef PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_
#define PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_

#include "plantainhead/core/names.h"

namespace plantainhead::net {

/// How far a request got.
enum class delivery {
  /// No connection was made, so the request was not sent.
  kNotSent,
  /// It was sent, at least in part, and no whole answer came in time.
  kUnanswered,
  /// A whole answer came.
  kAnswered,
};

inline constexpr core::name_table<delivery, 3> kDeliveryNames = {{
    {delivery::kNotSent, "not sent"},
    {delivery::kUnanswered, "no whole answer"},
    {delivery::kAnswered, "answered"},
}};
inline constexpr const auto& NamesOf(delivery) {
  return kDeliveryNames;
}

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_CALL_OUTCOME_H_
