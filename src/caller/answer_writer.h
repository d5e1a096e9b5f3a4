#ifndef PLANTAINHEAD_CALLER_ANSWER_WRITER_H_
#define PLANTAINHEAD_CALLER_ANSWER_WRITER_H_

#include <string>

#include "caller/request_parser.h"
#include "plantainhead/core/requests/request.h"

namespace plantainhead::caller {

/// An answer as it goes to the caller. Lengths and connection headers are left
/// to the HTTP library.
struct written_answer {
  int status = 0;
  core::header_list headers;
  core::shared_body body;
};

/// Writes the outcome of a request. An answer of the endpoint keeps its status,
/// headers and body; any other gets a JSON body that says what happened.
/// Thread safety: safe from any thread.
written_answer WriteAnswer(const core::response& answer);

/// Writes the answer to a request that never reached the decisions.
/// Thread safety: safe from any thread.
written_answer WriteRefusal(const refusal& why);

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_ANSWER_WRITER_H_
