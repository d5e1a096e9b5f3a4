#ifndef PLANTAINHEAD_SRC_PLATFORM_JSON_ARCHIVE_H_
#define PLANTAINHEAD_SRC_PLATFORM_JSON_ARCHIVE_H_

#include <charconv>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "plantainhead/platform/record_codec.h"

/// Serializes structs to JSON and deserializes them. The fields of a struct are
/// listed once, in a function `Fields(archive, value)`, which serves both
/// directions.
namespace plantainhead::platform {

using json = nlohmann::json;

/// Returns `text`, or an escaped form of it if it is not valid UTF-8.
std::string EscapeText(const std::string& text);
/// Reverses `EscapeText`. Throws `codec_error` at `place` if the escaped form
/// is malformed.
std::string UnescapeText(const std::string& text, const std::string& place);

/// Returns `value` as 16 hexadecimal digits.
std::string ToHex(std::uint64_t value);
/// Returns the value of `text`. Throws `codec_error` at `place` unless `text`
/// is 1 to 16 hexadecimal digits.
std::uint64_t FromHex(const std::string& text, const std::string& place);

/// Parses `text`. Throws `codec_error` unless it is a JSON object.
json ParseObject(std::string_view text);
/// Returns `value` serialized on one line.
std::string Dump(const json& value);

/// A 64-bit number that is encoded as hexadecimal text, because many JSON
/// readers store numbers as doubles, which are exact only up to 53 bits.
template <typename Number>
struct hex_field {
  Number& number;
};
template <typename Number>
hex_field(Number&) -> hex_field<Number>;

/// An enumeration whose values are encoded by name.
template <typename E>
concept named_enum = std::is_enum_v<E> && requires {
  NamesOf(E{});
};

/// True for the instances of `core::basic_id`.
template <typename T>
struct is_basic_id : std::false_type {};
template <typename Tag>
struct is_basic_id<core::basic_id<Tag>> : std::true_type {};

/// Writes the fields of a struct into a JSON object.
class json_writer {
 public:
  template <typename T>
  using ref = const T&;

  template <typename T>
  void operator()(const char* name, const T& field) {
    object_[name] = Write(field);
  }

  template <typename Number>
  void operator()(const char* name, hex_field<Number> field) {
    object_[name] = ToHex(static_cast<std::uint64_t>(field.number));
  }

  json Take() { return std::move(object_); }

  template <typename T>
  static json Write(const T& value) {
    if constexpr (std::is_same_v<T, bool> || std::integral<T>) {
      return value;
    } else if constexpr (std::floating_point<T>) {
      return WriteDouble(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
      return EscapeText(value);
    } else if constexpr (is_basic_id<T>::value ||
                         std::is_same_v<T, core::incarnation>) {
      return WriteKey(value);
    } else if constexpr (named_enum<T>) {
      return std::string(core::NameOf(value));
    } else if constexpr (std::is_same_v<T, core::duration>) {
      return value.count();
    } else if constexpr (std::is_same_v<T, core::time_point>) {
      return value.time_since_epoch().count();
    } else {
      json_writer fields;
      Fields(fields, value);
      return fields.Take();
    }
  }

  template <typename T>
  static json Write(const std::vector<T>& items) {
    return WriteItems(items);
  }

  template <typename T>
  static json Write(const std::set<T>& items) {
    return WriteItems(items);
  }

  template <typename Key, typename T>
  static json Write(const std::map<Key, T>& items) {
    json object = json::object();
    for (const auto& [key, item] : items) {
      object[WriteKey(key)] = Write(item);
    }
    return object;
  }

 private:
  static json WriteDouble(double value) {
    if (!std::isfinite(value)) {
      throw codec_error("", "number is not finite");
    }
    return value;
  }

  template <typename Items>
  static json WriteItems(const Items& items) {
    json list = json::array();
    for (const auto& item : items) {
      list.push_back(Write(item));
    }
    return list;
  }

  template <typename Key>
  static std::string WriteKey(const Key& key) {
    if constexpr (std::is_same_v<Key, core::incarnation>) {
      return ToHex(static_cast<std::uint64_t>(key));
    } else if constexpr (std::integral<Key>) {
      return std::to_string(key);
    } else {
      return EscapeText(key.value());
    }
  }

  json object_ = json::object();
};

/// Reads the fields of a struct from a JSON object. A missing field keeps its
/// value.
class json_reader {
 public:
  template <typename T>
  using ref = T&;

  /// Throws `codec_error` unless `object` is a JSON object.
  json_reader(const json& object, std::string place);

  template <typename T>
  void operator()(const char* name, T& field) {
    if (const json* found = Find(name)) {
      Read(*found, field, place_ + "/" + name);
    }
  }

  template <typename Number>
  void operator()(const char* name, hex_field<Number> field) {
    if (const json* found = Find(name)) {
      const std::string place = place_ + "/" + name;
      field.number = static_cast<Number>(FromHex(Text(*found, place), place));
    }
  }

  /// Returns the field `name`, or null if it is missing.
  const json* Find(const char* name) const;
  /// Returns the field `name`. Throws `codec_error` if it is missing.
  const json& Require(const char* name) const;

  const std::string& place() const { return place_; }

  /// Returns the string in `from` without unescaping it.
  /// Errors: `codec_error` unless `from` is a string.
  static const std::string& Text(const json& from, const std::string& place);

  template <typename T>
  static void Read(const json& from, T& to, const std::string& place) {
    if constexpr (std::is_same_v<T, bool>) {
      Expect(from.is_boolean(), place, "true or false");
      to = from.get<bool>();
    } else if constexpr (std::unsigned_integral<T>) {
      Expect(from.is_number_unsigned() &&
                 from.get<std::uint64_t>() <= std::numeric_limits<T>::max(),
             place, "an unsigned integer within the range of the field");
      to = from.get<T>();
    } else if constexpr (std::signed_integral<T>) {
      to = static_cast<T>(Signed(from, place));
    } else if constexpr (std::floating_point<T>) {
      Expect(from.is_number(), place, "a number");
      to = from.get<T>();
    } else if constexpr (std::is_same_v<T, std::string>) {
      to = UnescapeText(Text(from, place), place);
    } else if constexpr (is_basic_id<T>::value ||
                         std::is_same_v<T, core::incarnation>) {
      to = ReadKey<T>(Text(from, place), place);
    } else if constexpr (named_enum<T>) {
      const auto value = core::FromName<T>(Text(from, place));
      Expect(value.has_value(), place, "a known name");
      to = *value;
    } else if constexpr (std::is_same_v<T, core::duration>) {
      to = core::duration(Signed(from, place));
    } else if constexpr (std::is_same_v<T, core::time_point>) {
      to = core::time_point(core::duration(Signed(from, place)));
    } else {
      json_reader fields(from, place);
      Fields(fields, to);
    }
  }

  template <typename T>
  static void Read(const json& from,
                   std::vector<T>& to,
                   const std::string& place) {
    Expect(from.is_array(), place, "a list");
    to.clear();
    for (std::size_t i = 0; i < from.size(); ++i) {
      std::string at = place;
      at.append("/").append(std::to_string(i));
      Read(from[i], to.emplace_back(), at);
    }
  }

  template <typename T>
  static void Read(const json& from,
                   std::set<T>& to,
                   const std::string& place) {
    std::vector<T> items;
    Read(from, items, place);
    to = std::set<T>(items.begin(), items.end());
  }

  template <typename Key, typename T>
  static void Read(const json& from,
                   std::map<Key, T>& to,
                   const std::string& place) {
    Expect(from.is_object(), place, "an object");
    to.clear();
    for (const auto& [key, item] : from.items()) {
      std::string at = place;
      at.append("/").append(key);
      Read(item, to[ReadKey<Key>(key, at)], at);
    }
  }

 private:
  static void Expect(bool holds, const std::string& place, const char* wanted) {
    if (!holds) {
      throw codec_error(place, std::string("expected ") + wanted);
    }
  }

  static std::int64_t Signed(const json& from, const std::string& place);

  template <typename Key>
  static Key ReadKey(const std::string& text, const std::string& place) {
    if constexpr (std::is_same_v<Key, core::incarnation>) {
      return core::incarnation{FromHex(text, place)};
    } else if constexpr (std::integral<Key>) {
      Key number{};
      const char* end = text.data() + text.size();
      const auto result = std::from_chars(text.data(), end, number);
      Expect(result.ec == std::errc() && result.ptr == end, place,
             "an integer as key");
      return number;
    } else {
      return Key(UnescapeText(text, place));
    }
  }

  const json& object_;
  std::string place_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_JSON_ARCHIVE_H_
