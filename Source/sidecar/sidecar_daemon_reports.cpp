// The part of the sidecar that logs and counts what the process does.

#include "sidecar/sidecar_daemon.h"

namespace crocusdoor {

namespace {

constexpr int status_ok = 200;

constexpr duration loop_delay_interval = std::chrono::milliseconds(100);
/// Delays of the event loop from this length on are logged, because callers notice them.
constexpr duration long_loop_delay = std::chrono::milliseconds(250);

}  // namespace

void sidecar_daemon::log_memory(const buffer_manager::refusal_counts& refusals) {
  nlohmann::json refused = nlohmann::json::object();
  for (const auto& [reason, count] : refusals) {
    refused[std::string(to_string(reason))] = count;
  }
  nlohmann::json bytes = nlohmann::json::object();
  for (const auto& [kind, name] : enum_names<buffer_kind>::names) {
    bytes[std::string(name)] = buffers_->account()->bytes(kind);
  }
  log_.warning("memory_limited",
               {{"refused", refused}, {"bytes", bytes}, {"budget", buffers_->account()->budget()}});
}

/// Logs that connections were closed or refused for lack of places since the last call.
void sidecar_daemon::log_connections() {
  const connection_counts& counts = callers_->connections();
  const std::uint64_t evicted = counts.evicted - logged_connections_.evicted;
  const std::uint64_t refused = counts.refused - logged_connections_.refused;
  if (evicted + refused > 0) {
    log_.warning("connections_limited", {{"open", counts.open},
                                         {"limit", shared_.connections.callers},
                                         {"evicted", evicted},
                                         {"refused", refused}});
  }
  logged_connections_ = counts;
}

void sidecar_daemon::log_traffic() {
  for (const auto& [scope, amounts] : mesh_->traffic().totals()) {
    nlohmann::json kinds = nlohmann::json::object();
    for (const auto& [kind, sent] : amounts) {
      kinds[kind] = {sent.messages, sent.bytes};
    }
    log_.info("link_traffic", {{"scope", std::string(to_string(scope))},
                               {"bytes", mesh_->traffic().bytes(scope)},
                               {"messages_and_bytes", kinds}});
  }
}

void sidecar_daemon::measure_loop_delay() {
  const time_point now = loop_.now();
  if (loop_delay_timer_ != nullptr) {
    const duration delay = now - loop_delay_due_;
    counters_.observe_loop_delay(delay);
    if (delay >= long_loop_delay) {
      log_.warning("loop_delayed", {{"delay_ms", to_ms(delay)}});
    }
  }
  loop_delay_due_ = now + loop_delay_interval;
  loop_delay_timer_ = loop_.after(loop_delay_interval, [this] { measure_loop_delay(); });
}

void sidecar_daemon::answer_metrics(http_exchange& exchange) {
  const load_report load = gateway_->work().load();
  counters_.slots_in_use().Set(load.slots_in_use);
  counters_.queue_length().Set(load.queued);
  counters_.live_instances().Set(static_cast<double>(mesh_->linked_peers().size() + 1));
  counters_
      .total("crocusdoor_crashing_requests", "Requests refused because they have crashed targets")
      .Set(static_cast<double>(crashes_.refused(loop_.now())));
  counters_.total("crocusdoor_store_era", "Newest known era of the platform's store; -1 if unknown")
      .Set(store_->era().has_value() ? static_cast<double>(*store_->era()) : -1.0);
  counters_
      .total("crocusdoor_store_outdated_responses",
             "Responses of the store that were ignored because their era was over")
      .Set(static_cast<double>(store_->outdated_responses()));
  counters_.total("crocusdoor_log_lines_dropped", "Log lines beyond the budget")
      .Set(static_cast<double>(log_.dropped()));
  counters_.total("crocusdoor_target_connections_opened", "Connections opened to the target")
      .Set(static_cast<double>(gateway_->connections_opened()));
  rollouts_->update_metrics();
  if (configurations_->freshness().enabled()) {
    const std::optional<duration> age = configurations_->freshness().age();
    counters_
        .total("crocusdoor_configuration_proof_age_seconds",
               "Time since the configuration was proved to be the newest one; -1 without a proof")
        .Set(age.has_value() ? std::chrono::duration<double>(*age).count() : -1);
  }
  counters_.set_link_traffic(mesh_->traffic());
  counters_.set_buffers(*buffers_);
  counters_.set_connections(callers_->connections(), shared_.connections.callers);
  counters_
      .total("crocusdoor_unsent_response_bytes", "Bytes of responses not acknowledged by callers")
      .Set(static_cast<double>(callers_->unsent().bytes));
  exchange.respond(
      {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, counters_.render()});
}

}  // namespace crocusdoor
