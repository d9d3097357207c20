#include "membership/topology.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "mesh_simulation.h"

namespace crocusdoor {

namespace {

constexpr time_point start{std::chrono::hours(1)};

/// Control neighbours of each live instance.
std::map<instance_name, std::vector<instance_name>> graph_of(
    const std::vector<instance_record>& instances) {
  directory known(instances.front());
  for (const instance_record& other : instances) {
    known.merge(other, start);
  }
  std::map<instance_name, std::vector<instance_name>> graph;
  for (const instance_record& chooser : instances) {
    graph[chooser.name] = control_neighbours(known, chooser);
  }
  return graph;
}

/// Number of instances reached from the first one over the links to chosen neighbours.
std::size_t count_reachable(const std::map<instance_name, std::vector<instance_name>>& graph) {
  std::set<instance_name> seen = {graph.begin()->first};
  std::vector<instance_name> unvisited = {graph.begin()->first};
  while (!unvisited.empty()) {
    const instance_name from = unvisited.back();
    unvisited.pop_back();
    for (const instance_name& name : graph.at(from)) {
      if (seen.insert(name).second) {
        unvisited.push_back(name);
      }
    }
  }
  return seen.size();
}

void check_graph(const std::vector<instance_record>& instances, std::size_t maximum_links) {
  const auto graph = graph_of(instances);
  CHECK(count_reachable(graph) == instances.size());
  std::map<instance_name, std::size_t> chosen_by;
  for (const auto& [name, chosen] : graph) {
    REQUIRE(chosen.size() <= neighbours_inside + neighbours_outside);
    REQUIRE(std::set<instance_name>(chosen.begin(), chosen.end()).size() == chosen.size());
    REQUIRE(std::count(chosen.begin(), chosen.end(), name) == 0);
    for (const instance_name& other : chosen) {
      ++chosen_by[other];
    }
  }
  // The death of an instance that is nobody's neighbour would not be detected.
  CHECK(chosen_by.size() == instances.size());
  for (const auto& [name, count] : chosen_by) {
    REQUIRE(count <= maximum_links);
  }
}

std::vector<instance_record> make_instances(std::size_t count, std::size_t domains) {
  std::vector<instance_record> instances;
  for (std::size_t i = 0; i < count; ++i) {
    instances.push_back(make_record(i, domains));
  }
  return instances;
}

}  // namespace

TEST_CASE("the control links connect all daemons, also after the loss of a failure domain",
          "[F1][F11]") {
  struct size_case {
    std::size_t instances, domains, maximum_links;
  };
  const auto [count, domains, maximum_links] =
      GENERATE(size_case{1, 1, 0}, size_case{2, 2, 2}, size_case{9, 3, 8}, size_case{22, 22, 21},
               size_case{60, 60, 40}, size_case{128, 22, 40}, size_case{6'000, 22, 40});
  std::vector<instance_record> instances = make_instances(count, domains);
  if (count == 1) {
    CHECK(graph_of(instances).begin()->second.empty());
    return;
  }
  check_graph(instances, maximum_links);
  if (domains > 2) {
    std::erase_if(instances, [](const auto& record) { return record.domain.str() == "domain-1"; });
    check_graph(instances, maximum_links);
  }
}

TEST_CASE("the loss of one instance changes few links", "[F1]") {
  std::vector<instance_record> instances = make_instances(128, 8);
  const auto before = graph_of(instances);
  instances.erase(instances.begin() + 5);
  std::size_t changed = 0;
  for (const auto& [name, chosen] : graph_of(instances)) {
    changed += chosen != before.at(name) ? 1 : 0;
  }
  CHECK(changed <= 20);
}

TEST_CASE("watchers are two active members of each failure domain", "[F9]") {
  directory known(make_record(0));
  for (std::size_t i = 1; i < 30; ++i) {
    known.merge(make_record(i), start);
  }
  const failure_domain domain("domain-1");
  const auto first = watchers(known, domain);
  REQUIRE(first.size() == watchers_per_domain);
  CHECK(watchers(known, failure_domain("elsewhere")).empty());

  SECTION("a suspect watcher is replaced at once, the other one stays") {
    known.neighbour_lost(first[0], 1, start);
    const auto next = watchers(known, domain);
    CHECK(next[0] == first[1]);
    CHECK(next.size() == watchers_per_domain);
  }
  SECTION("draining members are watchers if the domain has no others") {
    for (std::size_t i = 1; i < 30; i += 3) {
      instance_record draining = make_record(i);
      draining.sequence = 1;
      draining.state = instance_state::draining;
      known.merge(draining, start);
    }
    CHECK(watchers(known, domain) == first);
  }
}

TEST_CASE("a shard keeps its owner until the owner is draining or dead", "[F1][P8]") {
  directory known(make_record(0));
  for (std::size_t i = 1; i < 30; ++i) {
    known.merge(make_record(i), start);
  }
  std::map<instance_name, std::size_t> shards_of;
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    ++shards_of[shard_owner(known, shard)];
  }
  CHECK(shards_of.size() > 15);
  const instance_name owner = shard_owner(known, 7);
  REQUIRE(owner != known.self().name);
  known.neighbour_lost(owner, 1, start);
  CHECK(shard_owner(known, 7) == owner);
  known.tick(start + std::chrono::seconds(3));
  CHECK(shard_owner(known, 7) != owner);

  instance_record next = *known.find(shard_owner(known, 7));
  next.state = instance_state::draining;
  ++next.sequence;
  known.merge(next, start);
  CHECK(shard_owner(known, 7) != next.name);
}

}  // namespace crocusdoor
