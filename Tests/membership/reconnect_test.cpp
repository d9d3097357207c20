#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

#include "membership/directory.h"
#include "membership/platform_budget.h"
#include "membership/reconnect_backoff.h"
#include "mesh_simulation.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t instance_count = 6'000;
constexpr duration step = 100ms;
constexpr duration connect_timeout = 1s;
constexpr std::size_t contacts_at_once = 3;

struct restarted_daemon {
  explicit restarted_daemon(std::size_t index) : known(make_record(index, 22)) {}
  directory known;
  platform_budget budget;
  reconnect_backoff backoff;
  time_point next_attempt;
  bool joined = false;
};

struct storm_result {
  std::size_t maximum_reads_per_second = 0;
  std::size_t joined = 0;
  duration last_join{0};
};

/// Simulates 60 s after a restart of half of the daemons. All daemons request a read of the
/// platform at the start: those with an even index were restarted with an empty directory and read
/// announcements, half of which are stale; the others receive nothing from a watcher and read the
/// head object once.
storm_result simulate_reconnect_storm(random_source& random) {
  constexpr time_point start{1h};
  std::vector<std::unique_ptr<restarted_daemon>> restarted;
  for (std::size_t i = 0; i < instance_count; i += 2) {
    restarted.push_back(std::make_unique<restarted_daemon>(i));
  }
  std::vector<platform_budget> others(instance_count / 2);
  std::vector<bool> has_read(others.size());
  std::vector<std::size_t> reads;
  storm_result result;
  for (time_point now = start; now < start + 60s; now += step) {
    std::size_t reads_now = 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
      if (!has_read[i] && others[i].take(instance_count, now, random)) {
        has_read[i] = true;
        ++reads_now;
      }
    }
    for (const auto& daemon : restarted) {
      if (daemon->joined) {
        continue;
      }
      const auto contacts = daemon->known.contacts(contacts_at_once, random);
      if (contacts.empty()) {
        if (daemon->budget.take(daemon->known.live_count(), now, random)) {
          ++reads_now;
          for (std::size_t k = 0; k < 20; ++k) {
            daemon->known.add_hint(make_record(random.index(instance_count), 22));
          }
        }
      } else if (daemon->next_attempt <= now) {
        for (const instance_record& contact : contacts) {
          const auto index = std::stoul(contact.name.str().substr(6));
          daemon->joined = daemon->joined || index % 2 == 1;
          daemon->known.contact_failed(contact.name);
        }
        daemon->next_attempt = now + connect_timeout + daemon->backoff.next_delay(random);
        result.joined += daemon->joined ? 1 : 0;
        result.last_join = daemon->joined ? now - start : result.last_join;
      }
    }
    reads.push_back(reads_now);
    const auto last_second = reads.end() - std::min<std::ptrdiff_t>(std::ssize(reads), 10);
    result.maximum_reads_per_second = std::max(
        result.maximum_reads_per_second, std::accumulate(last_second, reads.end(), std::size_t{0}));
  }
  return result;
}

}  // namespace

TEST_CASE("the restart of half of 6,000 instances stays within the read budget of the platform",
          "[F1][F2]") {
  // Guards against a reconnect storm: each restarted daemon knows only itself, and would take the
  // whole budget if it divided it by the number of instances that it knows.
  const auto seed = GENERATE(range(1, 4));
  random_source random(static_cast<std::uint64_t>(seed));
  const storm_result result = simulate_reconnect_storm(random);
  CHECK(result.maximum_reads_per_second < 1'000);
  CHECK(result.maximum_reads_per_second > 500);
  CHECK(result.joined == instance_count / 2);
  CHECK(result.last_join < 30s);
  WARN("reads in the busiest second: " << result.maximum_reads_per_second << ", all joined after "
                                       << result.last_join.count() / 1000 << " ms");
}

TEST_CASE("the platform budget grants one daemon its share of the reads", "[M8]") {
  random_source random(1);
  platform_budget budget;
  const time_point start{1h};
  std::size_t granted = 0;
  for (time_point now = start; now < start + 75s; now += 50ms) {
    granted += budget.take(1, now, random) ? 1 : 0;
  }
  // 800 reads a second (80% of 1,000) divided among 6,000 instances are one read every 7.5 s.
  CHECK(granted >= 9);
  CHECK(granted <= 11);
  CHECK(budget.interval(12'000) == 15s);
}

TEST_CASE("delays between connection attempts grow to the cap and reset after a success", "[F1]") {
  random_source random(1);
  reconnect_backoff backoff;
  duration maximum{0};
  for (int i = 0; i < 1000; ++i) {
    const duration delay = backoff.next_delay(random);
    CHECK(delay < std::min<duration>(10s, 100ms * (1 << std::min(i, 10))));
    maximum = std::max(maximum, delay);
  }
  CHECK(maximum > 9s);
  backoff.succeeded();
  CHECK(backoff.next_delay(random) < 100ms);
}

}  // namespace crocusdoor
