#include "configuration/snapshot.h"

#include <algorithm>

namespace crocusdoor {

namespace {

constexpr std::size_t name_length_limit = 128;

bool is_name_character(char character) {
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || character == '-' || character == '_' || character == '.';
}

class snapshot_validator {
 public:
  explicit snapshot_validator(const snapshot& content) : content_(content) {}

  std::vector<decode_problem> run() {
    for (const auto& [name, one] : content_.services) {
      check_name("/services/" + name.str(), name.str(), one.name.str());
    }
    for (const auto& [name, one] : content_.routes) {
      check_route("/routes/" + name.str(), name, one);
    }
    for (const auto& [name, one] : content_.actions) {
      check_action("/actions/" + name.str(), name, one);
    }
    return std::move(problems_);
  }

 private:
  void report(const std::string& path, std::string message) {
    problems_.push_back({path, std::move(message)});
  }

  void check_name(const std::string& path, const std::string& key, const std::string& name) {
    if (key != name) {
      report(path + "/name", "name \"" + name + "\" differs from its key \"" + key + "\"");
    }
    const bool characters_ok = std::all_of(name.begin(), name.end(), is_name_character);
    if (name.empty() || name.size() > name_length_limit || !characters_ok) {
      report(path + "/name",
             "a name has 1 to 128 letters, digits, hyphens, underscores and full stops");
    }
  }

  void check_prefix(const std::string& path, const std::string& prefix) {
    if (prefix.empty() || prefix.front() != '/') {
      report(path + "/path_prefix", "a path prefix starts with \"/\"");
    }
  }

  void check_reference(const std::string& path, const service_name& target) {
    if (!content_.services.contains(target)) {
      report(path + "/service", "service \"" + target.str() + "\" does not exist");
    }
  }

  void check_route(const std::string& path, const route_name& key, const route& one) {
    check_name(path, key.str(), one.name.str());
    check_prefix(path, one.path_prefix);
    check_reference(path, one.service);
    for (const auto& [other_name, other] : content_.routes) {
      if (other_name < key && other.path_prefix == one.path_prefix) {
        report(path + "/path_prefix", "path prefix \"" + one.path_prefix +
                                          "\" is used by route \"" + other_name.str() +
                                          "\" already");
      }
    }
  }

  void check_action(const std::string& path, const action_name& key, const run_once_action& one) {
    check_name(path, key.str(), one.name.str());
    check_prefix(path, one.path_prefix);
    check_reference(path, one.service);
    if (one.key_name.empty()) {
      report(path + "/key_name", "the idempotency key needs a name");
    }
    const bool number = !one.key_name.empty() && one.key_name.size() <= 3 &&
                        std::all_of(one.key_name.begin(), one.key_name.end(),
                                    [](char c) { return c >= '0' && c <= '9'; });
    if (one.key_in == key_location::path_segment && !number) {
      report(path + "/key_name", "a path segment is given by its number, counted from 0");
    }
  }

  const snapshot& content_;
  std::vector<decode_problem> problems_;
};

std::string joined(const std::vector<decode_problem>& problems) {
  std::string text;
  for (const decode_problem& problem : problems) {
    text += text.empty() ? "" : "; ";
    text += problem.path.empty() ? "/" : problem.path;
    text += ": " + problem.message;
  }
  return text;
}

bool covers(std::string_view prefix, std::string_view path) {
  while (prefix.size() > 1 && prefix.back() == '/') {
    prefix.remove_suffix(1);
  }
  if (prefix == "/") {
    return true;
  }
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

}  // namespace

digest digest_of(const snapshot& content) {
  return digest_of(encode_value(content).dump());
}

std::vector<decode_problem> validate(const snapshot& content) {
  return snapshot_validator(content).run();
}

leaf::result<snapshot> parse_snapshot(const json& document) {
  record_decoder decoder(unknown_keys::refused);
  snapshot content;
  decoder.decode(document, content);
  if (!decoder.ok()) {
    return leaf::new_error(failure{error_code::malformed, joined(decoder.problems())});
  }
  const std::vector<decode_problem> problems = validate(content);
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::invalid, joined(problems)});
  }
  return content;
}

const route* find_route(const snapshot& content, std::string_view path) {
  const route* best = nullptr;
  for (const auto& [name, one] : content.routes) {
    const bool longer = best == nullptr || one.path_prefix.size() > best->path_prefix.size();
    if (longer && covers(one.path_prefix, path)) {
      best = &one;
    }
  }
  return best;
}

const run_once_action* find_action(const snapshot& content, const service_name& target_service,
                                   std::string_view method, std::string_view path) {
  const run_once_action* best = nullptr;
  for (const auto& [name, one] : content.actions) {
    const bool longer = best == nullptr || one.path_prefix.size() > best->path_prefix.size();
    const bool applies = one.service == target_service && one.method == method;
    if (longer && applies && covers(one.path_prefix, path)) {
      best = &one;
    }
  }
  return best;
}

}  // namespace crocusdoor
