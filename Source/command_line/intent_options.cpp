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
  service one;
  one.name = service_name(options.value("put-service"));
  one.slots_per_upstream = static_cast<std::int32_t>(options.number("slots", 1, 1, 10'000));
  one.connections_per_upstream = static_cast<std::int32_t>(
      options.number("connections", one.connections_per_upstream, 1, 100'000));
  one.decision = decision_from(options);
  return one;
}

route route_from(parsed_options& options) {
  route one;
  one.name = route_name(options.value("put-route"));
  one.path_prefix = options.value("path-prefix");
  one.service = service_name(options.value("service"));
  one.timeout_ms = std::chrono::milliseconds(
      options.number("route-timeout-ms", one.timeout_ms.count(), 1, 3'600'000));
  one.decision = decision_from(options);
  return one;
}

run_once_action action_from(parsed_options& options) {
  run_once_action one;
  one.name = action_name(options.value("put-action"));
  one.service = service_name(options.value("service"));
  one.method = options.value("method", one.method);
  one.path_prefix = options.value("path-prefix");
  one.key_name = options.value("key-name", "Idempotency-Key");
  const std::string place = options.value("key-in", "header");
  const auto location = enum_from_string<key_location>(place);
  if (!location.has_value()) {
    options.problems.push_back("--key-in: expected one of " + accepted_names<key_location>() +
                               ", found \"" + place + "\"");
  }
  one.key_in = location.value_or(key_location::header);
  one.decision = decision_from(options);
  return one;
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

bool states_intent(const parsed_options& options) {
  return std::any_of(std::begin(intent_names), std::end(intent_names),
                     [&](const char* name) { return options.has(name); });
}

intent_document intent_from(parsed_options& options) {
  require(options, "operator");
  require(options, "reason");
  intent_document document;
  document.operator_name = options.value("operator");
  document.reason = options.value("reason");
  intent one;
  const auto add = [&](const char* option, auto fill) {
    if (options.has(option)) {
      one = intent{};
      fill();
      document.intents.push_back(one);
    }
  };
  const bool adds =
      options.has("put-service") || options.has("put-route") || options.has("put-action");
  if (adds) {
    require(options, "decided-on");
  }
  add("put-service", [&] { one.put_service = service_from(options); });
  add("put-route", [&] { one.put_route = route_from(options); });
  add("put-action", [&] { one.put_action = action_from(options); });
  add("remove-service",
      [&] { one.remove_service = service_name(options.value("remove-service")); });
  add("remove-route", [&] { one.remove_route = route_name(options.value("remove-route")); });
  add("remove-action", [&] { one.remove_action = action_name(options.value("remove-action")); });
  return document;
}

}  // namespace crocusdoor::command_line
