#include "log_model.h"

#include <algorithm>
#include <utility>

namespace plantainhead::fakes {

std::optional<core::log_offset> log_model::Append(
    const core::stream_name& stream,
    std::vector<std::string> records,
    core::time_point now) {
  if (!TakeToken(now)) {
    return std::nullopt;
  }
  stream_data& data = streams_[stream];
  const core::log_offset first = data.next;
  for (std::string& text : records) {
    data.records.push_back({data.next++, now, std::move(text)});
  }
  DropOld(&data, now);
  return first;
}

read_result log_model::Read(const core::stream_name& stream,
                            core::log_offset after,
                            std::size_t max,
                            core::time_point now) {
  stream_data& data = streams_[stream];
  DropOld(&data, now);
  read_result result;
  result.end = data.next - 1;
  result.begin = data.next - data.records.size();
  if (after >= result.end) {
    return result;
  }
  const core::log_offset first = std::max(after + 1, result.begin);
  std::size_t bytes = 0;
  for (std::size_t i = first - result.begin; i < data.records.size(); ++i) {
    bytes += data.records[i].data.size();
    const bool is_full = result.records.size() >= max || bytes > kReadBytes;
    if (is_full && !result.records.empty()) {
      break;
    }
    result.records.push_back(data.records[i]);
  }
  return result;
}

void log_model::Truncate(const core::stream_name& stream,
                         core::log_offset end) {
  stream_data& data = streams_[stream];
  while (!data.records.empty() && data.records.back().offset > end) {
    data.records.pop_back();
  }
  data.next = std::min(data.next, end + 1);
}

bool log_model::TakeToken(core::time_point now) {
  if (limits_.appends_per_second == 0) {
    return true;
  }
  // A tenth of a second's appends may come at once.
  const double rate = limits_.appends_per_second;
  const double most = std::max(1.0, rate / 10);
  const std::chrono::duration<double> passed = now - tokens_at_;
  tokens_ = std::min(most, tokens_ + passed.count() * rate);
  tokens_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void log_model::DropOld(stream_data* stream, core::time_point now) const {
  std::deque<stored_record>& records = stream->records;
  while (records.size() > limits_.retention_records) {
    records.pop_front();
  }
  while (!records.empty() &&
         records.front().appended + limits_.retention_time <= now) {
    records.pop_front();
  }
}

}  // namespace plantainhead::fakes
