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

const std::filesystem::path examples = CROCUSDOOR_EXAMPLES;

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("the examples describe the two deployments", "[F12]") {
  const example_case cases[] = {
      {"coast", {{"statements", 6}, {"settlements", 4}, {"advances", 3}}, 12, 130},
      {"valley", {{"results-portal", 4}, {"intake", 3}, {"certificates", 3}}, 9, 110}};
  std::set<ip_endpoint> endpoints;
  std::size_t endpoint_count = 0;
  for (const example_case& one : cases) {
    INFO(one.customer);
    std::map<std::string, std::size_t> per_service;
    std::set<failure_domain> domains;
    for (const auto& entry :
         std::filesystem::directory_iterator(examples / one.customer / "settings")) {
      INFO(entry.path().filename().string());
      const settings read = parse_settings(read_file(entry.path())).value();
      CHECK(entry.path().stem() == read.instance.name.str());
      CHECK(read.target.slots == one.slots);
      CHECK(read.target.connections == one.connections);
      ++per_service[read.target.service.str()];
      domains.insert(read.instance.domain);
      for (const std::uint16_t port : {read.listen.caller_port, read.listen.peer_port,
                                       read.listen.api_port, read.target.port}) {
        endpoints.insert({"127.0.0.1", port});
        ++endpoint_count;
      }
    }
    CHECK(per_service == one.instances_per_service);
    CHECK(domains.size() == 3);

    const intent_document intents =
        parse_intents(read_file(examples / one.customer / "intents.json")).value();
    const snapshot planned = apply_intents({}, intents).value();
    CHECK(planned.services.size() == 3);
    CHECK(planned.actions.size() == 2);
    for (const auto& [name, described] : planned.services) {
      CHECK(per_service.contains(name.str()));
      CHECK(described.slots_per_upstream == one.slots);
      CHECK(described.connections_per_upstream == one.connections);
    }
  }
  CHECK(endpoints.size() == endpoint_count);
}

}  // namespace crocusdoor
