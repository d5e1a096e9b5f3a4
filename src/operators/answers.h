#ifndef PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_
#define PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_

#include <memory>
#include <stdexcept>
#include <string>

#include "operators/views.h"
#include "plantainhead/caller/route.h"
#include "plantainhead/core/findings.h"

/// Answers of the operators' routes. All functions are safe from any thread.
namespace plantainhead::operators {

/// The entry has not read the log yet, so that it knows nothing of the fleet.
class no_state_error : public std::runtime_error {
 public:
  no_state_error();
};

/// Returns the fold, never null. Throws `no_state_error`.
std::shared_ptr<const core::fleet_state> StateOf(const entry_view& view);

/// Writes `body` as the answer. Names may hold bytes that are not UTF-8; they
/// are replaced, since the library would throw on them.
caller::http_answer JsonAnswer(int status, const json& body);

/// Answers {"error": `code`, "message": `message`}.
caller::http_answer ErrorAnswer(int status,
                                const std::string& code,
                                const std::string& message);

/// Answers 503.
caller::http_answer UnavailableAnswer(const std::string& message);

/// Answers 400 with every finding and its place.
caller::http_answer FindingsAnswer(const core::findings_error& error);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_
