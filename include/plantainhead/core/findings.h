#ifndef PLANTAINHEAD_CORE_FINDINGS_H_
#define PLANTAINHEAD_CORE_FINDINGS_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace plantainhead::core {

/// Where something was found: a file with line and column from 1, or 0 where
/// the place has none.
struct source_location {
  std::string file;
  int line = 0;
  int column = 0;

  friend bool operator==(const source_location&,
                         const source_location&) = default;
};

/// One thing that is wrong with an input, and what to do about it.
struct finding {
  source_location place;
  std::string message;

  friend bool operator==(const finding&, const finding&) = default;
};

/// Returns "file:line:column: message".
/// Thread safety: safe from any thread.
std::string ToString(const finding& item);

/// Thrown by builders and parsers once the whole input has been read, with all
/// that was found in it. `what()` has a line for each finding.
class findings_error : public std::runtime_error {
 public:
  /// Precondition: `findings` isn't empty.
  explicit findings_error(std::vector<finding> findings);

  /// Thread safety: safe from any thread.
  const std::vector<finding>& findings() const { return findings_; }

 private:
  std::vector<finding> findings_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FINDINGS_H_
