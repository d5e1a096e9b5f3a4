#include "platform/appender.h"

#include "plantainhead/platform/record_codec.h"
#include "platform/json_archive.h"

namespace plantainhead::platform {
namespace {

constexpr int kClientErrorBegin = 400;
constexpr int kClientErrorEnd = 500;

std::string BodyOf(const core::append_records& what) {
  json records = json::array();
  for (const core::record& item : what.records) {
    records.push_back(EncodeRecord(item));
  }
  return Dump({{"records", std::move(records)}});
}

// Reads the offset of the first record from a successful answer.
core::log_offset FirstOf(const http_reply& reply) {
  core::log_offset first = 0;
  const json body = ParseObject(reply.body);
  const json_reader in(body, "");
  json_reader::Read(in.Require("first"), first, "/first");
  return first;
}

}  // namespace

appender::appender(link_context* context)
    : worker(context, context->options.answer_timeout) {}

void appender::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    self->receive(
        [this](const append_job& job) {
          if (!IsStopping()) {
            Post(Append(job.what));
          }
        },
        [](stop_job) {});
  }
}

core::append_finished appender::Append(const core::append_records& what) {
  core::append_finished finished;
  finished.append = what.append;
  std::string body;
  try {
    body = BodyOf(what);
  } catch (const codec_error&) {
    finished.result = core::append_result::kRejected;
    return finished;
  }
  const http_reply reply = client_.Post(
      "/streams/" + EscapeSegment(what.stream.value()) + "/records", body);

  // An answer can be lost after its append took effect. Only a connection that
  // was never made and a refusal show that it didn't; calling anything else a
  // refusal would let a request run that others see as claimed, or a change of
  // targets appear that its author was told had failed.
  const bool is_refusal =
      reply.status >= kClientErrorBegin && reply.status < kClientErrorEnd;
  if (reply.reached == call_outcome::kNotSent || is_refusal) {
    finished.result = core::append_result::kRejected;
  } else if (reply.IsSuccess()) {
    try {
      finished.first = FirstOf(reply);
      finished.result = core::append_result::kAppended;
    } catch (const codec_error&) {
      finished.result = core::append_result::kUnknown;
    }
  }
  return finished;
}

}  // namespace plantainhead::platform
