#include "run_once/idempotency_key_extractor.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "core/record_codec.h"

namespace crocusdoor {

namespace {

char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equal_header_names(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string describe_key_location(const run_once_action& action) {
  switch (action.key_in) {
    case key_location::header:
      return "header \"" + action.key_name + "\"";
    case key_location::path_segment:
      return "path segment " + action.key_name;
    case key_location::body_field:
      break;
  }
  return "body field \"" + action.key_name + "\"";
}

leaf::error_id missing_key(const run_once_action& action) {
  return leaf::new_error(failure{
      error_code::not_found, "action \"" + action.name.str() + "\" needs an idempotency key in " +
                                 describe_key_location(action) + ", which is missing or empty"});
}

leaf::result<std::string> from_header(const run_once_action& action,
                                      const std::map<std::string, std::string>& headers) {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& header) {
    return equal_header_names(header.first, action.key_name);
  });
  if (found == headers.end()) {
    return missing_key(action);
  }
  return found->second;
}

std::optional<std::string_view> segment(std::string_view path, std::size_t number) {
  path = path.substr(0, path.find_first_of("?#"));
  std::size_t start = path.starts_with('/') ? 1 : 0;
  for (; number > 0; --number) {
    const std::size_t slash = path.find('/', start);
    if (slash == std::string_view::npos) {
      return std::nullopt;
    }
    start = slash + 1;
  }
  return path.substr(start, path.find('/', start) - start);
}

leaf::result<std::string> from_path(const run_once_action& action, std::string_view path) {
  std::size_t number = 0;
  const std::string& text = action.key_name;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return leaf::new_error(failure{error_code::invalid, "action \"" + action.name.str() +
                                                            "\" names path segment \"" + text +
                                                            "\"; a number from 0 is accepted"});
  }
  const auto found = segment(path, number);
  if (!found.has_value()) {
    return missing_key(action);
  }
  return std::string(*found);
}

leaf::result<std::string> from_body(const run_once_action& action, std::string_view body) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return leaf::new_error(failure{
        error_code::malformed, "action \"" + action.name.str() + "\" needs an idempotency key in " +
                                   describe_key_location(action) +
                                   ", and the body is not a JSON object"});
  }
  const auto found = document.find(action.key_name);
  if (found == document.end()) {
    return missing_key(action);
  }
  if (found->is_number_integer()) {
    return found->dump();
  }
  if (!found->is_string()) {
    return leaf::new_error(
        failure{error_code::malformed, describe_key_location(action) + " of action \"" +
                                           action.name.str() + "\" is " + found->type_name() +
                                           "; a string or an integer is accepted"});
  }
  return found->get<std::string>();
}

leaf::result<std::string> find_key(const run_once_action& action, std::string_view path,
                                   const std::map<std::string, std::string>& headers,
                                   std::string_view body) {
  switch (action.key_in) {
    case key_location::header:
      return from_header(action, headers);
    case key_location::path_segment:
      return from_path(action, path);
    case key_location::body_field:
      break;
  }
  return from_body(action, body);
}

}  // namespace

leaf::result<idempotency_key> extract_key(const run_once_action& action,
                                          std::string_view /*method*/, std::string_view path,
                                          const std::map<std::string, std::string>& headers,
                                          std::string_view body) {
  BOOST_LEAF_AUTO(key, find_key(action, path, headers, body));
  if (key.empty()) {
    return missing_key(action);
  }
  if (key.size() > idempotency_key_limit_bytes) {
    return leaf::new_error(failure{
        error_code::over_limit, "the idempotency key in " + describe_key_location(action) +
                                    " has " + std::to_string(key.size()) + " bytes; at most " +
                                    std::to_string(idempotency_key_limit_bytes) + " are accepted"});
  }
  return idempotency_key(std::move(key));
}

}  // namespace crocusdoor
