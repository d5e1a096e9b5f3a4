#ifndef PLANTAINHEAD_CALLER_ROUTE_TABLE_H_
#define PLANTAINHEAD_CALLER_ROUTE_TABLE_H_

#include <regex>
#include <vector>

#include "caller/answer_writer.h"
#include "plantainhead/caller/route.h"

namespace plantainhead::caller {

/// Finds the handler of a request that isn't a caller's.
class route_table {
 public:
  /// Throws `std::regex_error` when a pattern is malformed.
  explicit route_table(const route_list& routes);

  /// Returns the answer of the first route that matches, else 404, or 405 when
  /// only the method is wrong. An exception of the handler becomes a 500.
  /// Thread safety: safe from any thread.
  written_answer Answer(const http_request& request) const;

 private:
  struct compiled_route {
    route what;
    std::regex pattern;
  };

  std::vector<compiled_route> routes_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_ROUTE_TABLE_H_
