#include "sidecar/sidecar_daemon.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "core/rendezvous_hash.h"
#include "sidecar/outbound_request.h"

namespace crocusdoor {

namespace {

/// Paths of the operators' API on the metrics address; every other path returns the metrics.
constexpr const char* api_prefix = "/v1/";

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr duration first_redial_delay = std::chrono::milliseconds(50);
constexpr duration maximum_redial_delay = std::chrono::milliseconds(1'000);

/// The heartbeat interval of an idle link grows by this much with each link: with 67 links or more
/// an idle link has one heartbeat a second or fewer.
constexpr duration idle_interval_per_link = std::chrono::milliseconds(15);

/// A daemon that has started opens its links itself. A daemon with a greater name opens a missing
/// link to it only after this delay, in case the other daemon cannot.
constexpr duration passive_dial_delay = std::chrono::milliseconds(600);

/// After a change a daemon reports the era of the store to its peers for this long. All but those
/// that cannot be reached have heard of it by then.
constexpr duration era_report_time = std::chrono::minutes(1);

/// Daemons that add a refused request to their entries after the store has gone back. One of them
/// may have been lost at the same time without its peers having noticed.
constexpr std::size_t crash_count_keepers = 2;

/// Part of the bound on revocation that is left for the transit of a request and for differences
/// between the rates of clocks.
constexpr std::chrono::milliseconds revocation_margin{300};

/// Interval of the log lines about the traffic to other daemons.
constexpr duration traffic_log_interval = std::chrono::seconds(10);
constexpr duration connection_log_interval = std::chrono::seconds(1);

std::uint64_t start_incarnation() {
  return static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count());
}

freshness_limits proof_limits(const sidecar_bounds& bounds) {
  freshness_limits limits;
  if (bounds.fail_closed) {
    limits.admission = bounds.revocation_ms - revocation_margin;
  }
  return limits;
}

/// A random number that, other than `random_source`, cannot be derived from what a process sends.
std::uint64_t secret_seed() {
  std::random_device device;
  constexpr int half_bits = 32;
  return (std::uint64_t{device()} << half_bits) | device();
}

}  // namespace

sidecar_daemon::sidecar_daemon(event_loop& loop, sidecar_settings options,
                               platform_contract contract, std::unique_ptr<mesh_store> store,
                               std::unique_ptr<rollout_store> rollouts)
    : loop_(loop),
      options_(std::move(options)),
      contract_(std::move(contract)),
      retry_limit_{options_.bounds.retry_ratio, options_.bounds.retry_slack,
                   options_.bounds.retry_window_s},
      store_(std::move(store)),
      random_(stable_hash(options_.instance.name.str(), start_incarnation())),
      log_(loop_, options_.instance.name.str(), options_.log, STDOUT_FILENO),
      start_(loop_, log_, counters_),
      buffers_(std::make_shared<buffer_manager>(
          loop_, buffer_budget_bytes(options_.limits.memory_mb),
          [this](const buffer_manager::refusal_counts& refusals) { log_memory(refusals); })),
      shared_{loop_,
              random_,
              options_,
              contract_,
              retry_limit_,
              crashes_,
              log_,
              counters_,
              start_,
              buffers_,
              {options_.instance.name, start_incarnation()},
              divide_descriptors(
                  descriptor_limit(static_cast<std::size_t>(options_.limits.descriptors)),
                  buffer_budget_bytes(options_.limits.memory_mb))},
      upstreams_(options_.instance.domain) {
  mesh_ = std::make_unique<peer_mesh>(loop_, random_, mesh_settings(), mesh_handlers());
  buffers_->set_link_output([this] { return mesh_->unsent_output(); });
  entry_ = std::make_unique<entry_writer>(shared_, *store_);
  crash_exchange_ = std::make_unique<crash_count_exchange>(
      shared_, *entry_, [this](const std::vector<crash_count>& counts) {
        mesh_->send_to_all(wire::suspicions{{}, counts});
      });
  finder_ = std::make_unique<peer_finder>(
      shared_, *store_, *mesh_, [this](const daemon_listing& listing) { entries_listed(listing); });
  quotas_ = std::make_unique<quota_exchange>(
      shared_,
      quota_exchange::handlers{[this] { return mesh_->linked_peers(); },
                               [this](const instance_name& peer, const wire::message& content) {
                                 return mesh_->send(peer, content);
                               },
                               [this] { return finder_->daemon_count(); },
                               [this] { return finder_->listed(); }});
  configurations_ = std::make_unique<configuration_exchange>(
      configuration_context{loop_, random_, log_, counters_, secret_seed(),
                            proof_limits(options_.bounds),
                            [] { return time_point(event_loop::since_boot()); }},
      *store_, watcher_group(options_.instance.name, options_.instance.domain),
      configuration_exchange::handlers{
          [this](const route_table_pointer& table) { configuration_adopted(table); },
          [this](const instance_name& peer, const wire::shared_message& content) {
            mesh_->send(peer, content);
          },
          [this](const instance_name& peer) { mesh_->announce_version(peer); }});
  bodies_ = std::make_unique<body_sender>(
      shared_.self.incarnation, [this](const instance_name& to, const wire::body_part& part) {
        if (to == shared_.self.name) {
          loop_.post([this, part] { gateway_->body_received(shared_.self.name, part); });
        } else {
          mesh_->send(to, part);
        }
      });
  gateway_ = std::make_unique<inbound_gateway>(
      shared_,
      inbound_gateway::handlers{
          [this](const instance_name& to, const wire::call_answer& response) {
            if (to == shared_.self.name) {
              router_->receive_local_response(response);
            } else if (!mesh_->send(to, response)) {
              unclaimed_.lost(to, loop_.now());
            }
          },
          [this](const inbound_request& request) {
            return request.from == shared_.self.name ||
                   mesh_->read_received_data(request.from, request.call.link);
          },
          [this](const instance_name& from, const wire::body_request& request) {
            if (from == shared_.self.name) {
              bodies_->requested(from, request);
            } else {
              mesh_->send(from, request);
            }
          },
          [this] { status_changed(); },
          [this](const target_departure& departure) {
            const wire::target_departed content{shared_.self.name, departure.id, departure.born_ms,
                                                departure.start_known};
            departures_[shared_.self.name].add(departure);
            mesh_->send_to_all(content);
            entry_->add_departure(departure);
          },
          [this] { return configurations_->current(); },
          [this](const std::vector<crash_count>& counts) { crash_exchange_->changed(counts); }});
  rollouts_ = std::make_unique<rollout_service>(
      shared_, std::move(rollouts), rollout_table_, upstreams_,
      rollout_service::handlers{
          [this](const instance_name& to, const wire::message& content) {
            mesh_->send(to, content);
          },
          [this](const wire::message& content) { mesh_->send_to_all(content); },
          [this] { return mesh_->linked_peers(); }, [this] { return finder_->daemon_count(); },
          [this] { return finder_->listed() && !stop_->begun(); }});
  router_ = std::make_unique<call_router>(
      loop_, shared_.self, *mesh_,
      call_router::handlers{[this](const wire::call& request) {
                              gateway_->work().receive(shared_.self.name, request);
                            },
                            [this](wire::request_id id) {
                              gateway_->work().cancel(shared_.self.name, shared_.self.incarnation,
                                                      id);
                            },
                            [this] { counters_.count_unmatched_response(); },
                            [this](const instance_name& to, wire::request_id id, bool sent) {
                              call_cancelled(to, id, sent);
                            }});
  services_ = std::make_unique<outbound_services>(outbound_services{
      shared_, *router_, upstreams_, rotation_, retries_, rollout_table_, *quotas_,
      [this] { return configurations_->current(); }, [this] { return stop_->end_of_process(); },
      [this] { return finder_->daemon_count(); },
      [this](const instance_name& to, const std::vector<crash_count>& counts) {
        if (to != shared_.self.name) {
          mesh_->send(to, wire::suspicions{{}, counts});
        }
      },
      [this] { return configurations_->freshness().proof(); },
      [this](std::function<void()> action) {
        return configurations_->freshness().await_change(std::move(action));
      },
      *bodies_,
      [this](const instance_name& instance) {
        return instance == shared_.self.name || streaming_peers_.contains(instance);
      }});
  connect_dispatcher();
  store_->on_new_era([this](const era_change& change) { store_era_changed(change); });
  callers_ = std::make_unique<http_server>(
      loop_, options_.listen.callers,
      [this](const std::shared_ptr<http_exchange>& exchange) {
        std::make_shared<outbound_request>(*services_, exchange)->start();
      },
      http_server_limits{.connections = shared_.connections.callers}, buffers_);
  readiness_ = std::make_unique<http_server>(
      loop_, options_.listen.readiness,
      [this](const std::shared_ptr<http_exchange>& exchange) { answer_readiness(*exchange); },
      http_server_limits{.connections = shared_.connections.others}, buffers_);
  suspicion_api_ = std::make_unique<suspicion_api>(
      shared_,
      [this](const std::vector<crash_count>& counts) { crash_exchange_->changed(counts); });
  metrics_server_ = std::make_unique<http_server>(
      loop_, options_.listen.metrics,
      [this](const std::shared_ptr<http_exchange>& exchange) {
        if (exchange->request().target.starts_with(api_prefix)) {
          suspicion_api_->answer(exchange);
        } else {
          answer_metrics(*exchange);
        }
      },
      http_server_limits{.connections = shared_.connections.others}, buffers_);
  registration_ = std::make_unique<registration_server>(shared_, *gateway_, *entry_);
  stop_ = std::make_unique<planned_stop>(
      planned_stop::context{loop_, log_, *callers_, registration_->server(), gateway_->work(),
                            *mesh_, unclaimed_},
      options_.bounds.stop_s);
}

sidecar_daemon::~sidecar_daemon() {
  buffers_->stop();
}

peer_mesh::configuration sidecar_daemon::mesh_settings() const {
  const exchange_headers& headers = contract_.headers;
  return {options_.instance.name,
          options_.listen.peers,
          options_.links.heartbeat_interval_ms,
          idle_interval_per_link,
          options_.links.silence_limit_ms,
          first_redial_delay,
          maximum_redial_delay,
          false,
          passive_dial_delay,
          options_.instance.domain,
          {headers.attempt_id, headers.deadline_ms, headers.seal, headers.expected_target,
           headers.caller_service, headers.target_id}};
}

instance_record sidecar_daemon::self_record() const {
  instance_record self;
  self.name = shared_.self.name;
  self.incarnation = shared_.self.incarnation;
  self.sequence = record_sequence_;
  self.domain = options_.instance.domain;
  self.region = options_.instance.region;
  self.service = options_.target.service;
  self.address = options_.listen.peers.address;
  self.peer_port = options_.listen.peers.port;
  self.api_port = options_.listen.metrics.port;
  self.state = gateway_->takes_requests() ? instance_state::ready : instance_state::starting;
  if (stop_->begun()) {
    self.state = instance_state::draining;
  }
  if (const auto& target = gateway_->registry().target()) {
    self.service = target->announcement.service;
    self.slots = target->announcement.slots;
    self.target_version = target->announcement.version;
    const duration warmup = target->warm_at - loop_.now();
    self.warmup_left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(warmup, duration::zero()));
  }
  return self;
}

peer_mesh::handlers sidecar_daemon::mesh_handlers() {
  peer_mesh::handlers callbacks;
  callbacks.make_hello = [this](const instance_name&) {
    return wire::hello{
        .self = self_record(), .configuration_digest = digest(), .streams_bodies = true};
  };
  callbacks.configuration_version = [this] { return configurations_->version(); };
  callbacks.configuration_digest = [] { return digest(); };
  callbacks.load = [this] { return std::optional(gateway_->work().load()); };
  callbacks.store_era = [this] {
    return loop_.now() < era_reported_until_ ? store_->era() : std::nullopt;
  };
  callbacks.find_endpoint = [this](const instance_name& name) { return finder_->find(name); };
  callbacks.peer_established = [this](const instance_name& peer, const wire::hello& greeting) {
    peer_introduced(peer, greeting.self);
    if (greeting.streams_bodies) {
      streaming_peers_.insert(peer);
    } else {
      streaming_peers_.erase(peer);
    }
    // Before the record below, from which on the peer sends requests here.
    rollouts_->peer_established(peer);
    // The hello of this daemon may be older than its latest change of state, which was sent only
    // over links that were established then.
    mesh_->send(peer, wire::records{{self_record()}});
    for (const instance_name& instance : {shared_.self.name, peer}) {
      send_departures(peer, instance);
    }
    if (!crashes_.empty()) {
      mesh_->send(peer, wire::suspicions{{}, crashes_.all()});
    }
    router_->peer_established(peer);
  };
  callbacks.peer_lost = [this](const instance_name& peer, const std::string& reason) {
    peer_lost(peer, reason);
  };
  callbacks.link_lost = [this](const instance_name& peer, std::uint64_t link) {
    gateway_->work().link_lost(peer, link);
  };
  callbacks.responses_unsent = [this](const instance_name& peer, const std::string& reason) {
    unclaimed_.lost(peer, loop_.now());
    counters_.count_undelivered_response("peer", "link_lost");
    log_.warning("responses_unsent", {{"peer", peer.str()}, {"reason", reason}});
  };
  callbacks.dial_failed = [this](const instance_name& peer) { router_->dial_failed(peer); };
  callbacks.session_replaced = [this](const instance_name& peer) {
    router_->session_replaced(peer);
  };
  callbacks.peer_replaced = [this](const instance_name& peer) { finder_->forget(peer); };
  callbacks.version_reported = [this](const instance_name& peer, version_number version) {
    configurations_->version_seen(peer, version);
    quotas_->version_reported(peer, version);
  };
  return callbacks;
}

void sidecar_daemon::connect_dispatcher() {
  message_dispatcher& dispatcher = mesh_->dispatcher();
  dispatcher.on<wire::call>([this](const instance_name& from, const wire::call& request) {
    gateway_->work().receive(from, request);
  });
  dispatcher.on<wire::body_request>([this](const instance_name& from, const auto& request) {
    bodies_->requested(from, request);
  });
  dispatcher.on<wire::body_part>([this](const instance_name& from, const wire::body_part& part) {
    gateway_->body_received(from, part);
  });
  dispatcher.on<wire::call_cancel>([this](const instance_name& from, const auto& content) {
    gateway_->work().cancel(from, mesh_->call_sender_incarnation(from, content), content.id);
  });
  dispatcher.on<wire::call_status>([this](const instance_name& from, const auto& query) {
    if (mesh_->send(from, gateway_->work().status(from, query))) {
      unclaimed_.claimed(from);
    }
  });
  dispatcher.on<wire::records>([this](const instance_name& from, const wire::records& content) {
    for (const instance_record& record : content.changed) {
      record_received(from, record);
    }
  });
  dispatcher.on<wire::target_departed>(
      [this](const instance_name&, const auto& content) { departure_received(content); });
  dispatcher.on<wire::suspicions>([this](const instance_name& from, const auto& content) {
    crash_exchange_->received(from, content.counts);
  });
  dispatcher.on<wire::heartbeat>([this](const instance_name& from, const auto& heartbeat) {
    if (heartbeat.load.has_value()) {
      upstreams_.load_reported(from, *heartbeat.load, loop_.now());
    }
    store_->peer_reported_era(heartbeat.store_era);
  });
  configurations_->connect(dispatcher);
  rollouts_->connect(dispatcher);
  quotas_->connect(dispatcher);
}

void sidecar_daemon::start() {
  log_.info("started", {{"incarnation", shared_.self.incarnation},
                        {"service", options_.target.service.str()},
                        {"domain", options_.instance.domain.str()},
                        {"callers", to_string(options_.listen.callers)},
                        {"peers", to_string(options_.listen.peers)}});
  configurations_->start();
  finder_->start();
  crash_exchange_->start();
  rollouts_->start();
  traffic_log_timer_ = loop_.every(traffic_log_interval, [this] { log_traffic(); });
  connection_log_timer_ = loop_.every(connection_log_interval, [this] { log_connections(); });
  measure_loop_delay();
}

void sidecar_daemon::reload(const sidecar_settings& options) {
  options_.log = options.log;
  log_.configure(options.log);
  log_.info("settings_reloaded", {{"lines_per_s", options.log.lines_per_s}});
}

void sidecar_daemon::introduce_peer(const instance_name& name, const ip_endpoint& endpoint) {
  finder_->introduce(name, endpoint);
}

void sidecar_daemon::peer_introduced(const instance_name& peer, const instance_record& record) {
  finder_->introduce(peer, {record.address, record.peer_port});
  log_.info("peer_linked", {{"peer", peer.str()},
                            {"incarnation", record.incarnation},
                            {"state", std::string(to_string(record.state))}});
  const std::size_t links = mesh_->linked_peers().size();
  counters_.linked_peers().Set(static_cast<double>(links));
  start_.reached(start_phase::first_link);
  if (finder_->listed() && links + 1 >= finder_->daemon_count()) {
    start_.reached(start_phase::all_links);
  }
  instance_record introduced = record;
  if (options_.bounds.exposure_share > 0 && record.state == instance_state::ready &&
      upstreams_.find(peer) == nullptr) {
    // The peer's rollouts follow, and then its record again: no request may go to its target
    // without knowing them.
    introduced.state = instance_state::starting;
  }
  record_received(peer, introduced);
  gateway_->work().peer_established(peer, record.incarnation);
}

void sidecar_daemon::record_received(const instance_name& peer, const instance_record& record) {
  // Two sessions with the same peer may deliver its records in the wrong order.
  const std::pair order(record.incarnation, record.sequence);
  auto& newest = newest_records_[peer];
  if (record.name != peer || order < newest) {
    return;
  }
  newest = order;
  configurations_->set_peer(peer, {record.domain, record.state == instance_state::draining});
  quotas_->set_peer(peer, record.state == instance_state::draining);
  upstreams_.set_upstream({peer, record.service, record.domain, record.slots,
                           record.state == instance_state::ready,
                           loop_.now() + record.warmup_left_ms, record.target_version});
}

/// Restores what the entries have kept over a restart of all daemons. A daemon that the store turns
/// away learns its departures from its peers.
void sidecar_daemon::entries_listed(const daemon_listing& listing) {
  entry_->restore(listing);
  for (const target_departure& departure : entry_->departures()) {
    gateway_->restore_departure(departure);
  }
  for (const daemon_entry& entry : listing.daemons) {
    bool learned = false;
    for (const target_departure& departure : entry.departures) {
      learned |=
          departure_received({entry.name, departure.id, departure.born_ms, departure.start_known});
    }
    if (learned && entry.name != shared_.self.name) {
      send_departures(entry.name, entry.name);
    }
  }
  crash_exchange_->restore(listing.daemons);
}

bool sidecar_daemon::departure_received(const wire::target_departed& content) {
  const target_departure departure{content.target_id, content.born_ms, content.start_known};
  const bool learned = departures_[content.instance].add(departure);
  if (learned && content.instance == shared_.self.name) {
    gateway_->restore_departure(departure);
  }
  return learned;
}

/// Sends what is known of the departures at an instance to a peer, if there is a link to it.
void sidecar_daemon::send_departures(const instance_name& peer, const instance_name& instance) {
  const auto found = departures_.find(instance);
  if (found == departures_.end()) {
    return;
  }
  for (const target_departure& departure : found->second.all()) {
    mesh_->send(peer, wire::target_departed{instance, departure.id, departure.born_ms,
                                            departure.start_known});
  }
}

void sidecar_daemon::peer_lost(const instance_name& peer, const std::string& reason) {
  log_.warning("peer_lost", {{"peer", peer.str()}, {"reason", reason}});
  counters_.linked_peers().Set(static_cast<double>(mesh_->linked_peers().size()));
  configurations_->peer_lost(peer);
  quotas_->peer_lost(peer);
  upstreams_.remove(peer);
  router_->peer_lost(peer);
}

void sidecar_daemon::store_era_changed(const era_change& change) {
  log_.warning("store_era_changed", {{"previous", change.previous},
                                     {"era", change.era},
                                     {"origin", change.from_peer ? "peer" : "store"},
                                     {"version", configurations_->version()}});
  era_reported_until_ = loop_.now() + era_report_time;
  configurations_->store_era_changed();
  // The copy may lack a version that removes keys.
  configurations_->freshness().distrust_store();
  entry_->store_era_changed();
  finder_->store_era_changed();
  rollouts_->store_era_changed(change.era);
  crash_exchange_->store_era_changed([this](const digest& request) {
    std::vector<instance_name> daemons = mesh_->linked_peers();
    daemons.push_back(shared_.self.name);
    const std::vector<instance_name> keepers =
        top_by_rendezvous(request.str(), std::move(daemons), crash_count_keepers);
    return std::find(keepers.begin(), keepers.end(), shared_.self.name) != keepers.end();
  });
  if (!change.from_peer) {
    mesh_->announce_version();
  }
}

void sidecar_daemon::call_cancelled(const instance_name& to, wire::request_id id, bool sent) {
  counters_.count_cancellation(sent ? "sent" : "not_sent");
  if (!sent) {
    log_.request(log_level::warning, "cancellation_not_sent",
                 {{"upstream", to.str()}, {"call", id}});
  }
}

void sidecar_daemon::status_changed() {
  ++record_sequence_;
  const instance_record self = self_record();
  if (self.state == instance_state::ready) {
    start_.reached(start_phase::target_known);
  }
  upstreams_.set_upstream({self.name, self.service, self.domain, self.slots,
                           self.state == instance_state::ready, loop_.now() + self.warmup_left_ms,
                           self.target_version});
  mesh_->send_to_all(wire::records{{self}});
}

void sidecar_daemon::configuration_adopted(const route_table_pointer& table) {
  start_.reached(start_phase::configured);
  const caller_limits& limits = table->content().limits;
  http_server_limits server_limits;
  server_limits.size.header_bytes = limits.header_bytes;
  server_limits.size.body_bytes = limits.body_bytes;
  server_limits.held_body_bytes = http_body_limit_bytes;
  server_limits.header_timeout = limits.header_timeout_ms;
  server_limits.idle_timeout = limits.idle_timeout_ms;
  server_limits.connections = shared_.connections.callers;
  callers_->set_limits(server_limits);
  quotas_->configure(table->content());
  gateway_->probe_target();
}

bool sidecar_daemon::ready() const {
  return !stop_->begun() && configurations_->current() != nullptr &&
         (finder_->listed() || !mesh_->linked_peers().empty());
}

void sidecar_daemon::answer_readiness(http_exchange& exchange) {
  if (exchange.request().target != contract_.readiness_path) {
    exchange.respond({status_not_found, {}, ""});
    return;
  }
  exchange.respond({ready() ? status_ok : status_unavailable, {}, ""});
}

void sidecar_daemon::begin_stop() {
  if (stop_->begun()) {
    return;
  }
  stop_->begin();
  configurations_->leave();
  status_changed();
  if (!gateway_->takes_requests()) {
    // A target that is leaving may run on and send heartbeats to the next process; its departure
    // must not go with the entry.
    gateway_->check_target_ended([this] {
      entry_->close();
      finder_->withdraw();
    });
  }
}

}  // namespace crocusdoor
