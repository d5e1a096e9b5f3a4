#include "platform/json_archive.h"

#include <cctype>

namespace plantainhead::platform {
namespace {

// First byte of an escaped text. The hexadecimal digits of all its bytes
// follow.
constexpr char kEscapeMark = '\0';
constexpr int kHexBase = 16;

bool IsContinuation(const std::string& text, std::size_t at) {
  return at < text.size() &&
         (static_cast<unsigned char>(text[at]) & 0xC0U) == 0x80U;
}

// Returns the length in bytes of the well-formed UTF-8 character at `at`, or 0
// if there is none.
std::size_t CharacterLength(const std::string& text, std::size_t at) {
  const auto byte = [&](std::size_t i) {
    return static_cast<unsigned char>(text[i]);
  };
  const unsigned char lead = byte(at);
  if (lead < 0x80) {
    return 1;
  }
  if (lead < 0xC2 || lead > 0xF4) {
    return 0;
  }
  const std::size_t length = lead < 0xE0 ? 2 : lead < 0xF0 ? 3 : 4;
  for (std::size_t i = 1; i < length; ++i) {
    if (!IsContinuation(text, at + i)) {
      return 0;
    }
  }
  const unsigned char second = byte(at + 1);
  const bool is_overlong =
      (lead == 0xE0 && second < 0xA0) || (lead == 0xF0 && second < 0x90);
  const bool is_surrogate = lead == 0xED && second > 0x9F;
  const bool is_out_of_range = lead == 0xF4 && second > 0x8F;
  return is_overlong || is_surrogate || is_out_of_range ? 0 : length;
}

bool IsUtf8(const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t length = CharacterLength(text, at);
    if (length == 0) {
      return false;
    }
    at += length;
  }
  return true;
}

void AppendHexByte(unsigned char byte, std::string* to) {
  constexpr char kDigits[] = "0123456789abcdef";
  to->push_back(kDigits[byte / kHexBase]);
  to->push_back(kDigits[byte % kHexBase]);
}

}  // namespace

// An idempotency key is taken from a request header and may contain any bytes,
// but JSON strings must be UTF-8. Without escaping, one such key would make a
// whole batch of claims impossible to append, and replacing invalid bytes could
// make two keys equal. Escaping keeps all keys distinct. A text that begins
// with the escape mark is escaped too, so that no two texts have the same
// encoding.
std::string EscapeText(const std::string& text) {
  const bool has_mark = !text.empty() && text.front() == kEscapeMark;
  if (!has_mark && IsUtf8(text)) {
    return text;
  }
  std::string escaped(1, kEscapeMark);
  for (const char c : text) {
    AppendHexByte(static_cast<unsigned char>(c), &escaped);
  }
  return escaped;
}

std::string UnescapeText(const std::string& text, const std::string& place) {
  if (text.empty() || text.front() != kEscapeMark) {
    return text;
  }
  if (text.size() % 2 == 0) {
    throw codec_error(place, "expected an even number of hexadecimal digits");
  }
  std::string plain;
  for (std::size_t i = 1; i < text.size(); i += 2) {
    plain.push_back(static_cast<char>(FromHex(text.substr(i, 2), place)));
  }
  return plain;
}

std::string ToHex(std::uint64_t value) {
  constexpr int kBytes = 8;
  std::string text;
  for (int i = kBytes - 1; i >= 0; --i) {
    AppendHexByte(static_cast<unsigned char>(value >> (i * kBytes)), &text);
  }
  return text;
}

std::uint64_t FromHex(const std::string& text, const std::string& place) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) {
    throw codec_error(place, "expected hexadecimal digits");
  }
  return value;
}

json ParseObject(std::string_view text) {
  json parsed;
  try {
    parsed = json::parse(text);
  } catch (const json::exception& error) {
    throw codec_error("", std::string("not JSON: ") + error.what());
  }
  if (!parsed.is_object()) {
    throw codec_error("", "expected an object");
  }
  return parsed;
}

std::string Dump(const json& value) {
  return value.dump();
}

json_reader::json_reader(const json& object, std::string place)
    : object_(object), place_(std::move(place)) {
  Expect(object.is_object(), place_, "an object");
}

const json* json_reader::Find(const char* name) const {
  const auto found = object_.find(name);
  return found == object_.end() ? nullptr : &*found;
}

const json& json_reader::Require(const char* name) const {
  const json* found = Find(name);
  if (found == nullptr) {
    throw codec_error(place_ + "/" + name, "missing");
  }
  return *found;
}

std::int64_t json_reader::Signed(const json& from, const std::string& place) {
  const bool is_too_great =
      from.is_number_unsigned() &&
      from.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  Expect(from.is_number_integer() && !is_too_great, place,
         "a signed 64-bit integer");
  return from.get<std::int64_t>();
}

const std::string& json_reader::Text(const json& from,
                                     const std::string& place) {
  Expect(from.is_string(), place, "a string");
  return from.get_ref<const std::string&>();
}

}  // namespace plantainhead::platform
