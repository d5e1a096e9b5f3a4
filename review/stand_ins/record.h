#ifndef PLANTAINHEAD_REVIEW_STAND_INS_RECORD_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <string>

namespace plantainhead::review {

/// Writes what was sent, answered and run, one line per event, each with the
/// milliseconds since the start. Not thread-safe.
class record {
 public:
  explicit record(const std::string& file)
      : out_(file), began_(std::chrono::steady_clock::now()) {}

  std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - began_)
        .count();
  }
  void Line(const std::string& text) {
    out_ << Now() << " " << text << std::endl;
  }

 private:
  std::ofstream out_;
  std::chrono::steady_clock::time_point began_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_RECORD_H_
