#include "stand_ins/platform_server.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "stand_ins/delayed_actions.h"
#include "stand_ins/platform_faults.h"
#include "stand_ins/platform_store.h"
#include "stand_ins/request_target.h"

namespace crocusdoor::stand_ins {

namespace {

using exchange_pointer = std::shared_ptr<http_exchange>;

constexpr std::size_t value_limit_bytes = 1'000'000;
/// Above the limit of a value, so that a value that is too large is read and then refused with 413.
/// evhttp closes the connection of a request above its own limit, and the client may lose the
/// response.
constexpr std::size_t request_limit_bytes = 4 * value_limit_bytes;
/// JSON escapes at most double the size of a JSON value, so a listing of this size stays below the
/// body limit of the HTTP client.
constexpr std::size_t listing_limit_bytes = 400'000;
constexpr std::size_t listing_limit_objects = 1'000;
constexpr std::uint64_t watch_limit_ms = 60'000;

std::string format_entity_tag(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

http_response text_response(int status, const std::string& text) {
  return {status, {{"Content-Type", "text/plain"}}, text + "\n"};
}

http_response json_response(int status, const json& document) {
  return {status, {{"Content-Type", "application/json"}}, document.dump()};
}

http_response value_response(int status, const platform_store::object& content) {
  return {
      status,
      {{"Content-Type", "application/octet-stream"}, {"ETag", format_entity_tag(content.version)}},
      content.value};
}

std::optional<std::uint64_t> parse_entity_tag(const std::string& entity_tag) {
  std::uint64_t version = 0;
  const bool in_quotes =
      entity_tag.size() > 2 && entity_tag.front() == '"' && entity_tag.back() == '"';
  if (in_quotes && parse_number({entity_tag.data() + 1, entity_tag.size() - 2}, version)) {
    return version;
  }
  return std::nullopt;
}

/// Condition of a write, or nothing if If-Match or If-None-Match is malformed.
std::optional<write_condition> condition_of(const http_request& request) {
  write_condition condition;
  const auto match = request.headers.find("If-Match");
  if (match != request.headers.end()) {
    condition.must_exist = true;
    condition.version = parse_entity_tag(match->second);
    if (!condition.version.has_value() && match->second != "*") {
      return std::nullopt;
    }
  }
  const auto none_match = request.headers.find("If-None-Match");
  if (none_match != request.headers.end()) {
    condition.must_be_absent = true;
    if (none_match->second != "*") {
      return std::nullopt;
    }
  }
  return condition;
}

struct object_key {
  std::string kind;
  std::string name;  ///< Empty if the path names only the kind.
};

/// Reads "{kind}" or "{kind}/{name}" from the part of the path after the prefix.
std::optional<object_key> parse_object_key(const std::string& path, const std::string& prefix) {
  if (!path.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string rest = path.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  object_key key{rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
  return key.kind.empty() ? std::nullopt : std::optional(key);
}

/// Whether the value can be included in a listing: small enough and UTF-8.
bool listable(const std::string& value) {
  if (value.size() > listing_limit_bytes) {
    return false;
  }
  try {
    static_cast<void>(json(value).dump());
    return true;
  } catch (const json::type_error&) {
    return false;  // not UTF-8
  }
}

json listing(const platform_store::page& page) {
  json objects = json::array();
  for (const platform_store::listed_object& listed : page.objects) {
    json entry = {{"name", listed.name}, {"version", listed.content.version}, {"value", nullptr}};
    if (listable(listed.content.value)) {
      entry["value"] = listed.content.value;
    }
    objects.push_back(std::move(entry));
  }
  return {{"objects", objects}, {"next", page.next}};
}

/// A watch that waits for a version other than `after`.
struct waiting_watch {
  exchange_pointer exchange;
  object_key key;
  std::uint64_t after = 0;
  std::uint64_t timer = 0;
};

}  // namespace

struct platform_server::state {
  event_loop& loop;
  platform_store store;
  platform_faults faults;
  platform_counts counts;
  std::list<waiting_watch> watches;
  delayed_actions delayed;
  std::unique_ptr<http_server> server;

  explicit state(event_loop& server_loop) : loop(server_loop), delayed(server_loop) {}

  void receive(const exchange_pointer& exchange) {
    const http_request& request = exchange->request();
    const request_target target = parse_request_target(request.target);
    if (target.path.starts_with("/control")) {
      exchange->respond(control_response(request, target));
      return;
    }
    const bool write = request.method == "PUT" || request.method == "DELETE";
    const call_treatment treatment = faults.next(loop.now(), write);
    if (treatment.refused) {
      ++counts.refused;
      close(exchange);
    } else if (treatment.wait.count() > 0) {
      delayed.after(treatment.wait,
                    [this, exchange, target, drop_response = treatment.drop_response] {
                      process(exchange, target, drop_response);
                    });
    } else {
      process(exchange, target, treatment.drop_response);
    }
  }

  void close(const exchange_pointer& exchange) {
    loop.post([exchange] { exchange->close(); });
  }

  void process(const exchange_pointer& exchange, const request_target& target, bool drop_response) {
    const http_request& request = exchange->request();
    const auto watched_key = parse_object_key(target.path, "/v1/watch/");
    if (watched_key.has_value() && request.method == "GET" && !watched_key->name.empty()) {
      watch(exchange, *watched_key, target);
      return;
    }
    const http_response response = object_response(request, target);
    if (drop_response) {
      ++counts.answers_lost;
      close(exchange);
    } else {
      exchange->respond(response);
    }
  }

  http_response control_response(const http_request& request, const request_target& target) {
    if (target.path == "/control/counts" && request.method == "GET") {
      return json_response(200, encode_value(counts));
    }
    if (target.path != "/control" || request.method != "POST") {
      return text_response(404, "no such control");
    }
    return handle_failure(
        [&]() -> leaf::result<http_response> {
          BOOST_LEAF_CHECK(control(request.body));
          return json_response(200, json::object());
        },
        [](const failure& error) { return text_response(400, error.message); });
  }

  leaf::result<void> control(const std::string& order_document) {
    BOOST_LEAF_CHECK(faults.apply(order_document, loop.now()));
    if (faults.down(loop.now())) {
      while (!watches.empty()) {
        const exchange_pointer exchange = watches.front().exchange;
        remove(watches.begin());
        close(exchange);
      }
    }
    return {};
  }

  http_response object_response(const http_request& request, const request_target& target) {
    const auto key = parse_object_key(target.path, "/v1/objects/");
    if (!key.has_value()) {
      return text_response(404, "no such resource");
    }
    if (key->name.empty()) {
      return request.method == "GET" ? list(*key, target)
                                     : text_response(405, "a kind can only be listed");
    }
    if (request.method == "GET") {
      return read(*key, request);
    }
    if (request.method == "PUT" || request.method == "DELETE") {
      return write(*key, request);
    }
    return text_response(405, "accepted methods: GET, PUT, DELETE");
  }

  http_response list(const object_key& key, const request_target& target) {
    ++counts.lists;
    const std::size_t limit =
        std::clamp<std::size_t>(target.number("limit", 100), 1, listing_limit_objects);
    return json_response(
        200, listing(store.list(key.kind, target.text("prefix"), target.text("after"), limit,
                                listing_limit_bytes)));
  }

  http_response read(const object_key& key, const http_request& request) {
    ++counts.reads;
    const platform_store::object* found = store.find(key.kind, key.name);
    if (found == nullptr) {
      return text_response(404, "no such object");
    }
    const auto cached_tag = request.headers.find("If-None-Match");
    if (cached_tag != request.headers.end() &&
        cached_tag->second == format_entity_tag(found->version)) {
      return {304, {{"ETag", format_entity_tag(found->version)}}, ""};
    }
    return value_response(200, *found);
  }

  http_response write(const object_key& key, const http_request& request) {
    ++counts.writes;
    const auto condition = condition_of(request);
    if (!condition.has_value()) {
      return text_response(400, "If-Match takes one version in quotes or *, If-None-Match only *");
    }
    if (request.body.size() > value_limit_bytes) {
      return text_response(413, "a value has at most 1000000 bytes");
    }
    const bool put = request.method == "PUT";
    const write_outcome outcome = put ? store.put(key.kind, key.name, request.body, *condition)
                                      : store.erase(key.kind, key.name, *condition);
    if (outcome.applied) {
      notify(key);
      return put ? http_response{outcome.created ? 201 : 200,
                                 {{"ETag", format_entity_tag(outcome.version)}},
                                 ""}
                 : http_response{204, {}, ""};
    }
    if (!put && !outcome.existed && !condition->must_exist) {
      return text_response(404, "no such object");
    }
    ++counts.conflicts;
    http_response conflict = text_response(412, "the condition does not hold");
    if (outcome.version != 0) {
      conflict.headers["ETag"] = format_entity_tag(outcome.version);
    }
    return conflict;
  }

  void watch(const exchange_pointer& exchange, const object_key& key,
             const request_target& target) {
    ++counts.watches;
    const std::uint64_t after = target.number("after", 0);
    if (store.version_of(key.kind, key.name) != after) {
      exchange->respond(watch_response(key));
      return;
    }
    const auto wait =
        std::chrono::milliseconds(std::min(target.number("wait_ms", 0), watch_limit_ms));
    const auto position = watches.insert(watches.end(), {exchange, key, after, 0});
    counts.watches_waiting = watches.size();
    position->timer = delayed.after(wait, [this, position] {
      const exchange_pointer expired = position->exchange;
      remove(position);
      expired->respond({204, {}, ""});
    });
    exchange->on_disconnect([this, position] { remove(position); });
  }

  http_response watch_response(const object_key& key) const {
    const platform_store::object* found = store.find(key.kind, key.name);
    return found == nullptr ? text_response(404, "the object was removed")
                            : value_response(200, *found);
  }

  void remove(std::list<waiting_watch>::iterator position) {
    delayed.cancel(position->timer);
    watches.erase(position);
    counts.watches_waiting = watches.size();
  }

  void notify(const object_key& key) {
    for (auto next = watches.begin(); next != watches.end();) {
      const auto position = next++;
      if (position->key.kind == key.kind && position->key.name == key.name) {
        const exchange_pointer exchange = position->exchange;
        remove(position);
        exchange->respond(watch_response(key));
      }
    }
  }
};

platform_server::platform_server(event_loop& loop, const ip_endpoint& local)
    : state_(std::make_unique<state>(loop)) {
  state_->server = std::make_unique<http_server>(
      loop, local,
      [raw = state_.get()](const exchange_pointer& exchange) { raw->receive(exchange); },
      http_server_limits{.size = {.body_bytes = request_limit_bytes}});
}

platform_server::~platform_server() {
  // The server is closed first: this runs the disconnect actions of the waiting watches, which
  // remove them.
  state_->server.reset();
}

std::uint16_t platform_server::port() const noexcept {
  return state_->server->port();
}

const platform_counts& platform_server::counts() const noexcept {
  return state_->counts;
}

leaf::result<void> platform_server::control(const std::string& order_document) {
  return state_->control(order_document);
}

}  // namespace crocusdoor::stand_ins
