#include "mesh_fixture.h"

#include <algorithm>

#include "platform/configuration_reader.h"

namespace crocusdoor {

namespace {

constexpr duration store_latency = std::chrono::milliseconds(1);
/// A change without a response is executed this late.
constexpr duration late_write_delay = std::chrono::milliseconds(400);
constexpr duration watch_poll = std::chrono::milliseconds(10);
/// Longer than any wait in the tests, so that it only ends a test that does not make progress.
constexpr duration test_limit = std::chrono::seconds(20);

/// Returns the next unused port, so that all instances of a test have different ports.
std::uint16_t next_port() {
  static std::uint16_t port = 23'000;
  return ++port;
}

ip_endpoint local(std::uint16_t port) {
  return {"127.0.0.1", port};
}

}  // namespace

void store_contents::go_back(const copy& older) {
  revision = older.revision;
  document = older.document;
  daemons = older.daemons;
  daemon_revisions = older.daemon_revisions;
  ++era;
}

void test_store::respond(std::function<void()> response) {
  ++contents_.calls;
  response_timers_.push_back(loop_.after(store_latency, std::move(response)));
}

configuration_read_result test_store::current_configuration() const {
  configuration_read_result result;
  result.outcome = store_outcome::refused;
  if (!reachable()) {
    return result;
  }
  result.outcome = contents_.document.empty() ? store_outcome::not_found : store_outcome::done;
  result.revision = contents_.revision;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(result.configuration, platform::decode_configuration(contents_.document));
        return {};
      },
      [](const failure&) {});
  return result;
}

void test_store::read_configuration(configuration_callback done) {
  respond([this, done] {
    (void)responds();
    done(current_configuration());
  });
}

void test_store::watch_configuration(std::uint64_t revision, duration wait,
                                     configuration_callback done) {
  const time_point end = loop_.now() + wait;
  ++contents_.calls;
  ++contents_.waiting;
  contents_.last_watch_revision = revision;
  watch_timer_ = loop_.every(watch_poll, [this, revision, end, done] {
    configuration_read_result result;
    result.outcome = store_outcome::done;
    result.revision = contents_.revision;
    if (!reachable() || contents_.revision > revision) {
      result = current_configuration();
    } else if (contents_.revision < revision) {
      result.outcome = store_outcome::history_gone;
    } else if (loop_.now() < end) {
      return;
    }
    watch_timer_ = nullptr;
    --contents_.waiting;
    (void)responds();
    done(result);
  });
}

void test_store::cancel_watch() {
  if (watch_timer_ != nullptr) {
    watch_timer_ = nullptr;
    --contents_.waiting;
  }
}

void test_store::list_daemons(listing_callback done) {
  respond([this, done] {
    daemon_listing listing;
    listing.outcome = responds() ? store_outcome::done : store_outcome::refused;
    listing.revisions = contents_.daemon_revisions;
    for (const auto& [name, entry] : contents_.daemons) {
      listing.daemons.push_back(entry);
    }
    done(listing);
  });
}

void test_store::read_daemon(const instance_name& name, write_callback done) {
  respond([this, name, done] {
    const auto found = contents_.daemon_revisions.find(name);
    if (!responds()) {
      done({store_outcome::refused, 0});
    } else if (found == contents_.daemon_revisions.end()) {
      done({store_outcome::not_found, 0});
    } else {
      done({store_outcome::done, found->second});
    }
  });
}

void test_store::announce_daemon(const daemon_entry& entry, outcome_callback done) {
  respond([this, entry, done] {
    const bool executed = responds();
    if (executed) {
      contents_.daemons.try_emplace(entry.name, entry).first->second.endpoint = entry.endpoint;
      contents_.daemon_revisions.try_emplace(entry.name, 1);
    }
    done(executed ? store_outcome::done : store_outcome::refused);
  });
}

void test_store::replace_daemon(const daemon_entry& entry, std::uint64_t revision,
                                write_callback done) {
  if (contents_.late_writes > 0) {
    --contents_.late_writes;
    response_timers_.push_back(
        loop_.after(late_write_delay, [this, entry, revision] { (void)write(entry, revision); }));
    respond([done] { done({store_outcome::unknown, 0}); });
    return;
  }
  respond([this, entry, revision, done] {
    const daemon_write result = write(entry, revision);
    if (const auto action = std::exchange(contents_.after_write, nullptr)) {
      action();
    }
    (void)responds();
    done(result);
  });
}

daemon_write test_store::write(const daemon_entry& entry, std::uint64_t revision) {
  const auto found = contents_.daemons.find(entry.name);
  if (!reachable() || found == contents_.daemons.end()) {
    return {reachable() ? store_outcome::not_found : store_outcome::refused, 0};
  }
  std::uint64_t& current = contents_.daemon_revisions[entry.name];
  if (revision != 0 && revision != current) {
    return {store_outcome::conflict, current};
  }
  found->second = entry;
  return {store_outcome::done, ++current};
}

void test_store::withdraw_daemon(const instance_name& entry, outcome_callback done) {
  respond([this, entry, done] {
    contents_.daemons.erase(entry);
    contents_.daemon_revisions.erase(entry);
    (void)responds();
    done(store_outcome::done);
  });
}

test_instance::test_instance(event_loop& loop, store_contents& contents, std::string given_name,
                             const std::string& given_service)
    : name(std::move(given_name)),
      id("i-" + name),
      service(given_service),
      loop_(loop),
      contents_(contents) {
  on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
    respond(*exchange, 200, "answer of " + name);
  };
  listen_as_target(0);
  sidecar_settings& options = options_;
  options.instance = {instance_name(name), failure_domain("a"), region_name("r")};
  options.listen = {local(next_port()), local(next_port()), local(next_port()), local(next_port()),
                    local(next_port())};
  options.target = {local(target->port()), service_name(service)};
  options.log.minimum_level = log_level::error;
  options.bounds.retry_slack = 100;
  restart_daemon();
  http_client_options caller_options;
  caller_options.connection_limit = 64;
  caller = std::make_unique<http_client>(loop, options.listen.callers, caller_options);
  registration =
      std::make_unique<http_client>(loop, options.listen.registration, http_client_options{});
  readiness = std::make_unique<http_client>(loop, options.listen.readiness, http_client_options{});
}

void test_instance::listen_as_target(std::uint16_t port) {
  target = std::make_unique<http_server>(loop_, local(port),
                                         [this](const std::shared_ptr<http_exchange>& exchange) {
                                           // A health check is not a request of a caller.
                                           if (exchange->request().target == "/health") {
                                             exchange->respond({503, {}, ""});
                                             return;
                                           }
                                           received.push_back(exchange->request());
                                           on_request(exchange);
                                         });
}

void test_instance::listen_without_responding(std::uint16_t port) {
  target = std::make_unique<http_server>(
      loop_, local(port),
      [this](const std::shared_ptr<http_exchange>& exchange) { unanswered_.push_back(exchange); });
}

void test_instance::crash_target() {
  unanswered_.clear();
  target = nullptr;
}

void test_instance::crash_target_keeping_its_address_open() {
  crash_target();
  listen_without_responding(options_.target.endpoint.port);
}

void test_instance::restart_target() {
  crash_target();
  listen_as_target(options_.target.endpoint.port);
  ++born_ms_;
  sequence_ = 0;
}

void test_instance::respond(http_exchange& exchange, int status, const std::string& body) const {
  exchange.respond({status,
                    {{"X-Attempt-Id", header_value(exchange.request().headers, "X-Attempt-Id")},
                     {"X-Response-Seal", "seal of " + name}},
                    body});
}

void test_instance::restart_daemon() {
  daemon = nullptr;
  daemon = std::make_unique<sidecar_daemon>(
      loop_, options_, platform::make_contract(),
      std::make_unique<test_store>(loop_, contents_, instance_name(name)),
      std::make_unique<test_rollout_store>(loop_, contents_));
}

void test_instance::restart_daemon_with(const std::function<void(sidecar_settings&)>& change) {
  change(options_);
  restart_daemon();
}

void test_instance::announce(const std::string& state) {
  announce_with_sequence(state, ++sequence_);
}

void test_instance::announce_with_sequence(const std::string& state, std::uint64_t sequence) {
  REQUIRE(send_heartbeat(state, sequence) == 200);
}

int test_instance::send_heartbeat(const std::string& state, std::uint64_t sequence) {
  const json heartbeat = {{"service", service},
                          {"address", "127.0.0.1:" + std::to_string(options_.target.endpoint.port)},
                          {"zone", "a"},
                          {"version", version},
                          {"capacity", 4},
                          {"state", state},
                          {"warmupLeftMs", 0},
                          {"sequence", sequence},
                          {"born", born_ms_}};
  return send_registration("PUT", heartbeat);
}

int test_instance::withdraw() {
  return send_registration("DELETE", {{"born", born_ms_}});
}

int test_instance::send_registration(const std::string& method, const json& body) {
  int status = 0;
  registration->send({method, "/instances/" + id, {}, body.dump()}, test_limit,
                     [&](const http_result& result) {
                       status = result.response.status;
                       loop_.stop();
                     });
  loop_.run();
  return status;
}

void test_instance::replace_target(const std::string& new_id) {
  restart_target();
  id = new_id;
}

test_instance& mesh_fixture::add(const std::string& name, const std::string& service) {
  instances.push_back(std::make_unique<test_instance>(loop, store, name, service));
  return *instances.back();
}

void mesh_fixture::configure(std::uint64_t version, const std::string& service,
                             std::chrono::milliseconds timeout) {
  const auto route = [&](const char* name, const char* prefix, const char* kind) {
    return json{{"name", name},      {"host", "h.example"},          {"pathPrefix", prefix},
                {"routeType", kind}, {"timeoutMs", timeout.count()}, {"targetLatencyMs", 500},
                {"priority", 1},     {"service", service},           {"attempts", 2}};
  };
  json document = {
      {"version", version},
      {"routes", {route("safe", "/safe/", "safe"), route("once", "/once/", "unsafe")}},
      {"services", {{{"name", service}, {"healthPath", "/health"}, {"maxConnections", 50}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", body_limit_bytes},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}}};
  if (!workspaces.empty()) {
    document["tenants"] = workspaces;
    document["routes"].push_back(route("open", "/open/", "safe"));
    document["routes"].back()["public"] = true;
  }
  store.document = document.dump();
  ++store.revision;
}

bool mesh_fixture::run_until(const std::function<bool()>& condition) {
  return run_for(test_limit, condition);
}

bool mesh_fixture::run_for(duration span, const std::function<bool()>& condition) {
  const timer_handle check = loop.every(std::chrono::milliseconds(2), [&] {
    if (condition()) {
      loop.stop();
    }
  });
  const timer_handle limit = loop.after(span, [&] { loop.stop(); });
  loop.run();
  return condition();
}

http_result mesh_fixture::call(test_instance& origin, const std::string& method,
                               const std::string& path, const std::string& body,
                               const http_headers& headers) {
  http_result received;
  http_request request{method, path, headers, body};
  request.headers["Host"] = "h.example";
  request.headers["X-Attempt-Id"] = "id-" + std::to_string(++calls_);
  request.headers["X-Deadline-Ms"] = "2000";
  origin.caller->send(std::move(request), test_limit, [&](const http_result& result) {
    received = result;
    loop.stop();
  });
  loop.run();
  return received;
}

std::set<std::string> mesh_fixture::services() const {
  std::set<std::string> names;
  for (const auto& instance : instances) {
    names.insert(instance->service);
  }
  return names;
}

void mesh_fixture::restart_all_daemons() {
  for (const auto& instance : instances) {
    instance->restart_daemon();
  }
  for (const auto& instance : instances) {
    instance->daemon->start();
  }
  for (const auto& instance : instances) {
    REQUIRE(run_until([&] { return instance->daemon->ready(); }));
  }
}

void mesh_fixture::start() {
  for (const auto& instance : instances) {
    instance->daemon->start();
  }
  for (const auto& instance : instances) {
    instance->announce("ready");
    REQUIRE(run_until([&] { return instance->daemon->ready(); }));
  }
  REQUIRE(run_until([&] {
    return std::all_of(instances.begin(), instances.end(), [&](const auto& instance) {
      std::size_t available = 0;
      for (const std::string& name : services()) {
        available += instance->daemon->available_upstreams(service_name(name));
      }
      return available == instances.size();
    });
  }));
}

}  // namespace crocusdoor
