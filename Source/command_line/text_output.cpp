#include "command_line/text_output.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <regex>
#include <sstream>

namespace crocusdoor::command_line {

std::string time_text(std::int64_t milliseconds_since_epoch) {
  const auto seconds = static_cast<std::time_t>(milliseconds_since_epoch / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(milliseconds_since_epoch % 1000));
  return std::string(text.data(), length) + fraction.data();
}

std::string value_text(const std::string& key, const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number_integer() && key.ends_with("_at_ms")) {
    return time_text(value.get<std::int64_t>());
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void print_members(std::ostream& out, const json& object, const std::string& indent,
                   const std::vector<std::string>& excluded_keys) {
  if (!object.is_object()) {
    out << indent << value_text("", object) << "\n";
    return;
  }
  for (const auto& item : object.items()) {
    if (std::find(excluded_keys.begin(), excluded_keys.end(), item.key()) == excluded_keys.end()) {
      out << indent << item.key() << ": " << value_text(item.key(), item.value()) << "\n";
    }
  }
}

std::string error_text(const json& body, int status) {
  std::ostringstream text;
  const std::string message = text_of(body, "message");
  text << (message.empty() ? "status " + std::to_string(status) : message) << "\n";
  for (const json& problem : entries_of(body, "problems")) {
    text << "  ";
    if (number_of(problem, "line") > 0) {
      text << "line " << number_of(problem, "line") << ", column " << number_of(problem, "column")
           << ", ";
    }
    const std::string path = text_of(problem, "path");
    text << (path.empty() ? "" : path + ": ") << text_of(problem, "message") << "\n";
  }
  return text.str();
}

json problems_of(const std::string& lines) {
  static const std::regex located_problem("line ([0-9]+), column ([0-9]+), ([^:]*): (.*)");
  json problems = json::array();
  std::istringstream stream(lines);
  std::string line;
  while (std::getline(stream, line)) {
    std::smatch parts;
    if (std::regex_match(line, parts, located_problem)) {
      problems.push_back({{"line", std::stoul(parts[1])},
                          {"column", std::stoul(parts[2])},
                          {"path", parts[3].str()},
                          {"message", parts[4].str()}});
    } else {
      problems.push_back({{"message", line}});
    }
  }
  return problems;
}

json entries_of(const json& body, const std::string& key) {
  if (body.is_array()) {
    return body;
  }
  if (body.is_object() && body.contains(key) && body.at(key).is_array()) {
    return body.at(key);
  }
  return json::array();
}

std::string text_of(const json& object, const std::string& key) {
  const bool present = object.is_object() && object.contains(key) && object.at(key).is_string();
  return present ? object.at(key).get<std::string>() : std::string();
}

std::uint64_t number_of(const json& object, const std::string& key) {
  const bool present =
      object.is_object() && object.contains(key) && object.at(key).is_number_unsigned();
  return present ? object.at(key).get<std::uint64_t>() : 0;
}

bool flag_of(const json& object, const std::string& key) {
  return object.is_object() && object.contains(key) && object.at(key) == json(true);
}

}  // namespace crocusdoor::command_line
