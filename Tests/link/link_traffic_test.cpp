#include "link/link_traffic.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("traffic is counted by kind of message and by failure domain of the receiver", "[M2]") {
  // Failure guarded against: one total of all bytes does not tell whether requests or heartbeats
  // cause the traffic between failure domains.
  link_traffic traffic;
  traffic.count(link_scope::other_domain, "call", 700);
  traffic.count(link_scope::other_domain, "call", 300);
  traffic.count(link_scope::other_domain, "heartbeat", 160);
  traffic.count(link_scope::same_domain, "call", 500);

  const auto& other = traffic.totals().at(link_scope::other_domain);
  CHECK(other.at("call") == link_traffic::amount{2, 1'000});
  CHECK(other.at("heartbeat") == link_traffic::amount{1, 160});
  CHECK(traffic.totals().at(link_scope::same_domain).at("call") == link_traffic::amount{1, 500});

  CHECK(traffic.bytes(link_scope::other_domain) == 1'160);
  CHECK(traffic.bytes(link_scope::same_domain) == 500);
  CHECK(traffic.bytes(link_scope::unknown) == 0);
}

}  // namespace crocusdoor
