#include "daemon/target_client.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);

/// Id of one exchange with the target. The target repeats it in its response, so that a second copy
/// of a response is not taken for the response to the next request on the connection.
constexpr const char* exchange_id_header = "X-Exchange-Id";

/// Headers that apply to one connection only and are not forwarded.
constexpr std::array<std::string_view, 7> connection_headers = {
    "Connection",        "Content-Length",  "Host", "Keep-Alive", "Upgrade",
    "Transfer-Encoding", exchange_id_header};

bool is_connection_header(const std::string& name) {
  const header_name_less less;
  return std::any_of(connection_headers.begin(), connection_headers.end(), [&](auto header) {
    const std::string text(header);
    return !less(text, name) && !less(name, text);
  });
}

/// Whether the target reports, by the header that its contract defines, that it has not run the
/// request.
bool reports_not_run(const http_response& response) {
  const auto found = response.headers.find("X-Not-Run");
  return response.status >= 500 && found != response.headers.end() && found->second == "true";
}

wire::call_answer response_of(const http_result& result) {
  wire::call_answer response;
  switch (result.outcome) {
    case http_outcome::not_sent:
      response.outcome = verdict::not_run;
      response.reason = "target_unreachable";
      return response;
    case http_outcome::interrupted:
    case http_outcome::garbled:
      response.outcome = verdict::may_have_run;
      response.reason = "target_connection_lost";
      return response;
    case http_outcome::timed_out:
      response.outcome = verdict::may_have_run;
      response.reason = "target_timed_out";
      return response;
    case http_outcome::answered:
      break;
  }
  if (reports_not_run(result.response)) {
    response.outcome = verdict::not_run;
    response.reason = "target_refused";
    return response;
  }
  response.outcome = verdict::ran;
  response.status = result.response.status;
  for (const auto& [name, value] : result.response.headers) {
    if (!is_connection_header(name)) {
      response.headers[name] = value;
    }
  }
  response.body.bytes = result.response.body;
  return response;
}

}  // namespace

target_client::target_client(const daemon_context& shared)
    : shared_(shared),
      client_(shared.loop, {shared.options.target.address, shared.options.target.port},
              {.connection_limit = static_cast<std::size_t>(shared.options.target.connections)}),
      probe_client_(shared.loop, {shared.options.target.address, shared.options.target.port}, {}) {}

http_call target_client::send(const wire::call& request, time_point deadline, callback done) {
  http_request outgoing;
  outgoing.method = request.method;
  outgoing.target = request.path;
  outgoing.body = request.body.bytes;
  for (const auto& [name, value] : request.headers) {
    if (!is_connection_header(name)) {
      outgoing.headers[name] = value;
    }
  }
  const duration left = deadline - shared_.loop.now();
  const wall_time wall_deadline =
      event_loop::wall_now() + std::chrono::duration_cast<std::chrono::milliseconds>(left);
  outgoing.headers["X-Request-Deadline-Ms"] =
      std::to_string(wall_deadline.time_since_epoch().count());
  outgoing.headers["traceparent"] = request.traceparent;
  const std::string id = std::to_string(shared_.incarnation) + "-" + std::to_string(++exchanges_);
  outgoing.headers[exchange_id_header] = id;
  return client_.send(
      std::move(outgoing), left,
      [done = std::move(done)](const http_result& result) {
        done(response_of(result), result.outcome == http_outcome::interrupted);
      },
      [id](const http_response& response, bool new_connection) {
        return match_by_id(header_value(response.headers, exchange_id_header), id, new_connection);
      });
}

void target_client::probe(std::function<void(bool)> done) {
  probe_client_.send(
      {"GET", shared_.options.target.health_path, {}, {}}, probe_timeout,
      [done = std::move(done)](const http_result& result) {
        done(result.outcome == http_outcome::answered && result.response.status < 400);
      });
}

}  // namespace crocusdoor
