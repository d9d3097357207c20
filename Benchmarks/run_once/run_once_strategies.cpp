// Compares strategies for making run-once claims durable by the number of platform writes per
// action and the latency that they add. The clock is virtual, so the results don't depend on the
// machine.
#include <cstdio>
#include <string>

#include "action_load.h"
#include "run_once/claim_service.h"
#include "run_once/object_per_action.h"

namespace {

using namespace crocusdoor;
using namespace crocusdoor::testing;
using namespace std::chrono_literals;

constexpr duration platform_latency = 4ms;
constexpr duration target_time = 10ms;
constexpr duration span = 4s;

double milliseconds(duration value) {
  return static_cast<double>(value.count()) / 1000.0;
}

void print_row(const char* strategy, std::size_t workers, const load_figures& figures) {
  const auto claim_p50 = milliseconds(load_figures::quantile(figures.claim_latency, 0.5));
  const auto claim_p99 = milliseconds(load_figures::quantile(figures.claim_latency, 0.99));
  const auto completion_p50 = milliseconds(load_figures::quantile(figures.completion_latency, 0.5));
  const auto actions = static_cast<double>(figures.actions);
  const double seconds = milliseconds(figures.elapsed) / 1000.0;
  const double round_trip = milliseconds(platform_latency);
  std::printf(
      "| %s | %zu | %.0f | %.0f | %.0f | %.2f | %.2f (%.2f) | %.2f (%.2f) | %.2f (%.2f) |\n",
      strategy, workers, actions / seconds, static_cast<double>(figures.writes) / seconds,
      static_cast<double>(figures.reads) / seconds, actions / static_cast<double>(figures.writes),
      claim_p50, claim_p50 / round_trip, claim_p99, claim_p99 / round_trip, completion_p50,
      completion_p50 / round_trip);
}

load_figures run_shards(std::uint32_t shards, std::size_t workers,
                        duration write_interval = duration::zero()) {
  random_source random(1);
  shard_log_settings settings;
  settings.write_interval = write_interval;
  claim_service service(instance_name("a"), random, settings, shards);
  action_load load(service, platform_latency, target_time);
  load.execute_until_idle(service.set_live_members({instance_name("a")}, load.now()));
  return load.run(workers, span);
}

load_figures run_object_per_action(std::size_t workers) {
  random_source random(1);
  object_per_action log(random);
  action_load load(log, platform_latency, target_time);
  return load.run(workers, span);
}

}  // namespace

int main() {
  std::printf(
      "platform %.0f ms, target %.0f ms, %.0f s of virtual time; latencies in ms (platform "
      "round trips)\n\n",
      milliseconds(platform_latency), milliseconds(target_time), milliseconds(span) / 1000.0);
  std::printf(
      "| strategy | concurrent | actions/s | writes/s | reads/s | actions/write | claim "
      "p50 | claim p99 | completion p50 |\n|---|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t workers : {1, 8, 64, 256}) {
    print_row("shard log, 64 shards", workers, run_shards(64, workers));
    print_row("shard log, 64 shards, 4 writes/s each", workers, run_shards(64, workers, 250ms));
    print_row("shard log, 8 shards", workers, run_shards(8, workers));
    print_row("shard log, 8 shards, 32 writes/s each", workers, run_shards(8, workers, 31ms));
    print_row("shard log, 1 shard", workers, run_shards(1, workers));
    print_row("object per action", workers, run_object_per_action(workers));
  }
  return 0;
}
