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

constexpr std::size_t fleet = 6'000;
constexpr duration step = 100ms;
constexpr duration connect_time_out = 1s;
constexpr std::size_t contacts_at_once = 3;

struct returning_daemon {
  explicit returning_daemon(std::size_t index) : known(make_record(index, 22)) {}
  directory known;
  platform_budget budget;
  reconnect_backoff backoff;
  time_point next_attempt;
  bool joined = false;
};

struct storm_result {
  std::size_t most_reads_in_a_second = 0;
  std::size_t joined = 0;
  duration last_join{0};
};

/// All daemons want to read the platform at time zero: those with an even number have lost
/// everything and read announcements, of which half are stale; the others hear of no watcher and
/// read the head once.
storm_result run_storm(random_source& random) {
  constexpr time_point start{1h};
  std::vector<std::unique_ptr<returning_daemon>> returning;
  for (std::size_t i = 0; i < fleet; i += 2) {
    returning.push_back(std::make_unique<returning_daemon>(i));
  }
  std::vector<platform_budget> others(fleet / 2);
  std::vector<bool> has_read(others.size());
  std::vector<std::size_t> reads;
  storm_result result;
  for (time_point now = start; now < start + 60s; now += step) {
    std::size_t reads_now = 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
      if (!has_read[i] && others[i].take(fleet, now, random)) {
        has_read[i] = true;
        ++reads_now;
      }
    }
    for (const auto& daemon : returning) {
      if (daemon->joined) {
        continue;
      }
      const auto contacts = daemon->known.contacts(contacts_at_once, random);
      if (contacts.empty()) {
        if (daemon->budget.take(daemon->known.live_count(), now, random)) {
          ++reads_now;
          for (std::size_t k = 0; k < 20; ++k) {
            daemon->known.add_hint(make_record(random.index(fleet), 22));
          }
        }
      } else if (daemon->next_attempt <= now) {
        for (const instance_record& contact : contacts) {
          const auto index = std::stoul(contact.name.str().substr(6));
          daemon->joined = daemon->joined || index % 2 == 1;
          daemon->known.contact_failed(contact.name);
        }
        daemon->next_attempt = now + connect_time_out + daemon->backoff.next_delay(random);
        result.joined += daemon->joined ? 1 : 0;
        result.last_join = daemon->joined ? now - start : result.last_join;
      }
    }
    reads.push_back(reads_now);
    const auto second = reads.end() - std::min<std::ptrdiff_t>(std::ssize(reads), 10);
    result.most_reads_in_a_second = std::max(result.most_reads_in_a_second,
                                             std::accumulate(second, reads.end(), std::size_t{0}));
  }
  return result;
}

}  // namespace

TEST_CASE("the return of half of 6,000 instances at once stays within the platform's budget",
          "[F1][F2]") {
  // Guards against a reconnect storm: each returning daemon knows only itself.
  const auto seed = GENERATE(range(1, 4));
  random_source random(static_cast<std::uint64_t>(seed));
  const storm_result result = run_storm(random);
  CHECK(result.most_reads_in_a_second < 1'000);
  CHECK(result.most_reads_in_a_second > 500);
  CHECK(result.joined == fleet / 2);
  CHECK(result.last_join < 30s);
  WARN("reads in the busiest second: " << result.most_reads_in_a_second << ", all joined after "
                                       << result.last_join.count() / 1000 << " ms");
}

TEST_CASE("the platform budget of one daemon", "[M8]") {
  random_source random(1);
  platform_budget budget;
  const time_point start{1h};
  std::size_t granted = 0;
  for (time_point now = start; now < start + 75s; now += 50ms) {
    granted += budget.take(1, now, random) ? 1 : 0;
  }
  // A share of 800 reads a second among 6,000 is one read each 7.5 s.
  CHECK(granted >= 9);
  CHECK(granted <= 11);
  CHECK(budget.interval(12'000) == 15s);
}

TEST_CASE("delays between connection attempts grow to a cap and start again", "[F1]") {
  random_source random(1);
  reconnect_backoff backoff;
  duration longest{0};
  for (int i = 0; i < 1000; ++i) {
    const duration delay = backoff.next_delay(random);
    CHECK(delay < std::min<duration>(10s, 100ms * (1 << std::min(i, 10))));
    longest = std::max(longest, delay);
  }
  CHECK(longest > 9s);
  backoff.succeeded();
  CHECK(backoff.next_delay(random) < 100ms);
}

}  // namespace crocusdoor
