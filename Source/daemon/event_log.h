#pragma once

#include <glog/logging.h>

#include <ostream>
#include <string>
#include <string_view>

namespace crocusdoor {

/// A key and a value in a log line, written as `key=value`. The value is written as a JSON string
/// if it is empty or contains white space, quotes, equals signs or backslashes.
struct log_field {
  std::string_view key;
  std::string value;
};

template <typename T>
[[nodiscard]] log_field field(std::string_view key, const T& value) {
  if constexpr (std::is_arithmetic_v<T>) {
    return {key, std::to_string(value)};
  } else if constexpr (requires { value.str(); }) {
    return {key, value.str()};
  } else {
    return {key, std::string(value)};
  }
}

std::ostream& operator<<(std::ostream& out, const log_field& entry);

}  // namespace crocusdoor

/// Writes one event on one line: `LOG_EVENT(INFO, "configuration_adopted") << field("version", 3);`
#define LOG_EVENT(severity, name) LOG(severity) << "event=" << (name)
