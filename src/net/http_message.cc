#include "net/http_message.h"

#include <boost/beast/core/string.hpp>

namespace plantainhead::net {

const std::string& FindHeader(const header_list& headers,
                              const std::string& name) {
  static const std::string kNone;
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(key, name)) {
      return value;
    }
  }
  return kNone;
}

}  // namespace plantainhead::net
