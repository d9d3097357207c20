#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

#include "configuration/plan.h"
#include "daemon/settings.h"

namespace crocusdoor {

namespace {

struct example_case {
  std::string customer;
  std::map<std::string, std::size_t> instances_per_service;
  std::int32_t slots;
  std::int32_t connections;
};

const std::filesystem::path examples_directory = CROCUSDOOR_EXAMPLES;

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("the example settings and intents match the two deployments", "[F12]") {
  const example_case example_cases[] = {
      {"coast", {{"statements", 6}, {"settlements", 4}, {"advances", 3}}, 12, 130},
      {"valley", {{"results-portal", 4}, {"intake", 3}, {"certificates", 3}}, 9, 110}};
  std::set<ip_endpoint> endpoints;
  std::size_t endpoint_count = 0;
  for (const example_case& example : example_cases) {
    INFO(example.customer);
    std::map<std::string, std::size_t> per_service;
    std::set<failure_domain> domains;
    for (const auto& entry :
         std::filesystem::directory_iterator(examples_directory / example.customer / "settings")) {
      INFO(entry.path().filename().string());
      const settings parsed_settings = parse_settings(read_file(entry.path())).value();
      CHECK(entry.path().stem() == parsed_settings.instance.name.str());
      CHECK(parsed_settings.target.slots == example.slots);
      CHECK(parsed_settings.target.connections == example.connections);
      ++per_service[parsed_settings.target.service.str()];
      domains.insert(parsed_settings.instance.domain);
      for (const std::uint16_t port :
           {parsed_settings.listen.caller_port, parsed_settings.listen.peer_port,
            parsed_settings.listen.api_port, parsed_settings.target.port}) {
        endpoints.insert({"127.0.0.1", port});
        ++endpoint_count;
      }
    }
    CHECK(per_service == example.instances_per_service);
    CHECK(domains.size() == 3);

    const intent_document intents =
        parse_intents(read_file(examples_directory / example.customer / "intents.json")).value();
    const snapshot planned_snapshot = apply_intents({}, intents).value();
    CHECK(planned_snapshot.services.size() == 3);
    CHECK(planned_snapshot.actions.size() == 2);
    for (const auto& [name, planned_service] : planned_snapshot.services) {
      CHECK(per_service.contains(name.str()));
      CHECK(planned_service.slots_per_upstream == example.slots);
      CHECK(planned_service.connections_per_upstream == example.connections);
    }
  }
  CHECK(endpoints.size() == endpoint_count);
}

}  // namespace crocusdoor
