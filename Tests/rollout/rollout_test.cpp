#include <catch2/catch.hpp>

#include "fleet_model.h"

namespace crocusdoor {
namespace {

using namespace std::chrono_literals;
using enum wire::rollout_phase;

constexpr std::chrono::milliseconds span = 20s;
constexpr duration after_deadline = span + 3s;
constexpr double share = 0.1;
constexpr double slack = 50;
constexpr duration rollback_limit = 5s;

double allowed(const fleet_model& fleet) {
  return share * static_cast<double>(fleet.requests) + slack;
}

/// Runs a bad version to its end. At no time may its exposure be above the bound.
void require_rolled_back(fleet_model& fleet) {
  fleet.order(span);
  bool within = true;
  fleet.run_until(span, [&] { within &= static_cast<double>(fleet.exposure) <= allowed(fleet); });
  fleet.run_until(after_deadline);
  CHECK(within);
  CHECK(fleet.status() == rolled_back);
  if (fleet.fiftieth_bad.has_value()) {
    CHECK(fleet.last_exposure <= *fleet.fiftieth_bad + rollback_limit);
  }
}

void require_completed(fleet_model& fleet) {
  REQUIRE(fleet.status() == completed);
  CHECK(*fleet.ended_at < span);
  CHECK_FALSE(fleet.old_used_at_completion);
}

}  // namespace

TEST_CASE("a good version is completed before the deadline") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  fleet_model fleet(seed);
  fleet.run_until(1s);

  SECTION("when nothing fails, with few writes to the store") {
    fleet.order(span);
    fleet.run_until(after_deadline);
    require_completed(fleet);
    CHECK(fleet.status_writes == 2);
  }
  SECTION("when the service fails as a whole") {
    fleet.old_failing = 0.3;
    fleet.order(span);
    fleet.run_until(after_deadline);
    require_completed(fleet);
  }
  SECTION("when the service has few requests") {
    fleet.requests_per_s = 20;
    fleet.order(span);
    fleet.run_until(after_deadline);
    require_completed(fleet);
  }
}

TEST_CASE("a bad version gets no more requests than the bound allows and is rolled back") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  fleet_model fleet(seed);
  fleet.run_until(1s);

  SECTION("which fails at once") {
    fleet.new_version = [](duration, double) { return new_version_behaviour{0.4}; };
    require_rolled_back(fleet);
  }
  SECTION("which fails later, while the share is small") {
    fleet.new_version = [](duration since, double) {
      return new_version_behaviour{since > 11s ? 0.4 : 0.0};
    };
    require_rolled_back(fleet);
  }
  SECTION("which fails when the share has begun to rise") {
    fleet.new_version = [](duration since, double) {
      return new_version_behaviour{since > 16'500ms ? 0.4 : 0.0};
    };
    require_rolled_back(fleet);
  }
  SECTION("which is slow") {
    fleet.new_version = [](duration, double) { return new_version_behaviour{0, 6}; };
    require_rolled_back(fleet);
  }
  SECTION("which fails only under load") {
    fleet.new_version = [](duration, double load) {
      return new_version_behaviour{load > 0.9 ? 0.4 : 0.0};
    };
    require_rolled_back(fleet);
  }
  SECTION("which fails on one route only") {
    fleet.new_version = [](duration, double) { return new_version_behaviour{0.4, 1, "read"}; };
    require_rolled_back(fleet);
  }
}

TEST_CASE("an order of 12 s leaves enough time") {
  constexpr std::chrono::milliseconds short_span = 12s;
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  fleet_model fleet(seed);
  fleet.run_until(1s);

  SECTION("for a good version to be completed") {
    fleet.order(short_span);
    fleet.run_until(short_span);
    CHECK(fleet.status() == completed);
  }
  SECTION("for a version that fails from the last step on to be rolled back within the bound") {
    fleet.new_version = [&](duration, double) {
      return new_version_behaviour{fleet.permille() == 1'000 ? 0.4 : 0.0};
    };
    fleet.order(short_span);
    fleet.run_until(short_span + 3s);
    CHECK(static_cast<double>(fleet.exposure) <= allowed(fleet));
    CHECK(fleet.status() == rolled_back);
  }
}

TEST_CASE("the deciding daemon may be killed at any time") {
  const auto killed_at = GENERATE(100ms, 3'000ms, 9'000ms, 15'600ms, 16'100ms, 16'600ms);
  fleet_model fleet(7);
  fleet.run_until(1s);
  const auto kill_decider = [&] {
    fleet.run_until(killed_at);
    REQUIRE(fleet.decider().has_value());
    fleet.kill(*fleet.decider());
  };

  SECTION("a good version is still completed") {
    fleet.order(span);
    kill_decider();
    fleet.run_until(after_deadline);
    require_completed(fleet);
  }
  SECTION("a bad version still gets no more than the bound") {
    fleet.new_version = [&](duration since, double) {
      return new_version_behaviour{since > killed_at - 100ms ? 0.4 : 0.0};
    };
    fleet.order(span);
    kill_decider();
    fleet.run_until(after_deadline);
    CHECK(static_cast<double>(fleet.exposure) <= allowed(fleet));
    CHECK(fleet.status() == rolled_back);
  }
}

TEST_CASE(
    "a bad version stays rolled back when the deciding daemon is killed before the store "
    "has it") {
  fleet_model fleet(3);
  fleet.new_version = [](duration, double) { return new_version_behaviour{0.5}; };
  fleet.run_until(1s);
  fleet.order(span);
  fleet.run_until(6s, [&] { fleet.store_reachable = fleet.bad_responses < 5; });
  fleet.run_until(10s);
  const std::uint64_t exposure = fleet.exposure;
  REQUIRE(fleet.permille() == 0);
  REQUIRE(fleet.status() == running);

  fleet.kill(*fleet.decider());
  fleet.run_until(14s);
  fleet.store_reachable = true;
  fleet.run_until(18s);
  CHECK(fleet.status() == rolled_back);
  CHECK(fleet.exposure == exposure);
}

TEST_CASE("without the store a rollout goes on, and its end is written later") {
  fleet_model fleet(4);
  fleet.run_until(1s);
  fleet.order(span);
  fleet.run_until(5s);
  fleet.store_reachable = false;
  fleet.run_until(12s);
  CHECK(fleet.permille() > 0);
  fleet.store_reachable = true;
  fleet.run_until(after_deadline);
  require_completed(fleet);
}

TEST_CASE("a daemon without links stops sending to the new version") {
  fleet_model fleet(5);
  fleet.run_until(1s);
  fleet.order(span);
  fleet.run_until(8s);
  REQUIRE(fleet.permille() > 0);
  SECTION("all links are cut: nobody decides, and the old version serves") {
    for (std::size_t daemon = 0; daemon < 40; ++daemon) {
      fleet.cut(daemon, true);
    }
    fleet.run_until(11s);
    CHECK_FALSE(fleet.decider().has_value());
    const std::uint64_t exposure = fleet.exposure;
    fleet.run_until(13s);
    CHECK(fleet.exposure == exposure);
  }
}

TEST_CASE("a version without upstreams is rolled back at the deadline") {
  fleet_model fleet(6);
  fleet.new_targets = false;
  fleet.run_until(1s);
  fleet.order(span);
  fleet.run_until(span - 100ms);
  CHECK(fleet.status() == running);
  fleet.run_until(after_deadline);
  CHECK(fleet.status() == rolled_back);
  CHECK(fleet.exposure == 0);
}

TEST_CASE("of two deciding daemons one ends the rollout and the other adopts its status") {
  const exposure_bound bound{share, slack};
  rollout_order order{"s", service_name("s"), "v2", span, 412, std::nullopt};
  time_point now{1'000s};
  rollout_decider first(bound);
  rollout_decider second(bound);
  first.order_read(order, 0, nullptr, now);
  second.order_read(order, 0, nullptr, now);

  order.status = rollout_status{rolled_back, "v2"};
  order.revision = 413;
  second.order_read(order, 0, nullptr, now);
  REQUIRE(second.find(order.service) != nullptr);
  CHECK(second.find(order.service)->phase() == rolled_back);
  CHECK(second.find(order.service)->id() == 412);
  CHECK_FALSE(second.find(order.service)->status_to_write(now).has_value());
}

TEST_CASE("a status of an earlier order does not end a new one") {
  rollout_decider decider({share, slack});
  const rollout_order order{
      "s", service_name("s"), "v3", span, 430, rollout_status{completed, "v2"}};
  decider.order_read(order, 0, nullptr, time_point{1'000s});
  CHECK(decider.find(order.service)->phase() == running);
}

TEST_CASE("a running rollout that no daemon knows is rolled back") {
  rollout_decider decider({share, slack});
  const rollout_order order{"s", service_name("s"), "v2", span, 430, rollout_status{running, "v2"}};
  decider.order_read(order, 0, nullptr, time_point{1'000s});
  CHECK(decider.find(order.service)->phase() == rolled_back);
}

}  // namespace crocusdoor
