#include "daemon/intent_api.h"

#include <algorithm>
#include <utility>

#include "configuration/decision_history.h"
#include "configuration/intent.h"
#include "daemon/event_log.h"
#include "daemon/suspicion_clearing.h"

namespace crocusdoor {

namespace {

const std::string head_kind = "configuration";
const std::string head_name = "head";

/// Maximum number of times that a confirmation reads the head and tries to write the next version.
/// It tries again after a conflicting write or a lost response.
constexpr int max_confirmation_attempts = 4;
constexpr int lost_response_status = 503;

}  // namespace

intent_api::intent_api(mesh_daemon& owner)
    : daemon_(owner),
      shared_(owner.shared()),
      other_instances_(owner.shared()),
      server_(
          shared_.loop, {shared_.options.listen.address, shared_.options.listen.api_port},
          [this](const exchange_pointer& exchange) { router_.dispatch(exchange); },
          http_server_limits{.connections = shared_.connections.others}, shared_.buffers) {
  add_configuration_routes();
  add_instance_routes();
  add_operation_routes();
  add_suspicion_routes();
}

void intent_api::add_configuration_routes() {
  router_.add("POST", "/v1/plans", [this](const auto& exchange) { create_plan(exchange); });
  router_.add("POST", "/v1/confirmations", [this](const exchange_pointer& exchange) {
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(confirmed_plan, parse_plan(exchange->request().body));
          confirm(exchange, confirmed_plan, max_confirmation_attempts);
          return {};
        },
        [&](const failure& error) { respond_failure(*exchange, error); });
  });
  router_.add("GET", "/v1/configuration", [this](const auto& exchange) {
    respond_json(*exchange, 200,
                 {{"digest", daemon_.distributor().holder().current_digest().str()},
                  {"configuration", encode_value(*daemon_.distributor().current())}});
  });
  router_.add("GET", "/v1/decisions", [this](const exchange_pointer& exchange) {
    daemon_.distributor().read_head([exchange](platform_outcome outcome, const auto& head,
                                               object_version, const std::string& problem) {
      if (outcome != platform_outcome::ok && outcome != platform_outcome::absent) {
        respond_error(*exchange, 503, "unavailable", problem);
        return;
      }
      const head_document current_head = head.value_or(head_document{});
      respond_json(*exchange, 200,
                   {{"version", current_head.content.version},
                    {"decisions", encode_value(decision_history(current_head))}});
    });
  });
}

std::vector<affected_instance> intent_api::affected_instances() const {
  std::vector<affected_instance> affected;
  for (const instance_record& record : daemon_.membership().instances().live()) {
    affected.push_back({record.name, record.domain});
  }
  return affected;
}

void intent_api::create_plan(const exchange_pointer& exchange) {
  daemon_.distributor().read_head([this, exchange](platform_outcome outcome, const auto& head,
                                                   object_version, const std::string& problem) {
    const bool responded = outcome == platform_outcome::ok || outcome == platform_outcome::absent;
    if (!responded || !problem.empty()) {
      respond_error(*exchange, 503, "unavailable", problem);
      return;
    }
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(document, parse_intents(exchange->request().body));
          BOOST_LEAF_AUTO(created_plan,
                          make_plan(head.value_or(head_document{}), document,
                                    shared_.random.identifier(), affected_instances()));
          respond_json(*exchange, 200, encode_value(created_plan));
          return {};
        },
        [&](const failure& error) { respond_failure(*exchange, error); });
  });
}

void intent_api::confirm(const exchange_pointer& exchange, const plan& confirmed_plan,
                         int attempts_left) {
  daemon_.distributor().read_head([this, exchange, confirmed_plan, attempts_left](
                                      platform_outcome outcome, const auto& head,
                                      object_version version, const std::string& problem) {
    const bool responded = outcome == platform_outcome::ok || outcome == platform_outcome::absent;
    if (!responded || !problem.empty()) {
      respond_error(*exchange, 503, "unavailable",
                    "the platform does not answer; confirm the same plan again");
      return;
    }
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(confirmation_result,
                          confirm_plan(head.value_or(head_document{}), confirmed_plan,
                                       shared_.random.identifier(), event_loop::wall_now()));
          write_head(exchange, confirmed_plan, confirmation_result, version, attempts_left);
          return {};
        },
        [&](const failure& error) { respond_failure(*exchange, error); });
  });
}

void intent_api::write_head(const exchange_pointer& exchange, const plan& confirmed_plan,
                            const confirmation& confirmation_result, object_version expected,
                            int attempts_left) {
  if (confirmation_result.outcome == confirmation_outcome::already_confirmed) {
    respond_json(*exchange, 200,
                 {{"version", confirmation_result.version}, {"already_confirmed", true}});
    return;
  }
  if (confirmation_result.outcome == confirmation_outcome::conflict) {
    respond_json(*exchange, 409,
                 {{"code", "conflict"},
                  {"message", confirmation_result.message},
                  {"problems", json::array()},
                  {"changed_since", encode_value(confirmation_result.changed_since)}});
    return;
  }
  const auto write_completed = [this, exchange, confirmed_plan, confirmation_result,
                                attempts_left](const auto& result) {
    if (result.outcome == platform_outcome::ok) {
      LOG_EVENT(INFO, "plan_confirmed")
          << field("plan", confirmed_plan.id) << field("version", confirmation_result.version)
          << field("operator", confirmed_plan.document.operator_name);
      daemon_.distributor().offer_head(confirmation_result.next, result.object.version);
      respond_json(*exchange, 200,
                   {{"version", confirmation_result.version}, {"already_confirmed", false}});
    } else if (attempts_left > 1) {
      // Another operator wrote the head first, or the response was lost after the write. The head
      // is read again to find out which.
      confirm(exchange, confirmed_plan, attempts_left - 1);
    } else {
      respond_error(*exchange, lost_response_status, "unavailable",
                    "the platform does not answer; confirm the same plan again");
    }
  };
  const std::string text = encode_head(confirmation_result.next);
  if (expected == 0) {
    daemon_.platform().create_if_absent(head_kind, head_name, text, write_completed);
  } else {
    daemon_.platform().update_if_version(head_kind, head_name, expected, text, write_completed);
  }
}

json intent_api::describe_self() const {
  const instance_record& self = daemon_.membership().instances().self();
  const load_report load = daemon_.target().load();
  std::string lag;
  if (!daemon_.distributor().ready()) {
    lag = "no version floor yet";
  }
  return {{"instance", encode_value(self)},
          {"version", daemon_.distributor().current()->version},
          {"digest", daemon_.distributor().holder().current_digest().str()},
          {"ready", daemon_.distributor().ready()},
          {"watcher", daemon_.membership().is_watcher()},
          {"platform", daemon_.platform().reachable() ? "up" : "down"},
          {"load", encode_value(load)},
          {"lag_reason", lag}};
}

void intent_api::show_status(const exchange_pointer& exchange) {
  const std::vector<instance_record> live = daemon_.membership().instances().live();
  other_instances_.send_to_all(
      live, {"GET", "/v1/instance", {}, {}}, [this, exchange](const auto& responses) {
        json instances = json::array();
        version_number newest = daemon_.distributor().current()->version;
        for (const instance_response& response : responses) {
          const json instance_document = json::parse(response.result.response.body, nullptr, false);
          const bool responded = response.result.outcome == http_outcome::answered &&
                                 instance_document.is_object() &&
                                 instance_document.contains("version");
          json entry = {{"name", response.instance.name.str()},
                        {"domain", response.instance.domain.str()},
                        {"state", std::string(to_string(response.instance.state))},
                        {"service", response.instance.service.str()},
                        {"version", responded ? instance_document["version"] : json(0)},
                        {"lag_reason", responded ? instance_document.value("lag_reason", "")
                                                 : "does not answer"}};
          newest = std::max(newest, entry["version"].template get<version_number>());
          instances.push_back(std::move(entry));
        }
        bool in_force = true;
        for (json& entry : instances) {
          const bool behind = entry["version"].get<version_number>() < newest;
          if (behind && entry["lag_reason"].get_ref<const std::string&>().empty()) {
            entry["lag_reason"] = "has not received the version yet";
          }
          in_force = in_force && !behind;
        }
        respond_json(*exchange, 200,
                     {{"instance", shared_.options.instance.name.str()},
                      {"version", newest},
                      {"digest", daemon_.distributor().holder().current_digest().str()},
                      {"platform", daemon_.platform().reachable() ? "up" : "down"},
                      {"instances", std::move(instances)},
                      {"in_force", in_force}});
      });
}

void intent_api::add_instance_routes() {
  router_.add("GET", "/v1/status", [this](const auto& exchange) { show_status(exchange); });
  router_.add("GET", "/v1/instance",
              [this](const auto& exchange) { respond_json(*exchange, 200, describe_self()); });
  router_.add("POST", "/v1/drain", [this](const auto& exchange) { drain(exchange); });
  router_.add("GET", "/v1/traces", [this](const auto& exchange) {
    respond_json(*exchange, 200, shared_.traces.to_zipkin());
  });
  router_.add("GET", "/metrics", [this](const auto& exchange) {
    exchange->respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, daemon_.render_metrics()});
  });
  router_.add("GET", "/healthz", [](const auto& exchange) {
    exchange->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
  });
  router_.add("GET", "/readyz", [this](const auto& exchange) {
    const bool ready =
        daemon_.distributor().ready() && daemon_.target().target_ready() && !daemon_.draining();
    exchange->respond(
        {ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
  });
}

void intent_api::drain(const exchange_pointer& exchange) {
  const json document = json::parse(exchange->request().body, nullptr, false);
  if (!document.is_object() || !document.value("instance", json()).is_string()) {
    respond_error(*exchange, 400, "malformed", "expected {\"instance\": name}");
    return;
  }
  const instance_name name(document["instance"].get<std::string>());
  if (name != shared_.options.instance.name) {
    forward(exchange, name);
    return;
  }
  daemon_.begin_drain();
  respond_json(*exchange, 202, {{"instance", name.str()}, {"state", "draining"}});
}

void intent_api::forward(const exchange_pointer& exchange, const instance_name& instance) {
  const instance_record* record = daemon_.membership().instances().find(instance);
  if (record == nullptr) {
    respond_error(*exchange, 404, "not_found", "instance " + instance.str() + " is not known");
    return;
  }
  other_instances_.send_to_all({*record}, exchange->request(), [exchange](const auto& responses) {
    const http_result& result = responses.front().result;
    if (result.outcome == http_outcome::answered) {
      exchange->respond(
          {result.response.status, {{"Content-Type", "application/json"}}, result.response.body});
    } else {
      respond_error(*exchange, 503, "unavailable",
                    "instance " + responses.front().instance.name.str() + " does not answer");
    }
  });
}

void intent_api::add_operation_routes() {
  router_.add("GET", "/v1/operations", [this](const auto& exchange) { list_operations(exchange); });
  router_.add("POST", "/v1/operations/resolve",
              [this](const auto& exchange) { resolve_operation(exchange); });
}

namespace {

json describe_operation(const operation_status& status) {
  json entry = {{"action", status.record.operation.action.str()},
                {"key", status.record.operation.key.str()},
                {"progress", std::string(to_string(status.record.progress))},
                {"in_doubt", status.in_doubt},
                {"claim", status.record.id.str()},
                {"expires_at_ms", status.record.expires_at_ms},
                {"resolvable_at_ms", status.resolvable_at_ms}};
  if (status.record.answer.has_value()) {
    entry["status"] = status.record.answer->status;
  }
  return entry;
}

}  // namespace

json intent_api::local_operations(bool in_doubt_only) const {
  json list = json::array();
  for (const operation_status& status :
       daemon_.run_once().claims().operations(event_loop::wall_now(), in_doubt_only)) {
    list.push_back(describe_operation(status));
  }
  return list;
}

void intent_api::list_operations(const exchange_pointer& exchange) {
  const auto parameters = query_parameters(exchange->request().target);
  if (parameters.contains("action") && parameters.contains("key")) {
    show_operation(exchange,
                   {action_name(parameters.at("action")), idempotency_key(parameters.at("key"))});
    return;
  }
  const bool in_doubt_only = parameters.contains("in_doubt");
  if (parameters.contains("local")) {
    respond_json(*exchange, 200, {{"operations", local_operations(in_doubt_only)}});
    return;
  }
  const std::string target =
      std::string("/v1/operations?local=true") + (in_doubt_only ? "&in_doubt=true" : "");
  other_instances_.send_to_all(
      daemon_.membership().instances().live(), {"GET", target, {}, {}},
      [exchange](const auto& responses) {
        json all = json::array();
        json unresponsive = json::array();
        for (const instance_response& response : responses) {
          const json document = json::parse(response.result.response.body, nullptr, false);
          if (!document.is_object() || !document.contains("operations")) {
            unresponsive.push_back(response.instance.name.str());
            continue;
          }
          for (const json& entry : document["operations"]) {
            all.push_back(entry);
          }
        }
        respond_json(*exchange, 200,
                     {{"operations", all}, {"instances_without_answer", unresponsive}});
      });
}

void intent_api::show_operation(const exchange_pointer& exchange, const operation_key& key) {
  const auto owner = daemon_.run_once().owner_of(key);
  if (owner.has_value() && *owner != shared_.options.instance.name) {
    forward(exchange, *owner);
    return;
  }
  const auto found = daemon_.run_once().claims().operation(key, event_loop::wall_now());
  if (!found.has_value()) {
    respond_error(*exchange, 404, "not_found",
                  "operation " + key.action.str() + "/" + key.key.str() + " is not recorded");
    return;
  }
  respond_json(*exchange, 200, {{"operations", json::array({describe_operation(*found)})}});
}

void intent_api::resolve_operation(const exchange_pointer& exchange) {
  const json document = json::parse(exchange->request().body, nullptr, false);
  const auto text = [&](const char* key) {
    const json value = document.is_object() ? document.value(key, json()) : json();
    return value.is_string() ? value.get<std::string>() : std::string();
  };
  const operation_key key{action_name(text("action")), idempotency_key(text("key"))};
  const std::string outcome = text("outcome");
  const bool valid = !key.action.empty() && !key.key.empty() && !text("operator").empty() &&
                     (outcome == "ran" || outcome == "not_run");
  if (!valid) {
    respond_error(*exchange, 400, "malformed",
                  "expected {\"action\", \"key\", \"outcome\": \"ran\" or \"not_run\", \"note\", "
                  "\"operator\"}");
    return;
  }
  const auto owner = daemon_.run_once().owner_of(key);
  if (owner.has_value() && *owner != shared_.options.instance.name) {
    forward(exchange, *owner);
    return;
  }
  LOG_EVENT(INFO, "operation_resolution")
      << field("action", key.action) << field("key", key.key) << field("outcome", outcome)
      << field("operator", text("operator")) << field("note", text("note"));
  daemon_.run_once().resolve(key, {outcome == "ran", std::nullopt},
                             [exchange](bool resolved, const std::string& reason) {
                               if (resolved) {
                                 respond_json(*exchange, 200, {{"resolved", true}});
                               } else {
                                 respond_error(*exchange, 409, "conflict", reason);
                               }
                             });
}

void intent_api::add_suspicion_routes() {
  router_.add("GET", "/v1/suspicions", [this](const auto& exchange) {
    json list = json::array();
    for (const suspected_request& entry : daemon_.suspicions().list(event_loop::wall_now())) {
      list.push_back({{"request", entry.request.str()}, {"crashes", encode_value(entry.crashes)}});
    }
    respond_json(*exchange, 200, {{"suspicions", list}});
  });
  router_.add("POST", "/v1/suspicions/clear",
              [this](const auto& exchange) { clear_suspicion(exchange); });
}

void intent_api::clear_suspicion(const exchange_pointer& exchange) {
  const auto clearing = read_suspicion_clearing(*exchange);
  if (!clearing.has_value()) {
    return;
  }
  const std::vector<crash_report> reports = daemon_.suspicions().clear(
      clearing->request, clearing->operator_name, event_loop::wall_now());
  daemon_.broadcast_suspicions(reports);
  respond_cleared(*exchange, !reports.empty());
}

}  // namespace crocusdoor
