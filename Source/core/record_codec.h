#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/enum_names.h"
#include "core/strong_string.h"
#include "core/utf8.h"

namespace crocusdoor {

using json = nlohmann::json;

/// Bytes that are encoded as a CBOR byte string instead of a text string.
struct byte_string {
  std::string bytes;
  friend bool operator==(const byte_string&, const byte_string&) = default;
};

/// One error found while a document is decoded.
struct decode_problem {
  std::string path;     ///< Location in the document as a JSON pointer, for example "/listen/port".
  std::string message;  ///< What was found and what is accepted.
  friend bool operator==(const decode_problem&, const decode_problem&) = default;
};

/// JSON pointer (RFC 6901) of a member or element of the value at `parent`.
[[nodiscard]] inline std::string child_pointer(std::string parent, std::string_view key) {
  parent += '/';
  for (const char character : key) {
    if (character == '~') {
      parent += "~0";
    } else if (character == '/') {
      parent += "~1";
    } else {
      parent += character;
    }
  }
  return parent;
}

/// Whether a key must be present in a document.
enum class presence { required, optional };

/// Accepted range of a number, both bounds included, in the unit stated by the key.
struct number_range {
  std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
  friend bool operator==(const number_range&, const number_range&) = default;
};

/// Maps one key of a document to one data member of a record.
template <typename Record, typename Member>
struct record_field {
  std::string_view key;
  Member Record::*member;
  presence needed = presence::required;
  number_range range = {};
};

template <typename Record, typename Member>
constexpr record_field<Record, Member> required_field(std::string_view key, Member Record::*member,
                                                      number_range range = {}) {
  return {key, member, presence::required, range};
}

template <typename Record, typename Member>
constexpr record_field<Record, Member> optional_field(std::string_view key, Member Record::*member,
                                                      number_range range = {}) {
  return {key, member, presence::optional, range};
}

/// Specialised for each record type: `static constexpr auto table = std::make_tuple(...)` of
/// fields.
template <typename Record>
struct record_fields;

/// Specialised for each type that a document may also contain as a string: `parse` returns the
/// value or `std::nullopt`, `expected` describes the accepted strings.
template <typename T>
struct text_format;

/// Whether keys that are not in the field table are errors (documents written by people) or are
/// ignored (messages of a newer peer).
enum class unknown_keys { refused, ignored };

namespace detail {

template <typename T>
concept described_record = requires {
  record_fields<T>::table;
};

template <typename T>
concept described_text = requires(std::string_view text) {
  text_format<T>::parse(text);
};

template <typename T>
concept described_enum = std::is_enum_v<T> && requires {
  enum_names<T>::names;
};

template <typename T>
struct is_strong_string : std::false_type {};
template <typename Tag>
struct is_strong_string<strong_string<Tag>> : std::true_type {};

template <typename T>
struct is_duration : std::false_type {};
template <typename Rep, typename Period>
struct is_duration<std::chrono::duration<Rep, Period>> : std::true_type {};

template <typename T>
struct is_vector : std::false_type {};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {};

template <typename T>
struct is_optional : std::false_type {};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {};

template <typename T>
struct is_string_map : std::false_type {};
template <typename Key, typename T>
struct is_string_map<std::map<Key, T>> : std::true_type {};

template <typename Key>
std::string map_key_text(const Key& key) {
  if constexpr (std::is_same_v<Key, std::string>) {
    return key;
  } else {
    return key.str();
  }
}

}  // namespace detail

/// Encodes a value as a JSON document, from which CBOR can be written as well.
template <typename T>
[[nodiscard]] json encode_value(const T& value) {
  if constexpr (detail::described_record<T>) {
    json result = json::object();
    std::apply(
        [&](const auto&... field) {
          [[maybe_unused]] const auto encode_field = [&](const auto& descriptor) {
            const auto& member = value.*(descriptor.member);
            using member_type = std::decay_t<decltype(member)>;
            if constexpr (detail::is_optional<member_type>::value) {
              if (member.has_value()) {
                result[std::string(descriptor.key)] = encode_value(*member);
              }
            } else {
              result[std::string(descriptor.key)] = encode_value(member);
            }
          };
          (encode_field(field), ...);
        },
        record_fields<T>::table);
    return result;
  } else if constexpr (detail::described_enum<T>) {
    return std::string(to_string(value));
  } else if constexpr (detail::is_strong_string<T>::value) {
    return value.str();
  } else if constexpr (std::is_same_v<T, byte_string>) {
    return json::binary(std::vector<std::uint8_t>(value.bytes.begin(), value.bytes.end()));
  } else if constexpr (detail::is_duration<T>::value) {
    return value.count();
  } else if constexpr (detail::is_vector<T>::value) {
    json result = json::array();
    for (const auto& element : value) {
      result.push_back(encode_value(element));
    }
    return result;
  } else if constexpr (detail::is_string_map<T>::value) {
    json result = json::object();
    for (const auto& [key, element] : value) {
      result[detail::map_key_text(key)] = encode_value(element);
    }
    return result;
  } else {
    return value;
  }
}

/// Decodes a document into values and collects every error instead of stopping at the first.
class record_decoder {
 public:
  explicit record_decoder(unknown_keys policy) : policy_(policy) {}

  [[nodiscard]] const std::vector<decode_problem>& problems() const noexcept { return problems_; }
  [[nodiscard]] bool ok() const noexcept { return problems_.empty(); }

  /// Records a problem. Strings of the document may be invalid UTF-8, so the path and the message
  /// are converted to valid UTF-8.
  void report(const std::string& path, const std::string& message) {
    problems_.push_back({to_utf8(path), to_utf8(message)});
  }

  template <typename T>
  void decode(const json& document, T& value, const std::string& path = "",
              const number_range& range = {}) {
    if constexpr (detail::described_text<T>) {
      if (document.is_string()) {
        decode_text(document, value, path);
        return;
      }
    }
    if constexpr (std::is_same_v<T, json>) {
      value = document;
    } else if constexpr (detail::described_record<T>) {
      decode_record(document, value, path);
    } else if constexpr (detail::described_enum<T>) {
      decode_enum(document, value, path);
    } else if constexpr (detail::is_strong_string<T>::value) {
      std::string text;
      decode(document, text, path);
      value = T(std::move(text));
    } else if constexpr (std::is_same_v<T, byte_string>) {
      decode_bytes(document, value, path);
    } else if constexpr (detail::is_duration<T>::value) {
      typename T::rep count = value.count();
      decode(document, count, path, range);
      value = T(count);
    } else if constexpr (detail::is_vector<T>::value) {
      decode_vector(document, value, path, range);
    } else if constexpr (detail::is_optional<T>::value) {
      value.emplace();
      decode(document, *value, path, range);
    } else if constexpr (detail::is_string_map<T>::value) {
      decode_map(document, value, path, range);
    } else if constexpr (std::is_same_v<T, bool>) {
      if (expect(document.is_boolean(), path, "true or false", document)) {
        value = document.get<bool>();
      }
    } else if constexpr (std::is_integral_v<T>) {
      decode_integer(document, value, path, range);
    } else if constexpr (std::is_floating_point_v<T>) {
      if (expect(document.is_number(), path, "a number", document)) {
        value = document.get<T>();
      }
    } else {
      static_assert(std::is_same_v<T, std::string>, "type without a decoding rule");
      if (expect(document.is_string(), path, "a string", document)) {
        value = document.get<std::string>();
      }
    }
  }

 private:
  bool expect(bool condition, const std::string& path, std::string_view accepted,
              const json& found) {
    if (!condition) {
      report(path, "expected " + std::string(accepted) + ", found " + found.type_name());
    }
    return condition;
  }

  template <typename T>
  void decode_record(const json& document, T& value, const std::string& path) {
    if (!expect(document.is_object(), path, "an object", document)) {
      return;
    }
    std::apply([&](const auto&... field) { (decode_field(document, value, path, field), ...); },
               record_fields<T>::table);
    if (policy_ == unknown_keys::refused) {
      report_unknown_keys<T>(document, path);
    }
  }

  template <typename T, typename Field>
  void decode_field(const json& document, T& value, const std::string& path, const Field& field) {
    const std::string key(field.key);
    const auto found = document.find(key);
    if (found != document.end()) {
      decode(*found, value.*(field.member), path + "/" + key, field.range);
    } else if (field.needed == presence::required) {
      report(path, "missing key \"" + key + "\"");
    }
  }

  template <typename T>
  void report_unknown_keys(const json& document, const std::string& path) {
    for (const auto& item : document.items()) {
      std::string accepted;
      bool known = false;
      std::apply(
          [&](const auto&... field) {
            ((known = known || field.key == item.key()), ...);
            ((accepted += (accepted.empty() ? "" : ", ") + std::string(field.key)), ...);
          },
          record_fields<T>::table);
      if (!known) {
        report(child_pointer(path, item.key()), "unknown key; accepted keys: " + accepted);
      }
    }
  }

  template <typename T>
  void decode_text(const json& document, T& value, const std::string& path) {
    const auto parsed = text_format<T>::parse(document.get_ref<const std::string&>());
    if (parsed.has_value()) {
      value = *parsed;
    } else {
      report(path, "found \"" + document.get<std::string>() + "\"; expected " +
                       std::string(text_format<T>::expected));
    }
  }

  template <typename T>
  void decode_enum(const json& document, T& value, const std::string& path) {
    if (!expect(document.is_string(), path, "one of " + accepted_names<T>(), document)) {
      return;
    }
    const auto found = enum_from_string<T>(document.get_ref<const std::string&>());
    if (found.has_value()) {
      value = *found;
    } else {
      report(path, "unknown value \"" + document.get<std::string>() +
                       "\"; accepted: " + accepted_names<T>());
    }
  }

  void decode_bytes(const json& document, byte_string& value, const std::string& path) {
    if (expect(document.is_binary(), path, "a byte string", document)) {
      const json::binary_t& bytes = document.get_binary();
      value.bytes.assign(bytes.begin(), bytes.end());
    }
  }

  template <typename T>
  void decode_vector(const json& document, std::vector<T>& value, const std::string& path,
                     const number_range& range) {
    if (!expect(document.is_array(), path, "an array", document)) {
      return;
    }
    value.clear();
    value.reserve(document.size());
    for (std::size_t i = 0; i < document.size(); ++i) {
      T element{};
      decode(document[i], element, path + "/" + std::to_string(i), range);
      value.push_back(std::move(element));
    }
  }

  template <typename Key, typename T>
  void decode_map(const json& document, std::map<Key, T>& value, const std::string& path,
                  const number_range& range) {
    if (!expect(document.is_object(), path, "an object", document)) {
      return;
    }
    value.clear();
    for (const auto& item : document.items()) {
      T element{};
      decode(item.value(), element, child_pointer(path, item.key()), range);
      value.emplace(Key(item.key()), std::move(element));
    }
  }

  template <typename T>
  void decode_integer(const json& document, T& value, const std::string& path,
                      const number_range& range) {
    if (!expect(document.is_number_integer(), path, "an integer", document)) {
      return;
    }
    const bool too_large_for_signed =
        document.is_number_unsigned() &&
        document.get<std::uint64_t>() >
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (too_large_for_signed) {
      if constexpr (std::is_same_v<T, std::uint64_t>) {
        if (range == number_range{}) {
          value = document.get<std::uint64_t>();
          return;
        }
      }
      report(path, "integer too large");
      return;
    }
    const auto number = document.get<std::int64_t>();
    const std::int64_t minimum = std::max(range.minimum, minimum_of<T>());
    const std::int64_t maximum = std::min(range.maximum, maximum_of<T>());
    if (number < minimum || number > maximum) {
      report(path, "value " + std::to_string(number) + " is outside " + std::to_string(minimum) +
                       " to " + std::to_string(maximum));
      return;
    }
    value = static_cast<T>(number);
  }

  template <typename T>
  static constexpr std::int64_t minimum_of() {
    return std::is_signed_v<T> ? static_cast<std::int64_t>(std::numeric_limits<T>::min()) : 0;
  }

  template <typename T>
  static constexpr std::int64_t maximum_of() {
    if constexpr (sizeof(T) < sizeof(std::int64_t)) {
      return static_cast<std::int64_t>(std::numeric_limits<T>::max());
    } else {
      return std::numeric_limits<std::int64_t>::max();
    }
  }

  unknown_keys policy_;
  std::vector<decode_problem> problems_;
};

}  // namespace crocusdoor
