#include "caller/route_table.h"

#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace plantainhead::caller {
namespace {

written_answer Run(const route& what, const http_request& request) {
  http_answer answer;
  try {
    answer = what.handle(request);
  } catch (const std::exception& error) {
    return WriteRefusal(
        {500, "internal", error.what(), core::outcome::kUnknown});
  }
  written_answer written;
  written.status = answer.status;
  written.headers.emplace_back("Content-Type", answer.content_type);
  written.headers.insert(written.headers.end(), answer.headers.begin(),
                         answer.headers.end());
  written.body = std::make_shared<const std::string>(std::move(answer.body));
  return written;
}

bool Takes(const route& what, const std::string& method) {
  return what.method == method || (method == "HEAD" && what.method == "GET");
}

}  // namespace

route_table::route_table(const route_list& routes) {
  for (const route& item : routes) {
    routes_.push_back({item, std::regex(item.pattern)});
  }
}

written_answer route_table::Answer(const http_request& request) const {
  bool path_known = false;
  for (const compiled_route& item : routes_) {
    if (!std::regex_match(request.path, item.pattern)) {
      continue;
    }
    if (Takes(item.what, request.method)) {
      return Run(item.what, request);
    }
    path_known = true;
  }
  return path_known ? WriteRefusal({405, "bad-request", "no such method here"})
                    : WriteRefusal({404, "bad-request", "no such path"});
}

}  // namespace plantainhead::caller
