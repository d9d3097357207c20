#include "command_line/intent_options.h"

#include <algorithm>

namespace crocusdoor::command_line {

namespace {

constexpr const char* intent_names[] = {"put-service",    "put-route",    "put-action",
                                        "remove-service", "remove-route", "remove-action"};

decision_record decision_from(const parsed_options& options) {
  return {options.value("decided-by", options.value("operator")), options.value("decided-on"),
          options.value("reason")};
}

service service_from(parsed_options& options) {
  service result;
  result.name = service_name(options.value("put-service"));
  result.slots_per_upstream = static_cast<std::int32_t>(options.number("slots", 1, 1, 10'000));
  result.connections_per_upstream = static_cast<std::int32_t>(
      options.number("connections", result.connections_per_upstream, 1, 100'000));
  result.decision = decision_from(options);
  return result;
}

route route_from(parsed_options& options) {
  route result;
  result.name = route_name(options.value("put-route"));
  result.path_prefix = options.value("path-prefix");
  result.service = service_name(options.value("service"));
  result.timeout_ms = std::chrono::milliseconds(
      options.number("route-timeout-ms", result.timeout_ms.count(), 1, 3'600'000));
  result.decision = decision_from(options);
  return result;
}

run_once_action action_from(parsed_options& options) {
  run_once_action result;
  result.name = action_name(options.value("put-action"));
  result.service = service_name(options.value("service"));
  result.method = options.value("method", result.method);
  result.path_prefix = options.value("path-prefix");
  result.key_name = options.value("key-name", "Idempotency-Key");
  const std::string location_name = options.value("key-in", "header");
  const auto location = enum_from_string<key_location>(location_name);
  if (!location.has_value()) {
    options.problems.push_back("--key-in: expected one of " + accepted_names<key_location>() +
                               ", found \"" + location_name + "\"");
  }
  result.key_in = location.value_or(key_location::header);
  result.decision = decision_from(options);
  return result;
}

void require(parsed_options& options, const std::string& name) {
  if (options.value(name).empty()) {
    options.problems.push_back("--" + name + " is needed");
  }
}

}  // namespace

std::vector<option_description> intent_options() {
  return {{"operator", "NAME", "who makes the plan"},
          {"reason", "TEXT", "why; also the reason of the decision"},
          {"decided-by", "NAME", "who decided (default the operator)"},
          {"decided-on", "DATE", "when it was decided, YYYY-MM-DD or a year"},
          {"put-service", "NAME", "add or replace a service; with --slots, --connections"},
          {"put-route", "NAME", "add or replace a route; with --path-prefix, --service"},
          {"put-action", "NAME", "add or replace a run-once action; with --path-prefix, --service"},
          {"remove-service", "NAME", "remove a service"},
          {"remove-route", "NAME", "remove a route"},
          {"remove-action", "NAME", "remove a run-once action"},
          {"slots", "N", "requests that a target runs at the same time"},
          {"connections", "N", "connections that a target accepts"},
          {"path-prefix", "PATH", "path prefix of a route or action"},
          {"service", "NAME", "service of a route or action"},
          {"route-timeout-ms", "N", "deadline of a call that brings none"},
          {"method", "NAME", "method of an action (default POST)"},
          {"key-in", "PLACE", "header (default), path_segment or body_field"},
          {"key-name", "NAME", "where the idempotency key is (default Idempotency-Key)"}};
}

bool has_intent_options(const parsed_options& options) {
  return std::any_of(std::begin(intent_names), std::end(intent_names),
                     [&](const char* name) { return options.has(name); });
}

intent_document intent_from(parsed_options& options) {
  require(options, "operator");
  require(options, "reason");
  intent_document document;
  document.operator_name = options.value("operator");
  document.reason = options.value("reason");
  intent next_intent;
  const auto add = [&](const char* option, auto set_resource) {
    if (options.has(option)) {
      next_intent = intent{};
      set_resource();
      document.intents.push_back(next_intent);
    }
  };
  const bool has_put_option =
      options.has("put-service") || options.has("put-route") || options.has("put-action");
  if (has_put_option) {
    require(options, "decided-on");
  }
  add("put-service", [&] { next_intent.put_service = service_from(options); });
  add("put-route", [&] { next_intent.put_route = route_from(options); });
  add("put-action", [&] { next_intent.put_action = action_from(options); });
  add("remove-service",
      [&] { next_intent.remove_service = service_name(options.value("remove-service")); });
  add("remove-route",
      [&] { next_intent.remove_route = route_name(options.value("remove-route")); });
  add("remove-action",
      [&] { next_intent.remove_action = action_name(options.value("remove-action")); });
  return document;
}

}  // namespace crocusdoor::command_line
