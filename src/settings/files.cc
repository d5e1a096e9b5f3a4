#include "plantainhead/settings/files.h"

#include <fstream>
#include <sstream>

#include "plantainhead/core/findings.h"

namespace plantainhead::settings {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  // An empty file sets the fail bit of `text`, so only the source is asked. A
  // directory opens but can't be read.
  if (!file.is_open() || file.bad()) {
    throw core::findings_error({{{path, 0, 0}, "the file can't be read"}});
  }
  return text.str();
}

}  // namespace plantainhead::settings
