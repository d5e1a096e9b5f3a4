#ifndef PLANTAINHEAD_SRC_OPERATORS_TABLE_H_
#define PLANTAINHEAD_SRC_OPERATORS_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace plantainhead::operators {

/// Writes rows of text in columns that line up, the first row as a heading.
/// Thread safety: safe from any thread; the stream isn't locked.
/// Precondition: all rows have as many cells as the first.
void WriteTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream* out);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_TABLE_H_
