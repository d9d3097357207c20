#include "stand_ins/target_server.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "core/digest.h"
#include "core/random_source.h"
#include "stand_ins/control_document.h"
#include "stand_ins/delayed_actions.h"
#include "stand_ins/request_target.h"
#include "transport/http_server.h"

namespace crocusdoor::stand_ins {

namespace {

using exchange_pointer = std::shared_ptr<http_exchange>;

/// The service time of a straggler is multiplied by this (measure M4 of the design).
constexpr int straggler_factor = 50;
/// Service times are multiplied by this during the cold start.
constexpr int cold_factor = 10;

http_response json_response(int status, const json& document) {
  return {status,
          {{"Content-Type", "application/json"}},
          document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response not_run(int status, const std::string& reason) {
  http_response response = json_response(status, {{"error", reason}});
  response.headers["X-Not-Run"] = "true";
  return response;
}

/// The daemon beside the target puts this header on each request, and a target repeats it.
constexpr const char* exchange_id_header = "X-Exchange-Id";

std::string header(const http_request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

void respond(http_exchange& exchange, http_response response) {
  const std::string id = header(exchange.request(), exchange_id_header);
  if (!id.empty()) {
    response.headers[exchange_id_header] = id;
  }
  exchange.respond(response);
}

/// Slots in use from a point in time on.
struct load_reading {
  time_point at;
  std::size_t slots_in_use = 0;
};

/// A request that occupies a slot until its timer expires.
struct execution {
  exchange_pointer exchange;
  http_response response;
  std::uint64_t timer = 0;
};

}  // namespace

struct target_server::state {
  event_loop& loop;
  target_options options;
  random_source random;
  target_counts counts;
  std::map<std::string, std::uint64_t> executions;
  std::list<execution> running;
  std::vector<exchange_pointer> frozen;
  std::deque<load_reading> readings;
  target_fault_order faults;
  time_point warm_at;
  time_point slow_until{};
  time_point frozen_until{};
  time_point unhealthy_until{};
  delayed_actions delayed;
  std::unique_ptr<http_server> server;

  state(event_loop& server_loop, target_options initial_options)
      : loop(server_loop),
        options(std::move(initial_options)),
        random(options.seed),
        warm_at(loop.now() + options.cold_start),
        delayed(server_loop) {}

  void receive(const exchange_pointer& exchange) {
    const http_request& request = exchange->request();
    const std::string path = parse_request_target(request.target).path;
    if (path == "/control" || path.starts_with("/control/")) {
      exchange->respond(control_response(request, path));
    } else if (loop.now() < frozen_until) {
      ++counts.frozen;
      frozen.push_back(exchange);
    } else if (path == "/health") {
      exchange->respond(health());
    } else if (path == "/load") {
      exchange->respond(load());
    } else {
      run(exchange);
    }
  }

  http_response health() const {
    const bool healthy = loop.now() >= warm_at && loop.now() >= unhealthy_until;
    return json_response(healthy ? 200 : 503, {{"healthy", healthy}});
  }

  http_response load() const {
    std::size_t in_use = running.size();
    if (faults.load_lag_ms.count() > 0) {
      const time_point reported_time = loop.now() - faults.load_lag_ms;
      const auto later =
          std::find_if(readings.begin(), readings.end(),
                       [&](const load_reading& reading) { return reading.at > reported_time; });
      in_use = later == readings.begin() ? 0 : std::prev(later)->slots_in_use;
    }
    if (faults.load_lie >= 0) {
      in_use = static_cast<std::size_t>(faults.load_lie);
    }
    return json_response(200, {{"slots", options.slots}, {"slots_in_use", in_use}, {"queued", 0}});
  }

  http_response control_response(const http_request& request, const std::string& path) {
    if (path == "/control/counts" && request.method == "GET") {
      return json_response(200, encode_value(counts));
    }
    if (path == "/control/executions" && request.method == "GET") {
      return json_response(200, encode_value(executions));
    }
    if (path != "/control" || request.method != "POST") {
      return json_response(404, {{"error", "no such control"}});
    }
    return handle_failure(
        [&]() -> leaf::result<http_response> {
          BOOST_LEAF_CHECK(control(request.body));
          return json_response(200, json::object());
        },
        [](const failure& error) {
          return json_response(400, {{"error", error.message}});
        });
  }

  leaf::result<void> control(const std::string& order_document) {
    BOOST_LEAF_AUTO(order, parse_control_document<target_fault_order>(order_document));
    const time_point now = loop.now();
    faults = order;
    slow_until = now + order.for_ms;
    frozen_until = now + order.freeze_ms;
    unhealthy_until = now + order.unhealthy_ms;
    return {};
  }

  void run(const exchange_pointer& exchange) {
    ++counts.received;
    const http_request& request = exchange->request();
    std::uint64_t deadline = 0;
    const auto now_ms =
        static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count());
    if (parse_number(header(request, "X-Request-Deadline-Ms"), deadline) && deadline < now_ms) {
      ++counts.past_deadline;
      respond(*exchange, not_run(504, "the deadline has passed"));
    } else if (running.size() >= static_cast<std::size_t>(options.slots)) {
      ++counts.shed;
      respond(*exchange, not_run(503, "all slots are taken"));
    } else {
      start(exchange);
    }
  }

  void start(const exchange_pointer& exchange) {
    const http_request& request = exchange->request();
    ++counts.executed;
    const std::string key = header(request, "Idempotency-Key");
    const std::uint64_t count = key.empty() ? 0 : ++executions[key];
    if (request.body.find("crash-me") != std::string::npos && options.on_crash) {
      options.on_crash();
    }
    const auto position = running.insert(running.end(), {exchange, echo(request, key, count), 0});
    counts.most_at_once = std::max<std::uint64_t>(counts.most_at_once, running.size());
    record_load();
    position->timer = delayed.after(service_time(), [this, position] {
      const execution finished = *position;
      remove(position);
      respond(*finished.exchange, finished.response);
    });
    exchange->on_disconnect([this, position] {
      ++counts.cancelled;
      remove(position);
    });
  }

  http_response echo(const http_request& request, const std::string& key,
                     std::uint64_t count) const {
    return json_response(200, {{"target", options.name},
                               {"service", options.service},
                               {"method", request.method},
                               {"path", request.target},
                               {"body_digest", digest_of(request.body).str()},
                               {"idempotency_key", key},
                               {"execution", count}});
  }

  duration service_time() {
    if (options.service_time.count() == 0) {
      return duration::zero();
    }
    duration time = random.exponential(options.service_time);
    if (random.index(100) < static_cast<std::size_t>(options.straggler_percent)) {
      time *= straggler_factor;
    }
    if (loop.now() < warm_at) {
      time *= cold_factor;
    }
    return loop.now() < slow_until ? time * faults.slow_factor : time;
  }

  void remove(std::list<execution>::iterator position) {
    delayed.cancel(position->timer);
    running.erase(position);
    record_load();
  }

  void record_load() {
    constexpr std::size_t max_readings = 100'000;
    readings.push_back({loop.now(), running.size()});
    if (readings.size() > max_readings) {
      readings.pop_front();
    }
  }
};

target_server::target_server(event_loop& loop, const ip_endpoint& local, target_options options)
    : state_(std::make_unique<state>(loop, std::move(options))) {
  state_->server = std::make_unique<http_server>(
      loop, local,
      [raw = state_.get()](const exchange_pointer& exchange) { raw->receive(exchange); });
}

target_server::~target_server() {
  // The server is closed first: this runs the disconnect actions of the running requests, which
  // remove them.
  state_->server.reset();
}

std::uint16_t target_server::port() const noexcept {
  return state_->server->port();
}

const target_counts& target_server::counts() const noexcept {
  return state_->counts;
}

std::uint64_t target_server::executions(const std::string& idempotency_key) const {
  const auto found = state_->executions.find(idempotency_key);
  return found == state_->executions.end() ? 0 : found->second;
}

leaf::result<void> target_server::control(const std::string& order_document) {
  return state_->control(order_document);
}

}  // namespace crocusdoor::stand_ins
