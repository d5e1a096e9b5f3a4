#ifndef PLANTAINHEAD_CORE_FINDINGS_H_
#define PLANTAINHEAD_CORE_FINDINGS_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace plantainhead::core {

/// Source location of a finding: a file with 1-based line and column, or 0
/// where the location has none.
struct source_location {
  std::string file;
  int line = 0;
  int column = 0;

  friend bool operator==(const source_location&,
                         const source_location&) = default;
};

/// One validation error in an input, with advice on how to correct it.
struct finding {
  source_location place;
  std::string message;

  friend bool operator==(const finding&, const finding&) = default;
};

/// Returns the finding formatted as "file:line:column: message". Thread safety:
/// safe from any thread.
std::string ToString(const finding& item);

/// Thrown by builders and parsers after the whole input has been read, with all
/// findings. `what()` has one line for each finding.
class findings_error : public std::runtime_error {
 public:
  /// Precondition: `findings` is not empty.
  explicit findings_error(std::vector<finding> findings);

  /// Thread safety: safe from any thread.
  const std::vector<finding>& findings() const { return findings_; }

 private:
  std::vector<finding> findings_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FINDINGS_H_
