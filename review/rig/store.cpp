#include "store.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr const char* objects_path = "/objects/";
constexpr milliseconds longest_wait{30'000};

std::string json_response(int status, const nlohmann::json& body) {
  return response_text(status, {{"Content-Type", "application/json"}}, body.dump());
}

/// Value of a parameter in the query of a request target; empty without it.
std::string parameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t position = query == std::string::npos ? target.size() : query + 1;
  while (position < target.size()) {
    const std::size_t end = std::min(target.find('&', position), target.size());
    const std::string item = target.substr(position, end - position);
    if (item.starts_with(name + "=")) {
      return item.substr(name.size() + 1);
    }
    position = end + 1;
  }
  return {};
}

}  // namespace

store::store(record& log, const std::vector<endpoint>& addresses) : log_(log) {
  for (std::size_t machine = 0; machine < addresses.size(); ++machine) {
    servers_.push_back(std::make_unique<http_server>(
        addresses[machine],
        [this, machine](const http_message& request) { return answer(machine, request); }));
  }
}

store::~store() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  for (const auto& server : servers_) {
    server->stop();
  }
}

void store::write_configuration(const nlohmann::json& configuration) {
  {
    const std::lock_guard lock(mutex_);
    put("config", "main", {{"spec", configuration}});
  }
  changed_.notify_all();
  log_.line("store: version " + configuration.at("version").dump() + " acknowledged");
}

void store::turn_away(const std::set<std::size_t>& machines) {
  {
    const std::lock_guard lock(mutex_);
    turned_away_ = machines;
  }
  changed_.notify_all();
  std::string names;
  for (const std::size_t machine : machines) {
    names += " m" + std::to_string(machine);
  }
  log_.line("store: turns away" + (names.empty() ? " nobody" : names));
}

std::set<std::size_t> store::watching() {
  const std::lock_guard lock(mutex_);
  return {watching_.begin(), watching_.end()};
}

std::string store::answer(std::size_t machine, const http_message& request) {
  const std::string method = request.word(0);
  const std::string target = request.word(1);
  const std::string path = target.substr(0, target.find('?'));
  std::unique_lock lock(mutex_);
  if (turned_away_.contains(machine)) {
    return response_text(status_unavailable, {});
  }
  if (!path.starts_with(objects_path)) {
    return response_text(status_not_found, {});
  }
  const std::string rest = path.substr(std::string(objects_path).size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (method != "GET") {
    std::string response =
        write(method, kind, name, nlohmann::json::parse(request.body, nullptr, false));
    lock.unlock();
    changed_.notify_all();
    return response;
  }
  if (!name.empty()) {
    const auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    return found == objects.end() ? json_response(status_not_found, nullptr)
                                  : json_response(status_ok, found->second);
  }
  const std::string after = parameter(target, "watch");
  if (after.empty()) {
    return list(kind);
  }
  lock.unlock();
  const std::string wait = parameter(target, "waitMs");
  return watch(machine, kind, std::stoull(after), milliseconds(std::stoll("0" + wait)));
}

std::string store::list(const std::string& kind) {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [name, object] : kinds_[kind]) {
    items.push_back(object);
  }
  return json_response(status_ok,
                       {{"items", items}, {"truncated", false}, {"storeRevision", revision_}});
}

std::string store::watch(std::size_t machine, const std::string& kind, std::uint64_t after,
                         milliseconds wait) {
  const auto end = steady::now() + std::min(wait, longest_wait);
  std::unique_lock lock(mutex_);
  const auto own = watching_.insert(machine);
  nlohmann::json events = nlohmann::json::array();
  changed_.wait_until(lock, end, [&] {
    for (const event& change : events_) {
      if (change.kind == kind && change.revision > after) {
        events.push_back({{"object", change.object}, {"deleted", change.deleted}});
      }
    }
    return stopped_ || turned_away_.contains(machine) || !events.empty();
  });
  watching_.erase(own);
  if (stopped_ || turned_away_.contains(machine)) {
    return response_text(status_unavailable, {});
  }
  return json_response(status_ok, {{"events", events}, {"storeRevision", revision_}});
}

std::string store::write(const std::string& method, const std::string& kind,
                         const std::string& name, const nlohmann::json& body) {
  auto& objects = kinds_[kind];
  if (method == "POST") {
    const std::string created = body.at("metadata").at("name").get<std::string>();
    const auto found = objects.find(created);
    return found == objects.end() ? json_response(status_created, put(kind, created, body))
                                  : json_response(status_conflict, found->second);
  }
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return json_response(status_not_found, nullptr);
  }
  if (method == "PUT") {
    return json_response(status_ok, put(kind, name, body));
  }
  const nlohmann::json removed = found->second;
  objects.erase(found);
  events_.push_back({++revision_, kind, removed, true});
  return json_response(status_ok, removed);
}

nlohmann::json& store::put(const std::string& kind, const std::string& name,
                           const nlohmann::json& content) {
  nlohmann::json& object = kinds_[kind][name];
  const std::uint64_t created =
      object.is_null() ? revision_ + 1 : object["metadata"]["created"].get<std::uint64_t>();
  ++revision_;
  object = {{"metadata",
             {{"name", name},
              {"revision", revision_},
              {"created", created},
              {"finalizers", nlohmann::json::array()},
              {"deleting", false}}},
            {"spec", content.value("spec", nlohmann::json())},
            {"status", nullptr}};
  events_.push_back({revision_, kind, object, false});
  return object;
}

}  // namespace review
