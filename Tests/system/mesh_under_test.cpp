#include "mesh_under_test.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace crocusdoor::test {

namespace {

/// Each test process starts to look for free ports at a port from 12000 to 29999. These lie below
/// the range from which the system takes the local ports of outgoing connections.
constexpr std::uint16_t first_port = 12'000;
constexpr std::uint16_t port_range = 18'000;

/// Ends a wait whose condition never holds. It is far longer than any step takes, so that no test
/// fails because the machine is slow.
constexpr duration wait_timeout = std::chrono::seconds(60);
constexpr duration poll_interval = std::chrono::milliseconds(20);
constexpr duration request_timeout = std::chrono::seconds(30);

bool port_is_free(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(descriptor);
  return bound == 0;
}

std::string make_temporary_directory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "crocusdoor-test-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory for the test");
  }
  return pattern;
}

json decision(const std::string& reason) {
  return {{"decided_by", "board"}, {"decided_on", "2011-03-02"}, {"reason", reason}};
}

}  // namespace

mesh_under_test::mesh_under_test(const std::vector<std::string>& services, int service_time_ms)
    : directory_(make_temporary_directory()),
      next_port_(static_cast<std::uint16_t>(first_port + (getpid() * 61) % port_range)),
      service_time_ms_(service_time_ms) {
  platform_port_ = take_port();
  restart_platform();
  for (std::size_t i = 0; i < services.size(); ++i) {
    test_instance member;
    member.name = services[i] + "-" + std::to_string(i + 1);
    member.domain = "domain-" + std::to_string(i % 3 + 1);
    member.service = services[i];
    member.target_port = take_port();
    member.caller_port = take_port();
    member.peer_port = take_port();
    member.api_port = take_port();
    instances_.push_back(std::move(member));
  }
  for (test_instance& member : instances_) {
    start_target(member);
    start_daemon(member);
  }
}

std::uint16_t mesh_under_test::take_port() {
  while (!port_is_free(next_port_)) {
    ++next_port_;
  }
  return next_port_++;
}

void mesh_under_test::restart_platform() {
  platform_.reset();
  platform_ = std::make_unique<child_process>(
      std::vector<std::string>{PLATFORM_PROGRAM, "--port", std::to_string(platform_port_)},
      directory_ + "/platform.log");
}

void mesh_under_test::start_target(test_instance& member) {
  member.target.reset();
  member.target = std::make_unique<child_process>(
      std::vector<std::string>{TARGET_PROGRAM, "--port", std::to_string(member.target_port),
                               "--slots", "4", "--service", member.service, "--name", member.name,
                               "--service-time-ms", std::to_string(service_time_ms_)},
      directory_ + "/" + member.name + ".target.log");
}

std::string mesh_under_test::write_settings(const test_instance& member) {
  json seeds = json::array();
  for (const test_instance& other : instances_) {
    seeds.push_back({{"address", "127.0.0.1"}, {"port", other.peer_port}});
  }
  const json document = {
      {"instance", {{"name", member.name}, {"domain", member.domain}, {"region", "coast"}}},
      {"listen",
       {{"address", "127.0.0.1"},
        {"caller_port", member.caller_port},
        {"peer_port", member.peer_port},
        {"api_port", member.api_port}}},
      {"target",
       {{"port", member.target_port},
        {"service", member.service},
        {"slots", 4},
        {"health_interval_ms", 200}}},
      {"platform", {{"address", "127.0.0.1"}, {"port", platform_port_}, {"timeout_ms", 1000}}},
      {"peers", {{"seeds", seeds}}}};
  std::string path = directory_ + "/" + member.name + ".json";
  std::ofstream(path) << document.dump(2);
  return path;
}

void mesh_under_test::start_daemon(test_instance& member) {
  member.daemon.reset();
  member.daemon = std::make_unique<child_process>(
      std::vector<std::string>{DAEMON_PROGRAM, "--settings", write_settings(member)},
      directory_ + "/" + member.name + ".daemon.log");
}

std::shared_ptr<outstanding_request> mesh_under_test::start(std::uint16_t port,
                                                            http_request request) {
  auto& client = clients_[port];
  if (client == nullptr) {
    client = std::make_unique<http_client>(loop_, ip_endpoint{"127.0.0.1", port},
                                           http_client_options{.connection_limit = 64});
  }
  auto outstanding = std::make_shared<outstanding_request>();
  client->send(std::move(request), request_timeout, [outstanding](const http_result& result) {
    outstanding->result = result;
    outstanding->done = true;
  });
  return outstanding;
}

http_result mesh_under_test::send(std::uint16_t port, http_request request) {
  const auto outstanding = start(port, std::move(request));
  wait_for({outstanding});
  return outstanding->result;
}

void mesh_under_test::wait_for(const std::vector<std::shared_ptr<outstanding_request>>& requests) {
  wait_until([&] {
    bool all_done = true;
    for (const auto& request : requests) {
      all_done = all_done && request->done;
    }
    return all_done;
  });
}

bool mesh_under_test::wait_until(const std::function<bool()>& condition) {
  const time_point limit = loop_.now() + wait_timeout;
  while (!condition()) {
    if (loop_.now() > limit) {
      return false;
    }
    run_for(poll_interval);
  }
  return true;
}

void mesh_under_test::run_for(duration span) {
  const timer_handle end = loop_.after(span, [this] { loop_.stop(); });
  loop_.run();
}

json mesh_under_test::get_json(std::uint16_t port, const std::string& path) {
  const http_result result = send(port, {"GET", path, {}, {}});
  return json::parse(result.response.body, nullptr, false);
}

void mesh_under_test::control_platform(const json& settings) {
  send(platform_port_, {"POST", "/control", {}, settings.dump()});
}

http_result mesh_under_test::make_plan(const json& document, std::size_t instance_index) {
  return send(instance(instance_index).api_port, {"POST", "/v1/plans", {}, document.dump()});
}

json mesh_under_test::platform_counts() {
  return get_json(platform_port_, "/control/counts");
}

std::uint64_t mesh_under_test::apply_intents(const json& document, std::size_t instance_index) {
  http_result planned;
  wait_until([&] {
    planned = make_plan(document, instance_index);
    return planned.outcome == http_outcome::answered && planned.response.status == 200;
  });
  const http_result confirmed = send(instance(instance_index).api_port,
                                     {"POST", "/v1/confirmations", {}, planned.response.body});
  if (confirmed.response.status != 200) {
    throw std::runtime_error("confirmation failed: " + confirmed.response.body);
  }
  return json::parse(confirmed.response.body).at("version").get<std::uint64_t>();
}

std::uint64_t mesh_under_test::version_of(test_instance& member) {
  const json description = get_json(member.api_port, "/v1/instance");
  const bool serving = description.is_object() && description.value("ready", false);
  return serving ? description["version"].get<std::uint64_t>() : 0;
}

bool mesh_under_test::wait_until_in_force(std::uint64_t version) {
  return wait_until([&] {
    for (test_instance& member : instances_) {
      const bool running = member.daemon != nullptr && !member.daemon->has_ended();
      if (running && version_of(member) < version) {
        return false;
      }
    }
    return true;
  });
}

bool mesh_under_test::wait_until_ready() {
  std::size_t running = 0;
  for (test_instance& member : instances_) {
    running += member.daemon != nullptr && !member.daemon->has_ended() ? 1 : 0;
  }
  return wait_until([&] {
    for (test_instance& member : instances_) {
      if (member.daemon == nullptr || member.daemon->has_ended()) {
        continue;
      }
      const json status = get_json(member.api_port, "/v1/status");
      if (!status.is_object()) {
        return false;
      }
      std::size_t ready = 0;
      for (const json& listed : status.value("instances", json::array())) {
        ready += listed.value("state", "") == "ready" ? 1 : 0;
      }
      if (ready < running) {
        return false;
      }
    }
    return true;
  });
}

std::map<std::string, int> mesh_under_test::executions() {
  std::map<std::string, int> total;
  for (test_instance& member : instances_) {
    const json counts = get_json(member.target_port, "/control/executions");
    for (const auto& item : counts.items()) {
      total[item.key()] += item.value().get<int>();
    }
  }
  return total;
}

json basic_intents(const std::vector<std::string>& services) {
  json intents = json::array();
  for (const std::string& name : services) {
    intents.push_back({{"put_service",
                        {{"name", name},
                         {"slots_per_upstream", 4},
                         {"ramp_ms", 0},
                         {"decision", decision("the service " + name)}}}});
    intents.push_back({{"put_route",
                        {{"name", name},
                         {"path_prefix", "/" + name},
                         {"service", name},
                         {"timeout_ms", 15'000},
                         {"decision", decision("one path for each service")}}}});
    intents.push_back({{"put_action",
                        {{"name", name + "-once"},
                         {"service", name},
                         {"path_prefix", "/" + name + "/once"},
                         {"key_in", "header"},
                         {"key_name", "Idempotency-Key"},
                         {"decision", decision("runs once")}}}});
  }
  return {{"operator", "board"}, {"reason", "first decisions"}, {"intents", intents}};
}

}  // namespace crocusdoor::test
