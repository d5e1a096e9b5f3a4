#include "platform/stream_reader.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <caf/after.hpp>

#include "plantainhead/platform/record_codec.h"
#include "platform/json_archive.h"

namespace plantainhead::platform {
namespace {

constexpr char kMalformed[] = "malformed";

// An undecodable record must not stop the stream: every entry would be stuck at
// its offset until it expires. All entries skip it, in the same way as a record
// of an unknown type.
core::record DecodeOrSkip(const std::string& text) {
  try {
    return DecodeRecord(text);
  } catch (const codec_error&) {
    core::record skipped;
    skipped.body = core::unknown_record{kMalformed};
    return skipped;
  }
}

core::log_read ParseRead(const std::string& text) {
  const json body = ParseObject(text);
  json_reader in(body, "");
  core::log_read read;
  json_reader::Read(in.Require("begin"), read.begin, "/begin");
  json_reader::Read(in.Require("end"), read.end, "/end");
  const json& records = in.Require("records");
  if (!records.is_array()) {
    throw codec_error("/records", "expected a list");
  }
  for (std::size_t i = 0; i < records.size(); ++i) {
    const std::string place = "/records/" + std::to_string(i);
    json_reader item(records[i], place);
    core::log_entry entry;
    json_reader::Read(item.Require("offset"), entry.offset, place + "/offset");
    entry.content =
        DecodeOrSkip(json_reader::Text(item.Require("data"), place + "/data"));
    read.entries.push_back(std::move(entry));
  }
  return read;
}

// Returns true if the offsets of the entries start at `first` and have no gaps.
bool IsInOrder(const std::vector<core::log_entry>& entries,
               core::log_offset first) {
  core::log_offset next = first;
  for (const core::log_entry& entry : entries) {
    if (entry.offset != next) {
      return false;
    }
    ++next;
  }
  return true;
}

}  // namespace

stream_reader::stream_reader(link_context* context, core::follow_stream what)
    : link_worker(context,
                  context->options.read_wait + context->options.answer_timeout),
      stream_(std::move(what.stream)),
      after_(what.after),
      backoff_(context->MakeBackoff()) {}

void stream_reader::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    next_read_delay_ = core::duration::zero();
    Handle(client_.Get(NextPath()));
    if (!IsStopping() && next_read_delay_ > core::duration::zero()) {
      self->receive([](stop_message) {}, caf::after(next_read_delay_) >> [] {});
    }
  }
}

std::string stream_reader::NextPath() const {
  const core::duration wait =
      read_without_wait_ ? core::duration::zero() : options().read_wait;
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return "/streams/" + EscapePathSegment(stream_.value()) +
         "/records?after=" + std::to_string(after_) +
         "&max=" + std::to_string(options().read_max) +
         "&wait_ms=" + std::to_string(wait_ms);
}

void stream_reader::Handle(const http_reply& reply) {
  if (!reply.IsSuccess()) {
    HandleFailure(reply.ErrorText());
    return;
  }
  try {
    HandleRead(ParseRead(reply.body));
  } catch (const codec_error& error) {
    HandleFailure(error.what());
  }
}

void stream_reader::HandleFailure(std::string detail) {
  read_without_wait_ = true;
  next_read_delay_ = backoff_.Next();
  Post(core::log_unavailable{stream_, std::move(detail)});
}

void stream_reader::HandleRead(core::log_read read) {
  read.stream = stream_;
  if (read.end < after_) {
    read.entries.clear();
    read_without_wait_ = true;
    next_read_delay_ = backoff_.Next();
    Post(std::move(read));
    return;
  }
  // Records that expired before they were read are skipped; `begin` indicates
  // the gap.
  const core::log_offset first = std::max(after_ + 1, read.begin);
  if (!IsInOrder(read.entries, first)) {
    HandleFailure("record offsets are not consecutive");
    return;
  }
  backoff_.Reset();
  read_without_wait_ = false;
  after_ = first - 1 + read.entries.size();
  Post(std::move(read));
}

}  // namespace plantainhead::platform
