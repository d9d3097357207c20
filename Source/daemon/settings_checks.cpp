#include "daemon/settings_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <map>
#include <string>

namespace crocusdoor::detail {

namespace {

constexpr std::size_t name_length_limit = 128;

bool is_name(const std::string& text) {
  const auto accepted = [](char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= name_length_limit &&
         std::all_of(text.begin(), text.end(), accepted);
}

bool is_numeric_address(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

class settings_checker {
 public:
  settings_checker(const settings& values, const json& document,
                   const std::vector<decode_problem>& decoding)
      : values_(values), document_(document), problems_(decoding), decoding_(decoding) {}

  std::vector<decode_problem> run() {
    check_names();
    check_addresses();
    check_duplicates();
    check_spans();
    check_target();
    return std::move(problems_);
  }

 private:
  void report(const std::string& pointer, const std::string& message) {
    problems_.push_back({pointer, message});
  }

  /// Whether the document gives a value of the right type and range at the pointer.
  [[nodiscard]] bool given(const std::string& pointer) const {
    return document_.contains(json::json_pointer(pointer)) && decoded(pointer);
  }

  [[nodiscard]] bool decoded(const std::string& pointer) const {
    return std::none_of(decoding_.begin(), decoding_.end(),
                        [&](const decode_problem& one) { return one.path == pointer; });
  }

  void check_names() {
    const std::pair<std::string, std::string> names[] = {
        {"/instance/name", values_.instance.name.str()},
        {"/instance/domain", values_.instance.domain.str()},
        {"/instance/region", values_.instance.region.str()},
        {"/target/service", values_.target.service.str()}};
    for (const auto& [pointer, name] : names) {
      if (given(pointer) && !is_name(name)) {
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
      if (given(pointer + "/port") && values_.peers.seeds[i].port == 0) {
        report(pointer + "/port", "value 0 is outside 1 to 65535");
      }
    }
  }

  void check_address(const std::string& pointer, const std::string& address) {
    if (!given(pointer)) {
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
    std::map<ip_endpoint, std::string> used;
    use(used, {values_.listen.address, values_.listen.caller_port}, "/listen", "/caller_port");
    use(used, {values_.listen.address, values_.listen.peer_port}, "/listen", "/peer_port");
    use(used, {values_.listen.address, values_.listen.api_port}, "/listen", "/api_port");
    use(used, {values_.target.address, values_.target.port}, "/target", "/port");
    use(used, {values_.platform.address, values_.platform.port}, "/platform", "/port");
    // One seed may be the daemon itself, so that all instances can share one list.
    used.erase({values_.listen.address, values_.listen.peer_port});
    for (std::size_t i = 0; i < values_.peers.seeds.size(); ++i) {
      use(used, values_.peers.seeds[i], seed_pointer(i), "/port");
    }
  }

  void use(std::map<ip_endpoint, std::string>& used, const ip_endpoint& endpoint,
           const std::string& parent, const std::string& port_key) {
    const std::string pointer = parent + port_key;
    if (!decoded(pointer) || endpoint.address.empty() || endpoint.port == 0) {
      return;
    }
    const auto [earlier, added] = used.emplace(endpoint, pointer);
    if (!added) {
      report(pointer, "found " + to_string(endpoint) + ", which " + earlier->second +
                          " uses already; each endpoint is accepted once");
    }
  }

  void check_spans() {
    const timing_settings& timing = values_.timing;
    check_at_least("/timing/heartbeat_timeout_ms", timing.heartbeat_timeout_ms, 2,
                   "/timing/heartbeat_interval_ms", timing.heartbeat_interval_ms);
    check_at_least("/timing/reconnect_limit_ms", timing.reconnect_limit_ms, 1,
                   "/timing/reconnect_base_ms", timing.reconnect_base_ms);
  }

  void check_at_least(const std::string& pointer, std::chrono::milliseconds value, int factor,
                      const std::string& other, std::chrono::milliseconds least) {
    if (decoded(pointer) && decoded(other) && value < least * factor) {
      report(pointer, "value " + std::to_string(value.count()) + " is below " +
                          std::to_string((least * factor).count()) + ", which is " +
                          std::to_string(factor) + " times " + other);
    }
  }

  void check_target() {
    const std::string& path = values_.target.health_path;
    if (given("/target/health_path") && !path.starts_with("/")) {
      report("/target/health_path", "found \"" + path + "\"; a path starts with \"/\"");
    }
    if (given("/target/slots") && decoded("/target/connections") &&
        values_.target.connections < values_.target.slots) {
      report("/target/connections", "value " + std::to_string(values_.target.connections) +
                                        " is below the slots of the target, " +
                                        std::to_string(values_.target.slots));
    }
  }

  const settings& values_;
  const json& document_;
  std::vector<decode_problem> problems_;
  const std::vector<decode_problem>& decoding_;
};

}  // namespace

std::vector<decode_problem> check_settings(const settings& values, const json& document,
                                           const std::vector<decode_problem>& decoding) {
  return settings_checker(values, document, decoding).run();
}

}  // namespace crocusdoor::detail
