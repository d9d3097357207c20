#include "daemon/mesh_daemon.h"

#include <algorithm>
#include <utility>

#include "daemon/caller_request.h"
#include "daemon/event_log.h"
#include "daemon/intent_api.h"

namespace crocusdoor {

namespace {

constexpr duration review_interval = std::chrono::milliseconds(100);
/// Interval at which a daemon that has finished its drain checks whether it can end.
constexpr duration stop_check_interval = std::chrono::milliseconds(20);
/// When no request has been in progress for this long, the last responses have been sent.
constexpr duration flush_time = std::chrono::milliseconds(200);
/// The process ends this long after its drain, but not before the limit of the drain, even if
/// requests are in progress or responses are unsent.
constexpr duration stop_limit = std::chrono::seconds(2);

std::uint64_t start_incarnation() {
  return static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count());
}

/// Maximum number of calls, for each slot of the target, that can be lost with one link: one in the
/// slot and four in the target's queue. The burst of the retry budget must cover them.
constexpr std::int32_t max_calls_per_slot = 5;

selection_policy make_selection_policy(const settings& options) {
  selection_policy policy;
  policy.in_flight_limit =
      static_cast<std::size_t>(max_calls_per_slot) * static_cast<std::size_t>(options.target.slots);
  return policy;
}

server_connection_limits make_connection_limits(const limit_settings& limits) {
  server_connection_limits result =
      divide_descriptors(descriptor_limit(static_cast<std::size_t>(limits.descriptors)),
                         buffer_budget_bytes(limits.memory_mb));
  result.callers = std::min(result.callers, static_cast<std::size_t>(limits.caller_connections));
  return result;
}

/// Refuses a request that arrives after the drain has finished.
void respond_stopping(http_exchange& exchange) {
  exchange.respond({503,
                    {{"Connection", "close"}, {"X-Not-Run", "true"}, {"Retry-After", "1"}},
                    "this instance is stopping\n"});
}

}  // namespace

mesh_daemon::mesh_daemon(event_loop& loop, settings options)
    : loop_(loop),
      options_(std::move(options)),
      random_(stable_hash(options_.instance.name.str(), start_incarnation())),
      traces_(options_.instance.name.str(), static_cast<std::size_t>(options_.trace.buffer_spans)),
      buffers_(std::make_shared<buffer_manager>(
          loop_, buffer_budget_bytes(options_.limits.memory_mb),
          [this](const buffer_manager::refusal_counts& refusals) { log_memory(refusals); })),
      shared_{loop_,
              random_,
              options_,
              counters_,
              traces_,
              buffers_,
              start_incarnation(),
              make_connection_limits(options_.limits)},
      platform_(loop_, {options_.platform.address, options_.platform.port},
                options_.platform.timeout_ms, options_.platform.connections),
      selector_({options_.instance.name, options_.instance.domain, options_.instance.region},
                make_selection_policy(options_)),
      hedges_(hedge_settings{.traffic_share = options_.limits.hedge_percent / 100.0}),
      started_at_(loop_.now()) {
  mesh_ = std::make_unique<peer_mesh>(
      loop_, random_,
      peer_mesh::configuration{options_.instance.name,
                               {options_.listen.address, options_.listen.peer_port},
                               options_.timing.heartbeat_interval_ms,
                               duration::zero(),
                               options_.timing.heartbeat_timeout_ms,
                               options_.timing.reconnect_base_ms,
                               options_.timing.reconnect_limit_ms,
                               true,
                               duration::zero(),
                               options_.instance.domain},
      mesh_handlers());
  membership_ = std::make_unique<membership_service>(shared_, *mesh_, platform_, make_self(),
                                                     [this] { directory_changed(); });
  distributor_ = std::make_unique<configuration_distributor>(
      shared_, *mesh_, platform_,
      configuration_distributor::handlers{[this] { return membership_->is_watcher(); },
                                          [this] { refresh_upstreams(); },
                                          [this] { return membership_->peers(); }});
  run_once_ = std::make_unique<run_once_service>(shared_, *mesh_, platform_);
  target_ = std::make_unique<target_gateway>(shared_, suspicions_, target_handlers());
  router_ = std::make_unique<call_router>(
      loop_, peer_process{options_.instance.name, shared_.incarnation}, *mesh_,
      call_router::handlers{[this](const wire::call& request) {
                              target_->receive(options_.instance.name,
                                               distributor_->current()->version, request);
                            },
                            [this](wire::request_id id) {
                              target_->cancel(options_.instance.name, shared_.incarnation, id);
                            },
                            [this] { counters_.count_unmatched_response(); },
                            [this](const instance_name&, wire::request_id, bool sent) {
                              counters_.count_cancellation(sent ? "sent" : "not_sent");
                            }});
  caller_services_ = std::make_unique<caller_services>(caller_services{
      shared_, *router_, *run_once_, selector_, hedges_,
      [this](const service_name& name) -> retry_budget& {
        const retry_policy policy{
            .traffic_share = options_.limits.retry_percent / 100.0,
            .burst = static_cast<double>(max_calls_per_slot) * options_.target.slots};
        return retry_budgets_.try_emplace(name, policy).first->second;
      },
      [this] { return distributor_->current(); }, [this] { return distributor_->ready(); }});
  caller_server_ = std::make_unique<http_server>(
      loop_, ip_endpoint{options_.listen.address, options_.listen.caller_port},
      [this](const std::shared_ptr<http_exchange>& exchange) {
        if (stopped_) {
          respond_stopping(*exchange);
        } else {
          std::make_shared<caller_request>(*caller_services_, exchange)->start();
        }
      },
      http_server_limits{.connections = shared_.connections.callers}, buffers_);
  buffers_->set_link_output([this] { return mesh_->unsent_output(); });
  api_ = std::make_unique<intent_api>(*this);
}

mesh_daemon::~mesh_daemon() {
  buffers_->stop();
}

void mesh_daemon::log_memory(const buffer_manager::refusal_counts& refusals) const {
  std::string refused;
  for (const auto& [reason, count] : refusals) {
    refused.append(refused.empty() ? "" : ",").append(to_string(reason)).append(":");
    refused.append(std::to_string(count));
  }
  LOG_EVENT(WARNING, "memory_limited")
      << field("refused", refused) << field("buffered_bytes", buffers_->account()->total())
      << field("budget", buffers_->account()->budget());
}

instance_record mesh_daemon::make_self() const {
  instance_record self;
  self.name = options_.instance.name;
  self.incarnation = shared_.incarnation;
  self.sequence = 1;
  self.state = instance_state::starting;
  self.domain = options_.instance.domain;
  self.region = options_.instance.region;
  self.service = options_.target.service;
  self.address = options_.listen.address;
  self.peer_port = options_.listen.peer_port;
  self.api_port = options_.listen.api_port;
  self.slots = options_.target.slots;
  return self;
}

peer_mesh::handlers mesh_daemon::mesh_handlers() {
  peer_mesh::handlers callbacks;
  callbacks.make_hello = [this](const instance_name& peer) {
    return wire::hello{membership_->instances().self(), distributor_->holder().current_digest(),
                       distributor_->reported_version_of(peer)};
  };
  callbacks.configuration_version = [this] { return distributor_->current()->version; };
  callbacks.configuration_digest = [this] { return distributor_->holder().current_digest(); };
  callbacks.find_endpoint = [this](const instance_name& name) {
    return membership_->find_endpoint(name);
  };
  callbacks.peer_established = [this](const instance_name& peer, const wire::hello& greeting) {
    membership_->peer_established(peer, greeting);
    distributor_->peer_established(peer, greeting.self.domain, greeting);
    router_->peer_established(peer);
    run_once_->peer_established(peer);
    if (const std::vector<crash_report> known_reports = suspicions_.all(); !known_reports.empty()) {
      mesh_->send(peer, wire::suspicions{known_reports});
    }
  };
  callbacks.peer_lost = [this](const instance_name& peer, const std::string&) {
    membership_->peer_lost(peer);
    router_->peer_lost(peer);
  };
  callbacks.session_replaced = [this](const instance_name& peer) {
    router_->session_replaced(peer);
  };
  callbacks.link_lost = [this](const instance_name& peer, std::uint64_t link) {
    target_->link_lost(peer, link);
  };
  callbacks.dial_failed = [this](const instance_name& peer) { router_->dial_failed(peer); };
  callbacks.version_reported = [this](const instance_name& peer, version_number version) {
    distributor_->version_reported(peer, version);
  };
  return callbacks;
}

target_gateway::handlers mesh_daemon::target_handlers() {
  target_gateway::handlers callbacks;
  callbacks.current_snapshot = [this] { return distributor_->current(); };
  callbacks.catch_up = [this](version_number version, std::function<void(bool)> done) {
    distributor_->when_caught_up(version, options_.timing.catch_up_limit_ms, std::move(done));
  };
  callbacks.send_response = [this](const instance_name& to, const wire::call_answer& response) {
    if (to == options_.instance.name) {
      router_->receive_local_response(response);
    } else {
      mesh_->send(to, response);
    }
  };
  callbacks.complete_claim = [this](const claim& granted_claim, verdict outcome, auto response) {
    run_once_->complete(granted_claim, outcome, std::move(response));
  };
  callbacks.broadcast_suspicions = [this](const auto& reports) { broadcast_suspicions(reports); };
  callbacks.readiness_changed = [this](bool) { review_state(); };
  return callbacks;
}

void mesh_daemon::start() {
  message_dispatcher& dispatcher = mesh_->dispatcher();
  dispatcher.on<wire::call>([this](const instance_name& from, const wire::call& request) {
    target_->receive(from, distributor_->reported_version_of(from), request);
  });
  dispatcher.on<wire::call_cancel>([this](const instance_name& from, const auto& content) {
    target_->cancel(from, mesh_->call_sender_incarnation(from, content), content.id);
  });
  dispatcher.on<wire::call_status>([this](const instance_name& from, const auto& query) {
    mesh_->send(from, target_->status(from, query));
  });
  dispatcher.on<wire::suspicions>([this](const instance_name& from, const auto& content) {
    receive_suspicions(from, content);
  });
  review_timer_ = loop_.every(review_interval, [this] { review_state(); });
  membership_->start();
  LOG_EVENT(INFO, "started") << field("instance", options_.instance.name)
                             << field("service", options_.target.service)
                             << field("caller_port", options_.listen.caller_port)
                             << field("peer_port", options_.listen.peer_port)
                             << field("api_port", options_.listen.api_port);
}

void mesh_daemon::broadcast_suspicions(const std::vector<crash_report>& reports) {
  if (!reports.empty()) {
    mesh_->send_to_all(wire::suspicions{reports});
  }
}

void mesh_daemon::receive_suspicions(const instance_name& from, const wire::suspicions& content) {
  std::vector<crash_report> new_reports;
  for (const crash_report& report : content.reports) {
    if (suspicions_.merge(report, event_loop::wall_now())) {
      new_reports.push_back(report);
    }
  }
  if (!new_reports.empty()) {
    mesh_->send_to_all(wire::suspicions{new_reports}, from);
  }
}

void mesh_daemon::directory_changed() {
  std::vector<instance_name> shard_owners;
  for (const instance_record& record : membership_->instances().live()) {
    if (record.state != instance_state::draining) {
      shard_owners.push_back(record.name);
    }
  }
  // A daemon that has just started knows only itself. It would take over all shards and so delay
  // the requests of their owners.
  const duration uptime = loop_.now() - started_at_;
  if (uptime >= options_.timing.heartbeat_timeout_ms) {
    run_once_->set_live_members(shard_owners);
  }
  refresh_upstreams();
}

void mesh_daemon::refresh_upstreams() {
  const snapshot_pointer current = distributor_->current();
  const time_point now = loop_.now();
  std::map<service_name, std::vector<upstream>> new_upstreams;
  for (const auto& [name, configured_service] : current->services) {
    std::vector<upstream>& members = new_upstreams[name];
    for (const instance_record& record : membership_->instances().ready_upstreams(name)) {
      members.push_back({record.name, record.domain, record.region, record.slots, now});
    }
  }
  for (auto& [name, members] : new_upstreams) {
    // An upstream that remains in the list keeps its `ready_since`, so its ramp does not start
    // again.
    for (upstream& member : members) {
      for (const upstream& previous : known_upstreams_[name]) {
        if (previous.instance == member.instance) {
          member.ready_since = previous.ready_since;
        }
      }
    }
    const service& description = current->services.at(name);
    selector_.set_upstreams(name, members, now, {description.connections_per_upstream, 0});
  }
  for (const auto& [name, members] : known_upstreams_) {
    if (!new_upstreams.contains(name)) {
      selector_.set_upstreams(name, {}, now);
    }
  }
  known_upstreams_ = std::move(new_upstreams);
}

void mesh_daemon::review_state() {
  suspicions_.expire(event_loop::wall_now());
  if (draining_) {
    continue_drain();
    return;
  }
  if (!shards_assigned_ && loop_.now() - started_at_ >= options_.timing.heartbeat_timeout_ms) {
    shards_assigned_ = true;
    directory_changed();
  }
  const bool ready = distributor_->ready() && target_->target_ready();
  membership_->set_self_state(ready ? instance_state::ready : instance_state::starting);
}

void mesh_daemon::begin_drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_deadline_ = loop_.now() + options_.timing.drain_limit_ms;
  target_->begin_drain();
  caller_server_->announce_close();
  membership_->set_self_state(instance_state::draining);
  LOG_EVENT(INFO, "drain_started") << field("instance", options_.instance.name);
}

void mesh_daemon::continue_drain() {
  const bool idle = target_->drained() && router_->waiting_calls() == 0 &&
                    run_once_->waiting_requests() == 0 && run_once_->unrecorded_completions() == 0;
  if (stopped_ || (!idle && loop_.now() < drain_deadline_)) {
    return;
  }
  stopped_ = true;
  LOG_EVENT(INFO, "drain_finished") << field("idle", idle ? "true" : "false");
  membership_->set_self_state(instance_state::left);
  membership_->withdraw([this] { stop(); });
}

/// Accepts no further connections, and ends the process once the requests that callers have sent
/// over the accepted ones have their responses.
void mesh_daemon::stop() {
  caller_server_->stop_accepting();
  stop_watch_.emplace(loop_.now(), flush_time, std::max(loop_.now() + stop_limit, drain_deadline_));
  review_timer_ = loop_.every(stop_check_interval, [this] {
    caller_server_->close_idle();
    const bool busy = caller_server_->active() > 0 || mesh_->links_with_responses() > 0;
    if (stop_watch_->may_end(busy, loop_.now())) {
      loop_.stop();
    }
  });
}

std::string mesh_daemon::render_metrics() {
  counters_.live_instances().Set(static_cast<double>(membership_->instances().live_count()));
  counters_.linked_peers().Set(static_cast<double>(mesh_->linked_peers().size()));
  counters_.platform_reachable().Set(platform_.reachable() ? 1 : 0);
  counters_.total("crocusdoor_peer_bytes_sent_total", "Bytes sent to other daemons")
      .Set(static_cast<double>(mesh_->bytes_sent()));
  counters_.total("crocusdoor_peer_bytes_received_total", "Bytes received from other daemons")
      .Set(static_cast<double>(mesh_->bytes_received()));
  counters_.set_link_traffic(mesh_->traffic());
  counters_.set_buffers(*buffers_);
  counters_.set_connections(caller_server_->connections(), shared_.connections.callers);
  counters_.total("crocusdoor_refused_messages_total", "Messages that were not valid")
      .Set(static_cast<double>(mesh_->refused_messages()));
  counters_.total("crocusdoor_platform_reads_total", "Read calls of the platform")
      .Set(static_cast<double>(platform_.reads()));
  counters_.total("crocusdoor_platform_writes_total", "Write calls of the platform")
      .Set(static_cast<double>(platform_.writes()));
  counters_.total("crocusdoor_platform_watches_total", "Watch calls of the platform")
      .Set(static_cast<double>(platform_.watches()));
  return counters_.render();
}

}  // namespace crocusdoor
