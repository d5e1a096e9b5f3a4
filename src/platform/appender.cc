#include "platform/appender.h"

#include "plantainhead/platform/record_codec.h"
#include "platform/json_archive.h"

namespace plantainhead::platform {
namespace {

constexpr int kClientErrorBegin = 400;
constexpr int kClientErrorEnd = 500;

std::string EncodeRequestBody(const core::append_records& what) {
  json records = json::array();
  for (const core::record& item : what.records) {
    records.push_back(EncodeRecord(item));
  }
  return Dump({{"records", std::move(records)}});
}

// Returns the offset of the first appended record from a success response.
core::log_offset ParseFirstOffset(const http_reply& reply) {
  core::log_offset first = 0;
  const json body = ParseObject(reply.body);
  const json_reader in(body, "");
  json_reader::Read(in.Require("first"), first, "/first");
  return first;
}

}  // namespace

appender::appender(link_context* context)
    : link_worker(context, context->options.answer_timeout) {}

void appender::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    self->receive(
        [this](const append_message& job) {
          if (!IsStopping()) {
            Post(Append(job.what));
          }
        },
        [](stop_message) {});
  }
}

core::append_finished appender::Append(const core::append_records& what) {
  core::append_finished finished;
  finished.append = what.append;
  std::string body;
  try {
    body = EncodeRequestBody(what);
  } catch (const codec_error&) {
    finished.result = core::append_result::kRejected;
    return finished;
  }
  const http_reply reply = client_.Post(
      "/streams/" + EscapePathSegment(what.stream.value()) + "/records", body);

  // The response may be lost after the append took effect. Only a failed
  // connection attempt or a refusal proves that the append had no effect. If
  // any other outcome were treated as a refusal, a request could run although
  // other entries see it as claimed, or a configuration could take effect after
  // its author was told that publishing it had failed.
  const bool is_refusal =
      reply.status >= kClientErrorBegin && reply.status < kClientErrorEnd;
  if (reply.outcome == call_outcome::kNotSent || is_refusal) {
    finished.result = core::append_result::kRejected;
  } else if (reply.IsSuccess()) {
    try {
      finished.first = ParseFirstOffset(reply);
      finished.result = core::append_result::kAppended;
    } catch (const codec_error&) {
      finished.result = core::append_result::kUnknown;
    }
  }
  return finished;
}

}  // namespace plantainhead::platform
