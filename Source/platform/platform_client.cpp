#include "platform/platform_client.h"

#include <charconv>
#include <utility>

#include "core/record_codec.h"

namespace crocusdoor {

namespace {

constexpr std::size_t watch_connection_limit = 1;
/// Time added to the wait of a watch before the call counts as timed out: the platform sends its
/// response when the wait ends.
constexpr duration watch_response_slack = std::chrono::seconds(2);

std::string object_path(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + kind + "/" + name;
}

object_version parse_version(const http_response& response) {
  const auto tag = response.headers.find("ETag");
  if (tag == response.headers.end() || tag->second.size() < 2) {
    return 0;
  }
  object_version version = 0;
  const std::string& text = tag->second;
  std::from_chars(text.data() + 1, text.data() + text.size() - 1, version);
  return version;
}

platform_outcome outcome_of(const http_result& call_result) {
  if (call_result.outcome == http_outcome::not_sent) {
    return platform_outcome::not_applied;
  }
  if (call_result.outcome != http_outcome::answered) {
    return platform_outcome::unknown;
  }
  switch (call_result.response.status) {
    case 200:
    case 201:
      return platform_outcome::ok;
    case 204:
    case 404:
      return platform_outcome::absent;
    case 412:
      return platform_outcome::conflict;
    case 400:
    case 413:
    case 429:
    case 503:
      return platform_outcome::not_applied;
    default:
      return platform_outcome::unknown;
  }
}

std::vector<platform_object> parse_listing(const json& document) {
  std::vector<platform_object> objects;
  const auto entries = document.find("objects");
  if (entries == document.end() || !entries->is_array()) {
    return objects;
  }
  for (const json& entry : *entries) {
    const bool complete = entry.is_object() && entry.value("name", json()).is_string() &&
                          entry.value("value", json()).is_string() &&
                          entry.value("version", json()).is_number_unsigned();
    if (complete) {
      objects.push_back({entry["name"], entry["version"], entry["value"]});
    }
  }
  return objects;
}

}  // namespace

platform_client::platform_client(event_loop& loop, const ip_endpoint& remote, duration timeout,
                                 int connections)
    : timeout_(timeout),
      calls_(loop, remote, {.connection_limit = static_cast<std::size_t>(connections)}),
      watcher_(loop, remote, {.connection_limit = watch_connection_limit}) {}

platform_result platform_client::to_platform_result(const http_result& call_result) {
  reachable_ = call_result.outcome == http_outcome::answered && call_result.response.status < 500;
  platform_result result;
  result.outcome = outcome_of(call_result);
  result.object.version = parse_version(call_result.response);
  result.object.value = call_result.response.body;
  return result;
}

void platform_client::read(const std::string& kind, const std::string& name, object_callback done) {
  ++reads_;
  calls_.send({"GET", object_path(kind, name), {}, {}}, timeout_,
              [this, name, done = std::move(done)](const http_result& call_result) {
                platform_result result = to_platform_result(call_result);
                result.object.name = name;
                done(result);
              });
}

void platform_client::write(http_request request, const object_callback& done) {
  ++writes_;
  calls_.send(std::move(request), timeout_, [this, done](const http_result& call_result) {
    done(to_platform_result(call_result));
  });
}

void platform_client::create_if_absent(const std::string& kind, const std::string& name,
                                       std::string value, const object_callback& done) {
  write({"PUT", object_path(kind, name), {{"If-None-Match", "*"}}, std::move(value)}, done);
}

void platform_client::update_if_version(const std::string& kind, const std::string& name,
                                        object_version expected, std::string value,
                                        const object_callback& done) {
  const std::string tag = "\"" + std::to_string(expected) + "\"";
  write({"PUT", object_path(kind, name), {{"If-Match", tag}}, std::move(value)}, done);
}

void platform_client::put(const std::string& kind, const std::string& name, std::string value,
                          const object_callback& done) {
  write({"PUT", object_path(kind, name), {}, std::move(value)}, done);
}

void platform_client::remove(const std::string& kind, const std::string& name,
                             const object_callback& done) {
  write({"DELETE", object_path(kind, name), {}, {}}, done);
}

void platform_client::list(const std::string& kind, const std::string& prefix,
                           const std::string& after, std::size_t limit, listing_callback done) {
  ++reads_;
  const std::string target = "/v1/objects/" + kind + "?prefix=" + prefix + "&after=" + after +
                             "&limit=" + std::to_string(limit);
  calls_.send({"GET", target, {}, {}}, timeout_,
              [this, done = std::move(done)](const http_result& call_result) {
                platform_listing listing;
                listing.outcome = to_platform_result(call_result).outcome;
                if (listing.outcome == platform_outcome::ok) {
                  const json document = json::parse(call_result.response.body, nullptr, false);
                  const bool valid = document.is_object();
                  listing.outcome = valid ? platform_outcome::ok : platform_outcome::unknown;
                  if (valid) {
                    listing.objects = parse_listing(document);
                    const json next = document.value("next", json());
                    listing.next = next.is_string() ? next.get<std::string>() : std::string();
                  }
                }
                done(listing);
              });
}

void platform_client::watch(const std::string& kind, const std::string& name, object_version known,
                            duration wait, object_callback done) {
  ++watches_;
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target = "/v1/watch/" + kind + "/" + name + "?after=" + std::to_string(known) +
                             "&wait_ms=" + std::to_string(wait_ms);
  watcher_.send({"GET", target, {}, {}}, wait + watch_response_slack,
                [this, name, done = std::move(done)](const http_result& call_result) {
                  platform_result result = to_platform_result(call_result);
                  result.object.name = name;
                  done(result);
                });
}

}  // namespace crocusdoor
