#include "plantainhead/settings/files.h"

#include <fstream>
#include <sstream>

#include "plantainhead/core/findings.h"

namespace plantainhead::settings {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  // Inserting an empty file sets the fail bit of `text`, so only the state of
  // the source is checked. A directory can be opened but not read.
  if (!file.is_open() || file.bad()) {
    throw core::findings_error({{{path, 0, 0}, "the file cannot be read"}});
  }
  return text.str();
}

}  // namespace plantainhead::settings
