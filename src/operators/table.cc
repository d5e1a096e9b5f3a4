#include "operators/table.h"

#include <algorithm>

namespace plantainhead::operators {

void WriteTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream* out) {
  constexpr std::size_t kGap = 2;
  std::vector<std::size_t> widths(rows.empty() ? 0 : rows.front().size());
  for (const std::vector<std::string>& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    *out << line << '\n';
  }
}

}  // namespace plantainhead::operators
