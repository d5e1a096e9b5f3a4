#ifndef PLANTAINHEAD_TESTS_CORE_LOG_MODEL_LOG_H_
#define PLANTAINHEAD_TESTS_CORE_LOG_MODEL_LOG_H_

#include <algorithm>
#include <map>
#include <vector>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// In-memory log for tests: streams of records with offsets starting at 1, and
/// deletion by retention.
class model_log {
 public:
  /// Returns the offset of the first record.
  log_offset Append(const stream_name& stream,
                    const std::vector<record>& records) {
    std::vector<record>& kept = streams_[stream];
    const log_offset first = kept.size() + 1;
    kept.insert(kept.end(), records.begin(), records.end());
    return first;
  }

  /// Deletes the records before `begin`, as retention does.
  void Cut(const stream_name& stream, log_offset begin) {
    log_offset& kept = begins_.try_emplace(stream, 1).first->second;
    kept = std::max(kept, begin);
  }

  log_offset End(const stream_name& stream) const {
    const auto place = streams_.find(stream);
    return place == streams_.end() ? 0 : place->second.size();
  }

  /// Reads at most `most` records after offset `after`.
  log_read Read(const stream_name& stream,
                log_offset after,
                std::size_t most = 1000) const {
    log_read read;
    read.stream = stream;
    read.end = End(stream);
    const auto begin = begins_.find(stream);
    read.begin = begin == begins_.end() ? 1 : begin->second;
    log_offset next = after + 1 < read.begin ? read.begin : after + 1;
    for (; next <= read.end && read.entries.size() < most; ++next) {
      read.entries.push_back({next, streams_.at(stream)[next - 1]});
    }
    return read;
  }

 private:
  std::map<stream_name, std::vector<record>> streams_;
  std::map<stream_name, log_offset> begins_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_LOG_MODEL_LOG_H_
