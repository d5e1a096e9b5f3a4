#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_RECORD_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <iomanip>
#include <string>

namespace plantainhead::review {

/// Writes what was sent, answered and run, with the time since the start. Not
/// thread-safe.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}

  void Line(const std::string& text) {
    const std::chrono::duration<double> since =
        std::chrono::steady_clock::now() - began_;
    out_ << std::fixed << std::setprecision(3) << std::setw(8) << since.count()
         << " s  " << text << std::endl;
  }

 private:
  std::chrono::steady_clock::time_point began_ =
      std::chrono::steady_clock::now();
  std::ofstream out_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_RECORD_H_
