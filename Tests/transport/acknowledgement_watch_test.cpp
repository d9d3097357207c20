#include "transport/acknowledgement_watch.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using detail::acknowledgement_state;
using detail::acknowledgement_timeout;
using detail::acknowledgement_watch;

TEST_CASE("a peer that acknowledges nothing is told from one that does not read", "[F7]") {
  // Failure guarded against: the kernel's own timeout took a full window for the end of the peer.
  constexpr duration interval = std::chrono::milliseconds(200);
  acknowledgement_watch watch;
  const time_point start = time_point(std::chrono::hours(1));
  const auto silent_after = [&](const auto& state_at) -> std::optional<duration> {
    for (duration elapsed{}; elapsed < 10 * acknowledgement_timeout; elapsed += interval) {
      if (watch.is_silent(state_at(elapsed), start + elapsed)) {
        return elapsed;
      }
    }
    return std::nullopt;
  };

  SECTION("a peer that has gone") {
    const auto silence = silent_after([](duration elapsed) {
      return acknowledgement_state{true, elapsed};
    });
    CHECK(silence == acknowledgement_timeout);
  }
  SECTION("a peer that has gone while its connection had been idle for long") {
    const auto silence = silent_after([](duration elapsed) {
      return acknowledgement_state{true, std::chrono::minutes(5) + elapsed};
    });
    CHECK(silence == acknowledgement_timeout);
  }
  SECTION("a peer with a full window answers probes that become rarer") {
    const auto silence = silent_after([](duration elapsed) {
      const bool probe_on_its_way = elapsed % std::chrono::milliseconds(1'600) == duration::zero();
      return acknowledgement_state{probe_on_its_way, elapsed % std::chrono::milliseconds(1'600)};
    });
    CHECK(silence == std::nullopt);
  }
  SECTION("a busy peer has always something to acknowledge and does") {
    const auto silence = silent_after([](duration) {
      return acknowledgement_state{true, std::chrono::milliseconds(3)};
    });
    CHECK(silence == std::nullopt);
  }
  SECTION("a peer that goes after it has acknowledged a part") {
    const duration gone_at = std::chrono::seconds(7);
    const auto silence = silent_after([&](duration elapsed) {
      return acknowledgement_state{true, std::max(elapsed - gone_at, duration::zero())};
    });
    REQUIRE(silence.has_value());
    CHECK(*silence >= gone_at + acknowledgement_timeout);
    CHECK(*silence <= gone_at + acknowledgement_timeout + 2 * interval);
  }
}

}  // namespace crocusdoor
