#include "surroundings.h"

#include <string>
#include <utility>

#include "core/digest.h"

namespace crocusdoor::test {

namespace {

constexpr const char* loopback = "127.0.0.1";
constexpr std::chrono::milliseconds heartbeat_interval{500};
constexpr std::chrono::milliseconds stop_check_interval{20};
constexpr std::chrono::seconds heartbeat_timeout{5};
constexpr std::chrono::milliseconds longest_watch{500};
constexpr std::size_t largest_body_bytes = 100'000'000;

std::string to_text(std::uint16_t port) {
  return std::string(loopback) + ":" + std::to_string(port);
}

json make_configuration(std::size_t body_limit_bytes) {
  return {
      {"version", 1},
      {"routes",
       {{{"name", "uploads"},
         {"host", "uploads.example"},
         {"pathPrefix", "/"},
         {"routeType", "safe"},
         {"attempts", 1},
         {"timeoutMs", 10'000},
         {"targetLatencyMs", 5'000},
         {"priority", 1},
         {"service", "uploads"}}}},
      {"services", {{{"name", "uploads"}, {"healthPath", "/healthz"}, {"maxConnections", 1'000}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", body_limit_bytes},
        {"headerTimeoutMs", 60'000},
        {"idleTimeoutMs", 60'000}}}};
}

void respond_json(http_exchange& exchange, int status, const json& body) {
  exchange.respond({status, {{"Content-Type", "application/json"}}, body.dump()});
}

}  // namespace

surroundings::surroundings(const sidecar_ports& ports, target_pattern pattern,
                           std::size_t body_limit_bytes)
    : ports_(ports),
      pattern_(pattern),
      configuration_(make_configuration(body_limit_bytes)),
      born_ms_(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              event_loop::wall_now().time_since_epoch())
                                              .count())),
      thread_([this] { run(); }) {}

surroundings::~surroundings() {
  stopped_ = true;
  thread_.join();
}

void surroundings::run() {
  // Larger than any request of the tests, so that only the sidecar limits them.
  http_server_limits limits;
  limits.size.body_bytes = largest_body_bytes;
  const http_server store(
      loop_, {loopback, ports_.store},
      [this](const std::shared_ptr<http_exchange>& exchange) { answer_store(exchange); }, limits);
  const http_server target(
      loop_, {loopback, ports_.target},
      [this](const std::shared_ptr<http_exchange>& exchange) { answer_target(exchange); }, limits);
  http_client registration(loop_, {loopback, ports_.registration}, {});
  const timer_handle heartbeats =
      loop_.every(heartbeat_interval, [&] { send_heartbeat(registration); });
  const timer_handle stop_check = loop_.every(stop_check_interval, [this] {
    if (stopped_) {
      loop_.stop();
    }
  });
  loop_.run();
  delays_.clear();
}

void surroundings::answer_store(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const json main = {{"metadata", {{"name", "main"}, {"revision", 1}}}, {"spec", configuration_}};
  if (request.method != "GET") {
    entry_ = json::parse(request.body, nullptr, false);
    if (entry_.is_object()) {
      entry_["metadata"]["revision"] = 2;
    }
    respond_json(*exchange, 200, entry_);
  } else if (request.target.starts_with("/objects/config/main")) {
    respond_json(*exchange, 200, main);
  } else if (request.target.starts_with("/objects/config?watch=")) {
    delays_.push_back(loop_.after(longest_watch, [exchange] {
      respond_json(*exchange, 200, {{"events", json::array()}, {"storeRevision", 2}});
    }));
  } else {
    const json items = entry_.is_object() ? json::array({entry_}) : json::array();
    respond_json(*exchange, 200, {{"items", items}, {"truncated", false}, {"storeRevision", 2}});
  }
}

void surroundings::answer_target(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const std::string id = header_value(request.headers, "X-Attempt-Id");
  http_response response{200,
                         {{"X-Attempt-Id", id},
                          {"X-Response-Seal", "seal-" + id},
                          {"X-Instance-Id", "target-1"},
                          {"X-Body-Bytes", std::to_string(request.body.size())},
                          {"X-Body-Hash", std::to_string(stable_hash(request.body))}},
                         "done"};
  if (pattern_.closes_connections) {
    response.headers["Connection"] = "close";
  }
  if (request.target == "/healthz" || pattern_.work.count() == 0) {
    exchange->respond(response);
    return;
  }
  delays_.push_back(
      loop_.after(pattern_.work, [exchange, response] { exchange->respond(response); }));
}

void surroundings::send_heartbeat(http_client& registration) {
  const json body = {
      {"service", "uploads"}, {"address", to_text(ports_.target)}, {"zone", "zone-1"},
      {"version", "v1"},      {"capacity", pattern_.slots},        {"state", "ready"},
      {"warmupLeftMs", 0},    {"sequence", ++heartbeats_},         {"born", born_ms_}};
  registration.send(
      {"PUT", "/instances/target-1", {{"Content-Type", "application/json"}}, body.dump()},
      heartbeat_timeout, [](const http_result&) {});
}

}  // namespace crocusdoor::test
