#include "configuration/resource_rules.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <type_traits>

#include "core/utf8.h"

namespace crocusdoor::detail {

namespace {

constexpr std::size_t name_length_limit = 128;
constexpr std::size_t prefix_length_limit = 1024;
constexpr std::size_t text_length_limit = 2000;

bool is_letter_or_digit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

bool is_name_character(char character) {
  return is_letter_or_digit(character) || character == '-' || character == '_' || character == '.';
}

bool is_header_name_character(char character) {
  return is_letter_or_digit(character) ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool is_prefix_character(char character) {
  return character > ' ' && character < '\x7F' && character != '?' && character != '#';
}

/// Checks the numbers of a record against the ranges in its field table, so that the limits apply
/// to a resource that was not decoded, too.
template <typename Record>
void check_ranges(const std::string& path, const Record& record,
                  std::vector<decode_problem>& problems) {
  const auto check_field = [&](const auto& field) {
    const auto& member = record.*(field.member);
    using member_type = std::decay_t<decltype(member)>;
    std::int64_t number = 0;
    if constexpr (is_duration<member_type>::value) {
      number = member.count();
    } else if constexpr (std::is_integral_v<member_type>) {
      number = static_cast<std::int64_t>(member);
    } else {
      return;
    }
    if (number < field.range.minimum || number > field.range.maximum) {
      problems.push_back(
          {path + "/" + std::string(field.key), "value " + std::to_string(number) + " is outside " +
                                                    std::to_string(field.range.minimum) + " to " +
                                                    std::to_string(field.range.maximum)});
    }
  };
  std::apply([&](const auto&... field) { (check_field(field), ...); },
             record_fields<Record>::table);
}

void check_text(const std::string& path, const char* member, const std::string& text,
                std::vector<decode_problem>& problems) {
  if (text.size() > text_length_limit || !is_utf8(text)) {
    problems.push_back({path + member, "a text has at most " + std::to_string(text_length_limit) +
                                           " bytes of valid UTF-8"});
  }
}

void check_decision(const std::string& path, const decision_record& decision,
                    std::vector<decode_problem>& problems) {
  check_text(path, "/decision/decided_by", decision.decided_by, problems);
  check_text(path, "/decision/decided_on", decision.decided_on, problems);
  check_text(path, "/decision/reason", decision.reason, problems);
}

void check_prefix(const std::string& path, const std::string& prefix,
                  std::vector<decode_problem>& problems) {
  const bool characters_ok = std::all_of(prefix.begin(), prefix.end(), is_prefix_character);
  if (!prefix.starts_with('/') || prefix.size() > prefix_length_limit || !characters_ok) {
    problems.push_back(
        {path + "/path_prefix", "a path prefix starts with \"/\" and has at most " +
                                    std::to_string(prefix_length_limit) +
                                    " visible ASCII characters other than \"?\" and \"#\""});
  }
}

void check_key_name(const std::string& path, const run_once_action& action,
                    std::vector<decode_problem>& problems) {
  const std::string& name = action.key_name;
  const auto consists_of = [&](auto accepted) {
    return !name.empty() && std::all_of(name.begin(), name.end(), accepted);
  };
  const auto is_digit = [](char character) { return character >= '0' && character <= '9'; };
  if (action.key_in == key_location::path_segment && !(consists_of(is_digit) && name.size() <= 3)) {
    problems.push_back(
        {path + "/key_name", "a path segment is given by its number, counted from 0"});
  } else if (action.key_in == key_location::header && !consists_of(is_header_name_character)) {
    problems.push_back({path + "/key_name", "the name of an HTTP header is expected"});
  } else if (name.empty()) {
    problems.push_back({path + "/key_name", "the idempotency key needs a name"});
  } else {
    check_text(path, "/key_name", name, problems);
  }
}

}  // namespace

void check_name(const std::string& path, const char* member, const std::string& name,
                std::vector<decode_problem>& problems) {
  const bool characters_ok = std::all_of(name.begin(), name.end(), is_name_character);
  if (name.empty() || name.size() > name_length_limit || !characters_ok) {
    problems.push_back(
        {path + member,
         "a name has 1 to 128 letters, digits, hyphens, underscores and full stops"});
  }
}

void check_resource(const std::string& path, const service& resource,
                    std::vector<decode_problem>& problems) {
  check_name(path, "/name", resource.name.str(), problems);
  check_ranges(path, resource, problems);
  check_decision(path, resource.decision, problems);
}

void check_resource(const std::string& path, const route& resource,
                    std::vector<decode_problem>& problems) {
  check_name(path, "/name", resource.name.str(), problems);
  check_prefix(path, resource.path_prefix, problems);
  check_name(path, "/service", resource.service.str(), problems);
  check_ranges(path, resource, problems);
  check_decision(path, resource.decision, problems);
}

void check_resource(const std::string& path, const run_once_action& action,
                    std::vector<decode_problem>& problems) {
  check_name(path, "/name", action.name.str(), problems);
  check_name(path, "/service", action.service.str(), problems);
  const bool method_ok = !action.method.empty() && action.method.size() <= 32 &&
                         std::all_of(action.method.begin(), action.method.end(),
                                     [](char c) { return c >= 'A' && c <= 'Z'; });
  if (!method_ok) {
    problems.push_back({path + "/method", "an HTTP method in capital letters is expected"});
  }
  check_prefix(path, action.path_prefix, problems);
  check_key_name(path, action, problems);
  check_ranges(path, action, problems);
  check_decision(path, action.decision, problems);
}

}  // namespace crocusdoor::detail
