#include "membership/directory.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "mesh_simulation.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

instance_record record_of(std::size_t index, std::uint64_t incarnation, std::uint64_t sequence,
                          instance_state state) {
  instance_record record = make_record(index);
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  return record;
}

}  // namespace

TEST_CASE("the order of two records of an instance decides which is kept", "[F3][F9]") {
  using enum instance_state;
  struct order_case {
    const char* description;
    instance_record current, received;
    bool replaced;
  };
  const std::vector<order_case> cases = {
      {"a repeated record", record_of(1, 5, 2, ready), record_of(1, 5, 2, ready), false},
      {"a delayed record with an older state", record_of(1, 5, 3, draining),
       record_of(1, 5, 2, ready), false},
      {"a suspicion of the same announcement", record_of(1, 5, 2, ready),
       record_of(1, 5, 2, suspect), true},
      {"a suspicion with an outdated sequence", record_of(1, 5, 3, ready),
       record_of(1, 5, 2, suspect), false},
      {"a refutation after the death", record_of(1, 5, 2, dead), record_of(1, 5, 3, ready), true},
      {"a delayed record after the death", record_of(1, 5, 2, dead), record_of(1, 5, 2, ready),
       false},
      {"a delayed record after the instance left", record_of(1, 5, 2, left),
       record_of(1, 5, 1, suspect), false},
      {"a restarted instance with a lower sequence", record_of(1, 5, 9, left),
       record_of(1, 6, 0, starting), true},
      {"a record of the previous incarnation", record_of(1, 6, 0, starting),
       record_of(1, 5, 9, dead), false},
  };
  for (const order_case& test : cases) {
    INFO(test.description);
    directory known(make_record(0));
    REQUIRE(known.merge(test.current, start));
    CHECK(known.merge(test.received, start) == test.replaced);
    CHECK(*known.find(test.current.name) == (test.replaced ? test.received : test.current));
  }
}

TEST_CASE("invalid records and records above the size limit are refused and counted", "[F12]") {
  directory known(make_record(0), {.records = 2});
  instance_record nameless;
  CHECK_FALSE(known.merge(nameless, start));
  CHECK_FALSE(known.merge(record_of(1, ~std::uint64_t{0}, 0, instance_state::ready), start));
  CHECK_FALSE(known.merge(record_of(0, 1, ~std::uint64_t{0}, instance_state::dead), start));
  CHECK(known.merge(make_record(1), start));
  CHECK_FALSE(known.merge(make_record(2), start));
  CHECK(known.refused_records() == 4);
}

TEST_CASE("an instance refutes false records about itself", "[F8][F11]") {
  directory known(record_of(0, 5, 2, instance_state::ready));

  SECTION("a dead record is refuted by a higher sequence") {
    CHECK(known.merge(record_of(0, 5, 7, instance_state::dead), start));
    CHECK(known.self() == record_of(0, 5, 8, instance_state::ready));
  }
  SECTION("a record of an earlier incarnation is ignored") {
    CHECK_FALSE(known.merge(record_of(0, 4, 7, instance_state::dead), start));
    CHECK(known.self().sequence == 2);
  }
  SECTION("a live process of the same name that started later supersedes this one") {
    CHECK_FALSE(known.merge(record_of(0, 6, 0, instance_state::ready), start));
    CHECK(known.superseded());
    SECTION("and this process takes a higher incarnation once that one is dead") {
      CHECK(known.merge(record_of(0, 6, 0, instance_state::dead), start));
      CHECK_FALSE(known.superseded());
      CHECK(known.self().incarnation == 7);
    }
  }
  SECTION("an instance that has left does not change its state again") {
    REQUIRE(known.set_self_state(instance_state::left, start));
    CHECK_FALSE(known.merge(record_of(0, 5, 9, instance_state::dead), start));
    CHECK_FALSE(known.set_self_state(instance_state::ready, start));
  }
}

TEST_CASE("a suspect instance refutes the suspicion or is declared dead and removed", "[F1][F9]") {
  directory known(make_record(0));
  known.merge(make_record(1), start);
  known.merge(make_record(2), start);
  const instance_name lost = make_record(1).name;
  known.neighbour_seen(make_record(2).name, 1, start);
  CHECK_FALSE(known.neighbour_lost(lost, 0, start));
  REQUIRE(known.neighbour_lost(lost, 1, start));
  CHECK_FALSE(known.neighbour_lost(lost, 1, start));
  CHECK(known.neighbour_seen(lost, 1, start)->state == instance_state::suspect);

  SECTION("a refutation within 3 s ends the suspicion") {
    CHECK(known.merge(record_of(1, 1, 1, instance_state::ready), start + 2s));
    CHECK(known.tick(start + 10s).empty());
  }
  SECTION("without a refutation it is declared dead, and delayed records do not undo that") {
    CHECK(known.tick(start + 2999ms).empty());
    known.neighbour_seen(make_record(2).name, 1, start + 3s);
    REQUIRE(known.tick(start + 3s).size() == 1);
    CHECK_FALSE(known.merge(make_record(1), start + 1h));
    known.tick(start + 2h + 4s);
    CHECK(known.find(lost) == nullptr);

    SECTION("a dead record that is first received after the removal is not passed on") {
      // Otherwise two daemons that compare directories could restore each other's expired records
      // for ever.
      known.merge(record_of(1, 1, 0, instance_state::dead), start + 3h);
      for (const instance_record& record : known.differing({})) {
        CHECK(record.name != lost);
      }
    }
  }
  SECTION("an isolated daemon does not gossip its suspicions") {
    CHECK_FALSE(known.neighbour_lost(make_record(2).name, 1, start + 5s));
    CHECK(known.find(make_record(2).name)->state == instance_state::suspect);
    CHECK(known.tick(start + 8s).empty());
    SECTION("and a record of the instance with an equal sequence replaces them") {
      CHECK(known.merge(make_record(2), start + 20s));
    }
  }
  SECTION("a dead record from another daemon is stored as a suspicion first") {
    known.merge(record_of(2, 1, 0, instance_state::dead), start);
    CHECK(known.find(make_record(2).name)->state == instance_state::suspect);
  }
}

TEST_CASE("the ready upstreams of a service leave out draining and suspect instances", "[F8][F9]") {
  directory known(make_record(0));
  const service_name service = make_record(0).service;
  for (std::size_t i = 1; i < 6; ++i) {
    known.merge(make_record(i), start);
  }
  CHECK(known.ready_upstreams(service).size() == 6);
  known.merge(record_of(1, 1, 1, instance_state::draining), start);
  known.merge(record_of(2, 1, 0, instance_state::suspect), start);
  CHECK(known.ready_upstreams(service).size() == 4);
  SECTION("suspect instances are included if there are more of them than ready ones") {
    known.merge(record_of(3, 1, 0, instance_state::suspect), start);
    known.merge(record_of(4, 1, 0, instance_state::suspect), start);
    CHECK(known.ready_upstreams(service).size() == 5);
  }
  CHECK(known.services() == std::vector{service});
  CHECK(known.ready_upstreams(service_name("other")).empty());
}

TEST_CASE("an announcement on the platform is only a hint and does not count as live", "[F2][F9]") {
  directory known(make_record(0));
  random_source random(1);
  known.add_hint(make_record(1));
  CHECK(known.live_count() == 1);
  CHECK(known.contacts(5, random) == std::vector{make_record(1)});
  SECTION("it is dropped when the connection fails") {
    known.contact_failed(make_record(1).name);
    CHECK(known.contacts(5, random).empty());
  }
  SECTION("it is replaced by the record that the instance itself sends") {
    known.merge(make_record(1), start);
    CHECK(known.live_count() == 2);
    CHECK(known.contacts(5, random).empty());
  }
}

TEST_CASE("directories agree after the same records in any order and with repeats", "[F3]") {
  const auto seed = GENERATE(range(0, 20));
  random_source random(static_cast<std::uint64_t>(seed));
  std::vector<instance_record> sent;
  for (std::size_t i = 0; i < 200; ++i) {
    sent.push_back(record_of(1 + random.index(8), 1 + random.index(3), random.index(4),
                             static_cast<instance_state>(random.index(6))));
    sent.back().slots = static_cast<std::int32_t>(1 + random.index(2));
  }
  std::vector<instance_record> agreed;
  for (std::size_t i = 0; i < 20; ++i) {
    directory known(make_record(0));
    for (std::size_t k = 100; k < 120; ++k) {
      // Live instances; with more dead than live ones the daemon would be in the minority, and its
      // marks would be provisional.
      known.merge(make_record(k), start);
    }
    std::vector<instance_record> received = sent;
    for (std::size_t k = 0; k < received.size(); ++k) {
      std::swap(received[k], received[k + random.index(received.size() - k)]);
      known.merge(received[k], start);
      known.merge(received[random.index(k + 1)], start);
    }
    known.tick(start + 3s);
    agreed = agreed.empty() ? known.all() : agreed;
    REQUIRE(known.all() == agreed);
  }
}

}  // namespace crocusdoor
