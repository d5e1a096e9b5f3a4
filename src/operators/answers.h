#ifndef PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_
#define PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_

#include <string>

#include "operators/views.h"
#include "plantainhead/caller/route.h"
#include "plantainhead/core/findings.h"

/// Answers of the operators' routes. All functions are safe from any thread.
namespace plantainhead::operators {

/// Writes `body` as the answer. Names may hold bytes that are not UTF-8; they
/// are replaced, since the library would throw on them.
caller::http_answer JsonAnswer(int status, const json& body);

/// Answers {"error": `code`, "message": `message`}.
caller::http_answer ErrorAnswer(int status,
                                const std::string& code,
                                const std::string& message);

/// Answers 400 with every finding and its place.
caller::http_answer FindingsAnswer(const core::findings_error& error);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_ANSWERS_H_
