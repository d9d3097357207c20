#include "configuration/snapshot.h"

#include <map>
#include <tuple>
#include <utility>

#include "configuration/document_parser.h"
#include "configuration/prefix_table.h"
#include "configuration/resource_rules.h"

namespace crocusdoor {

namespace {

class snapshot_validator {
 public:
  explicit snapshot_validator(const snapshot& content) : content_(content) {}

  std::vector<decode_problem> run() {
    for (const auto& [name, member] : content_.services) {
      check(child_pointer("/services", name.str()), name, member);
    }
    for (const auto& [name, member] : content_.routes) {
      check_route(child_pointer("/routes", name.str()), name, member);
    }
    for (const auto& [name, member] : content_.actions) {
      check_action(child_pointer("/actions", name.str()), name, member);
    }
    return std::move(problems_);
  }

 private:
  template <typename Name, typename Resource>
  void check(const std::string& path, const Name& key, const Resource& resource) {
    detail::check_resource(path, resource, problems_);
    if (key != resource.name) {
      problems_.push_back({path + "/name", "name \"" + resource.name.str() +
                                               "\" differs from its key \"" + key.str() + "\""});
    }
  }

  void check_reference(const std::string& path, const service_name& target) {
    if (!content_.services.contains(target)) {
      problems_.push_back({path + "/service", "service \"" + target.str() + "\" does not exist"});
    }
  }

  void check_route(const std::string& path, const route_name& key, const route& checked) {
    check(path, key, checked);
    check_reference(path, checked.service);
    const auto [first, added] =
        route_prefixes_.emplace(detail::trimmed_prefix(checked.path_prefix), &key);
    if (!added) {
      problems_.push_back({path + "/path_prefix", "path prefix \"" + checked.path_prefix +
                                                      "\" is used by route \"" +
                                                      first->second->str() + "\" already"});
    }
  }

  void check_action(const std::string& path, const action_name& key,
                    const run_once_action& checked) {
    check(path, key, checked);
    check_reference(path, checked.service);
    const auto [first, added] = action_prefixes_.emplace(
        std::tuple(std::string_view(checked.service.str()), std::string_view(checked.method),
                   detail::trimmed_prefix(checked.path_prefix)),
        &key);
    if (!added) {
      problems_.push_back({path + "/path_prefix", "path prefix \"" + checked.path_prefix +
                                                      "\" with this service and method is used by "
                                                      "action \"" +
                                                      first->second->str() + "\" already"});
    }
  }

  const snapshot& content_;
  std::vector<decode_problem> problems_;
  std::map<std::string_view, const route_name*> route_prefixes_;
  std::map<std::tuple<std::string_view, std::string_view, std::string_view>, const action_name*>
      action_prefixes_;
};

bool covers(std::string_view prefix, std::string_view path) {
  prefix = detail::trimmed_prefix(prefix);
  path = path.substr(0, path.find('?'));
  return path.starts_with(prefix) &&
         (prefix.empty() || path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// Whether `prefix` is longer than `other`; trailing slashes do not count.
bool is_longer(std::string_view prefix, std::string_view other) {
  return detail::trimmed_prefix(prefix).size() > detail::trimmed_prefix(other).size();
}

}  // namespace

snapshot_pointer share_snapshot(snapshot content, const snapshot* similar) {
  auto shared = std::make_shared<snapshot>(std::move(content));
  shared->index.build(*shared, similar);
  return shared;
}

std::string encode_snapshot(const snapshot& content) {
  // Invalid UTF-8 is refused by `validate`; here it is replaced, so that encoding does not throw.
  return encode_value(content).dump(-1, ' ', false, json::error_handler_t::replace);
}

digest digest_of(const snapshot& content) {
  return content.index.built() ? content.index.fingerprints().content_digest
                               : fingerprints_of(content).content_digest;
}

std::vector<decode_problem> validate(const snapshot& content) {
  return snapshot_validator(content).run();
}

leaf::result<snapshot> parse_snapshot(const json& document) {
  record_decoder decoder(unknown_keys::refused);
  snapshot content;
  decoder.decode(document, content);
  if (!decoder.ok()) {
    return leaf::new_error(failure{error_code::malformed, describe_problems(decoder.problems())});
  }
  const std::vector<decode_problem> problems = validate(content);
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::invalid, describe_problems(problems)});
  }
  const std::size_t size = encode_snapshot(content).size();
  if (size > snapshot_size_limit_bytes) {
    return leaf::new_error(failure{
        error_code::over_limit, "the configuration has " + std::to_string(size) + " bytes; " +
                                    std::to_string(snapshot_size_limit_bytes) + " are accepted"});
  }
  return content;
}

const route* find_route(const snapshot& content, std::string_view path) {
  if (content.index.built()) {
    return content.index.find_route(path);
  }
  const route* best = nullptr;
  for (const auto& [name, candidate] : content.routes) {
    const bool longer = best == nullptr || is_longer(candidate.path_prefix, best->path_prefix);
    if (longer && covers(candidate.path_prefix, path)) {
      best = &candidate;
    }
  }
  return best;
}

const run_once_action* find_action(const snapshot& content, const service_name& target_service,
                                   std::string_view method, std::string_view path) {
  if (content.index.built()) {
    return content.index.find_action(target_service, method, path);
  }
  const run_once_action* best = nullptr;
  for (const auto& [name, candidate] : content.actions) {
    const bool longer = best == nullptr || is_longer(candidate.path_prefix, best->path_prefix);
    const bool applies = candidate.service == target_service && candidate.method == method;
    if (longer && applies && covers(candidate.path_prefix, path)) {
      best = &candidate;
    }
  }
  return best;
}

}  // namespace crocusdoor
