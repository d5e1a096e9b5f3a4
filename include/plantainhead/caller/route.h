#ifndef PLANTAINHEAD_CALLER_ROUTE_H_
#define PLANTAINHEAD_CALLER_ROUTE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Plain types of the entry's HTTP side, so that handlers can be written and
/// tested without a socket.
namespace plantainhead::caller {

/// A request of an operator or a probe. Header names are in lower case.
struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct http_answer {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A handler for one method and all paths that match `pattern` whole (an
/// ECMAScript regular expression). `handle` may be called from many threads at
/// once; an exception that leaves it becomes a 500.
struct route {
  std::string method;
  std::string pattern;
  std::function<http_answer(const http_request&)> handle;
};

using route_list = std::vector<route>;

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_ROUTE_H_
