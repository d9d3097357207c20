#include "daemon/settings_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <map>
#include <string>

namespace crocusdoor::detail {

namespace {

constexpr std::size_t name_length_limit = 128;

bool is_name(const std::string& text) {
  const auto is_accepted = [](char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= name_length_limit &&
         std::all_of(text.begin(), text.end(), is_accepted);
}

bool is_numeric_address(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

class settings_checker {
 public:
  settings_checker(const settings& values, const json& document,
                   const std::vector<decode_problem>& decoding_problems)
      : values_(values),
        document_(document),
        problems_(decoding_problems),
        decoding_problems_(decoding_problems) {}

  std::vector<decode_problem> run() {
    check_names();
    check_addresses();
    check_duplicates();
    check_durations();
    check_target();
    return std::move(problems_);
  }

 private:
  void report(const std::string& pointer, const std::string& message) {
    problems_.push_back({pointer, message});
  }

  /// Whether the document contains a value of the right type and in the right range at the pointer.
  [[nodiscard]] bool has_valid_value(const std::string& pointer) const {
    return document_.contains(json::json_pointer(pointer)) && decoded(pointer);
  }

  [[nodiscard]] bool decoded(const std::string& pointer) const {
    return std::none_of(decoding_problems_.begin(), decoding_problems_.end(),
                        [&](const decode_problem& problem) { return problem.path == pointer; });
  }

  void check_names() {
    const std::pair<std::string, std::string> names[] = {
        {"/instance/name", values_.instance.name.str()},
        {"/instance/domain", values_.instance.domain.str()},
        {"/instance/region", values_.instance.region.str()},
        {"/target/service", values_.target.service.str()}};
    for (const auto& [pointer, name] : names) {
      if (has_valid_value(pointer) && !is_name(name)) {
        report(pointer, "found \"" + name +
                            "\"; a name has 1 to 128 letters, digits, hyphens, underscores and "
                            "full stops");
      }
    }
  }

  void check_addresses() {
    check_address("/listen/address", values_.listen.address);
    check_address("/target/address", values_.target.address);
    check_address("/platform/address", values_.platform.address);
    for (std::size_t i = 0; i < values_.peers.seeds.size(); ++i) {
      const std::string pointer = seed_pointer(i);
      check_address(pointer + "/address", values_.peers.seeds[i].address);
      if (has_valid_value(pointer + "/port") && values_.peers.seeds[i].port == 0) {
        report(pointer + "/port", "value 0 is outside 1 to 65535");
      }
    }
  }

  void check_address(const std::string& pointer, const std::string& address) {
    if (!has_valid_value(pointer)) {
      return;
    }
    if (!is_numeric_address(address)) {
      report(pointer, "found \"" + address + "\"; expected a numeric IPv4 address");
    } else if (address == "0.0.0.0") {
      report(pointer, "found \"0.0.0.0\"; expected the address of one interface");
    }
  }

  static std::string seed_pointer(std::size_t index) {
    return "/peers/seeds/" + std::to_string(index);
  }

  void check_duplicates() {
    std::map<ip_endpoint, std::string> endpoints;
    register_endpoint(endpoints, {values_.listen.address, values_.listen.caller_port}, "/listen",
                      "/caller_port");
    register_endpoint(endpoints, {values_.listen.address, values_.listen.peer_port}, "/listen",
                      "/peer_port");
    register_endpoint(endpoints, {values_.listen.address, values_.listen.api_port}, "/listen",
                      "/api_port");
    register_endpoint(endpoints, {values_.target.address, values_.target.port}, "/target", "/port");
    register_endpoint(endpoints, {values_.platform.address, values_.platform.port}, "/platform",
                      "/port");
    // A seed may be this daemon's own peer port, so that all instances can use the same list.
    endpoints.erase({values_.listen.address, values_.listen.peer_port});
    for (std::size_t i = 0; i < values_.peers.seeds.size(); ++i) {
      register_endpoint(endpoints, values_.peers.seeds[i], seed_pointer(i), "/port");
    }
  }

  void register_endpoint(std::map<ip_endpoint, std::string>& endpoints, const ip_endpoint& endpoint,
                         const std::string& parent, const std::string& port_key) {
    const std::string pointer = parent + port_key;
    if (!decoded(pointer) || endpoint.address.empty() || endpoint.port == 0) {
      return;
    }
    const auto [first_use, added] = endpoints.emplace(endpoint, pointer);
    if (!added) {
      report(pointer, "found " + to_string(endpoint) + ", which " + first_use->second +
                          " uses already; each endpoint is accepted once");
    }
  }

  void check_durations() {
    const timing_settings& timing = values_.timing;
    check_lower_bound("/timing/heartbeat_timeout_ms", timing.heartbeat_timeout_ms, 2,
                      "/timing/heartbeat_interval_ms", timing.heartbeat_interval_ms);
    check_lower_bound("/timing/reconnect_limit_ms", timing.reconnect_limit_ms, 1,
                      "/timing/reconnect_base_ms", timing.reconnect_base_ms);
  }

  void check_lower_bound(const std::string& pointer, std::chrono::milliseconds value, int factor,
                         const std::string& other, std::chrono::milliseconds other_value) {
    if (decoded(pointer) && decoded(other) && value < other_value * factor) {
      report(pointer, "value " + std::to_string(value.count()) + " is below " +
                          std::to_string((other_value * factor).count()) + ", which is " +
                          std::to_string(factor) + " times " + other);
    }
  }

  void check_target() {
    const std::string& path = values_.target.health_path;
    if (has_valid_value("/target/health_path") && !path.starts_with("/")) {
      report("/target/health_path", "found \"" + path + "\"; a path starts with \"/\"");
    }
    if (has_valid_value("/target/slots") && decoded("/target/connections") &&
        values_.target.connections < values_.target.slots) {
      report("/target/connections", "value " + std::to_string(values_.target.connections) +
                                        " is below the slots of the target, " +
                                        std::to_string(values_.target.slots));
    }
  }

  const settings& values_;
  const json& document_;
  std::vector<decode_problem> problems_;
  const std::vector<decode_problem>& decoding_problems_;
};

}  // namespace

std::vector<decode_problem> check_settings(const settings& values, const json& document,
                                           const std::vector<decode_problem>& decoding_problems) {
  return settings_checker(values, document, decoding_problems).run();
}

}  // namespace crocusdoor::detail
