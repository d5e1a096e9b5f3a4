#include "caller/answer_writer.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include "endpoint/http_headers.h"

namespace plantainhead::caller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Retry-After of a refusal, whose cause is in the request itself.
constexpr milliseconds kRefusalRetryAfter = seconds(1);

int DefaultStatus(const core::response& answer) {
  switch (answer.reason) {
    case core::answer_reason::kUnknownService:
      return 404;
    case core::answer_reason::kUnknownClass:
    case core::answer_reason::kBadDeadline:
    case core::answer_reason::kKeyTooOld:
      return 400;
    case core::answer_reason::kBodyTooLarge:
      return 413;
    case core::answer_reason::kKeyInProgress:
    case core::answer_reason::kKeyAlreadyRun:
      return 409;
    case core::answer_reason::kDeadline:
      return 504;
    default:
      return answer.result == core::outcome::kNotRun ? 503 : 502;
  }
}

// Headers that only an entry may set on an answer.
bool IsEntryHeader(const std::string& lower) {
  return lower == "plantain-outcome" || lower == "plantain-reason" ||
         lower == "plantain-request-id" || lower == "plantain-leaving";
}

void AddRetryAfter(milliseconds wait, core::header_list* headers) {
  const milliseconds atleast = std::max(wait, milliseconds(1));
  const auto whole = std::chrono::ceil<seconds>(atleast);
  headers->emplace_back("Retry-After", std::to_string(whole.count()));
  headers->emplace_back("Retry-After-Ms", std::to_string(atleast.count()));
}

core::shared_body Explain(std::string_view outcome,
                          std::string_view reason,
                          const std::string& detail) {
  nlohmann::json text;
  text["outcome"] = outcome;
  text["reason"] = reason;
  text["detail"] = detail;
  // A detail may quote bytes of the request that aren't UTF-8.
  return std::make_shared<const std::string>(
      text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

}  // namespace

written_answer WriteAnswer(const core::response& answer) {
  written_answer written;
  written.status = answer.status != 0 ? answer.status : DefaultStatus(answer);
  const std::string_view outcome = core::NameOf(answer.result);
  const std::string_view reason = core::NameOf(answer.reason);
  if (answer.result == core::outcome::kDone) {
    for (const auto& [name, value] :
         endpoint::WithoutHopByHop(answer.headers)) {
      if (!IsEntryHeader(endpoint::ToLower(name))) {
        written.headers.emplace_back(name, value);
      }
    }
    written.body = answer.body;
  } else {
    written.headers.emplace_back("Content-Type", "application/json");
    written.body = Explain(outcome, reason, answer.detail);
  }
  written.headers.emplace_back("Plantain-Outcome", outcome);
  written.headers.emplace_back("Plantain-Reason", reason);
  if (answer.result == core::outcome::kNotRun) {
    const core::duration wait = answer.retry_after.value_or(seconds(1));
    AddRetryAfter(std::chrono::ceil<milliseconds>(wait), &written.headers);
  }
  return written;
}

written_answer WriteRefusal(const refusal& why) {
  const std::string_view outcome = core::NameOf(why.result);
  written_answer written;
  written.status = why.status;
  written.headers.emplace_back("Content-Type", "application/json");
  written.headers.emplace_back("Plantain-Outcome", outcome);
  written.headers.emplace_back("Plantain-Reason", why.reason);
  if (why.result == core::outcome::kNotRun) {
    AddRetryAfter(kRefusalRetryAfter, &written.headers);
  }
  written.body = Explain(outcome, why.reason, why.detail);
  return written;
}

}  // namespace plantainhead::caller
