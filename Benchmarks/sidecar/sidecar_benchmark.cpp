/// Measures the processor time that a sidecar spends on each request, heartbeat and configuration
/// change.

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>

#include "mesh/route_table.h"
#include "mesh/upstream_pool.h"
#include "platform/configuration_reader.h"
#include "platform/contract.h"
#include "platform/list_reader.h"
#include "platform/names.h"
#include "sidecar/sidecar_context.h"
#include "wire/message_codec.h"

namespace crocusdoor {

namespace {

using json = nlohmann::json;

/// Returns a configuration document, as operators write it, with `routes` routes.
std::string make_document(std::int64_t routes) {
  json document = {{"version", 7},
                   {"services", json::array()},
                   {"limits",
                    {{"maxHeaderBytes", 16'384},
                     {"maxBodyBytes", 1'000'000},
                     {"headerTimeoutMs", 3'000},
                     {"idleTimeoutMs", 15'000}}}};
  for (std::int64_t i = 0; i < routes; ++i) {
    const std::string number = std::to_string(i);
    document["routes"].push_back({{"name", "route-" + number},
                                  {"host", "host-" + number + ".example"},
                                  {"pathPrefix", "/path-" + number + "/"},
                                  {"routeType", "safe"},
                                  {"timeoutMs", 2'000},
                                  {"targetLatencyMs", 500},
                                  {"priority", 1},
                                  {"service", "statements"},
                                  {"attempts", 2}});
  }
  return document.dump();
}

wire::envelope make_call(std::size_t body_bytes) {
  wire::call request;
  request.id = 7;
  request.service = service_name("statements");
  request.method = "POST";
  request.path = "/statements/landing?trip=1";
  request.headers = {{"Content-Type", "application/json"},
                     {"Host", "statements.example"},
                     {"X-Attempt-Id", "9c41d07be2a35f68"}};
  request.body = {std::string(body_bytes, 'x')};
  request.work_class = "statements";
  return {3, request};
}

void decode_configuration(benchmark::State& state) {
  const std::string document = make_document(state.range(0));
  for (auto _ : state) {
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(content, platform::decode_configuration(document));
          benchmark::DoNotOptimize(content);
          return {};
        },
        [&](const failure& error) { state.SkipWithError(error.message.c_str()); });
  }
}
BENCHMARK(decode_configuration)->Arg(300)->Arg(1'200)->Unit(benchmark::kMillisecond);

void parse_json(benchmark::State& state) {
  const std::string document = make_document(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(json::parse(document, nullptr, false));
  }
}
BENCHMARK(parse_json)->Arg(1'200)->Unit(benchmark::kMillisecond);

void build_route_table(benchmark::State& state) {
  const std::string document = make_document(state.range(0));
  mesh_configuration content;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(content, platform::decode_configuration(document));
        return {};
      },
      [](const failure&) {});
  for (auto _ : state) {
    benchmark::DoNotOptimize(route_table(content));
  }
}
BENCHMARK(build_route_table)->Arg(1'200)->Unit(benchmark::kMillisecond);

void encode_call(benchmark::State& state) {
  const wire::envelope request = make_call(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::encode(request));
  }
}
BENCHMARK(encode_call)->Arg(0)->Arg(5'000);

void decode_call(benchmark::State& state) {
  const std::string bytes = wire::encode(make_call(static_cast<std::size_t>(state.range(0))));
  for (auto _ : state) {
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(received, wire::decode(bytes));
          benchmark::DoNotOptimize(received);
          return {};
        },
        [&](const failure& error) { state.SkipWithError(error.message.c_str()); });
  }
}
BENCHMARK(decode_call)->Arg(0)->Arg(5'000);

/// Returns the change that a watcher sends to its peers when operators have added `routes` routes.
wire::envelope make_change(std::int64_t routes) {
  mesh_configuration after;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(after, platform::decode_configuration(make_document(routes)));
        return {};
      },
      [](const failure&) {});
  return {1, change_between({}, after)};
}

void encode_change(benchmark::State& state) {
  const wire::envelope change = make_change(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::encode(change));
  }
}
BENCHMARK(encode_change)->Arg(1)->Arg(1'600)->Unit(benchmark::kMillisecond);

/// The first argument is the number of added routes, the second the number of peers that get the
/// change.
void encode_change_for_peers(benchmark::State& state) {
  const wire::envelope change = make_change(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const wire::shared_message shared_content(change.content);
    for (std::int64_t peer = 0; peer < state.range(1); ++peer) {
      const std::string payload = wire::encode(1, shared_content, true);
      bytes = payload.size();
      benchmark::DoNotOptimize(payload);
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encode_change_for_peers)
    ->Args({1, 28})
    ->Args({1'600, 1})
    ->Args({1'600, 28})
    ->Unit(benchmark::kMillisecond);

void decode_deflated_change(benchmark::State& state) {
  const wire::shared_message shared_content(make_change(state.range(0)).content);
  const std::string bytes = wire::encode(1, shared_content, true);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::decode(bytes));
  }
}
BENCHMARK(decode_deflated_change)->Arg(1'600)->Unit(benchmark::kMillisecond);

void decode_change(benchmark::State& state) {
  const std::string bytes = wire::encode(make_change(state.range(0)));
  state.counters["bytes"] = static_cast<double>(bytes.size());
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::decode(bytes));
  }
}
BENCHMARK(decode_change)->Arg(1)->Arg(1'600)->Unit(benchmark::kMillisecond);

void apply_received_change(benchmark::State& state) {
  const wire::envelope change = make_change(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(apply_change({}, std::get<configuration_change>(change.content)));
  }
}
BENCHMARK(apply_received_change)->Arg(1'600)->Unit(benchmark::kMillisecond);

wire::envelope make_heartbeat() {
  wire::heartbeat heartbeat;
  heartbeat.sequence = 9;
  load_report load;
  load.slots = 8;
  load.slots_in_use = 8;
  load.wait_ms = {10, 20, 30, 40};
  heartbeat.load = load;
  return {3, heartbeat};
}

void encode_heartbeat(benchmark::State& state) {
  const wire::envelope heartbeat = make_heartbeat();
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::encode(heartbeat));
  }
}
BENCHMARK(encode_heartbeat);

void decode_heartbeat(benchmark::State& state) {
  const std::string bytes = wire::encode(make_heartbeat());
  for (auto _ : state) {
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(received, wire::decode(bytes));
          benchmark::DoNotOptimize(received);
          return {};
        },
        [&](const failure& error) { state.SkipWithError(error.message.c_str()); });
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(decode_heartbeat);

void choose_upstream(benchmark::State& state) {
  upstream_pool pool{failure_domain("a")};
  random_source random{1};
  const time_point now{std::chrono::seconds(100)};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    pool.set_upstream({instance_name("instance-" + std::to_string(i)),
                       service_name(i % 2 == 0 ? "statements" : "settlements"),
                       failure_domain(i % 3 == 0 ? "a" : "b"),
                       8,
                       true,
                       {}});
  }
  const placement_request request{service_name("statements"),     "statements",           1, {},
                                  std::chrono::milliseconds(300), std::chrono::seconds(2)};
  for (auto _ : state) {
    benchmark::DoNotOptimize(pool.choose(request, now, random));
  }
}
BENCHMARK(choose_upstream)->Arg(13)->Arg(90)->Arg(300);

/// The objects that the parts of a sidecar share, without any network.
struct shared_objects {
  event_loop loop;
  random_source random{1};
  sidecar_settings options;
  platform_contract contract = platform::make_contract();
  retry_limit retries;
  crash_counts crashes;
  metrics counters;
  decision_log log{loop, "instance", options.log, STDOUT_FILENO};
  start_timeline start{loop, log, counters};
  sidecar_context context{loop,
                          random,
                          options,
                          contract,
                          retries,
                          crashes,
                          log,
                          counters,
                          start,
                          nullptr,
                          {instance_name("instance"), 1},
                          {}};
};

/// Which requests have crashed targets.
enum class known_crash { none, another_request, same_request };

/// What a sidecar does with the crash counts of one request that runs on its target and completes:
/// it looks them up when the request arrives and before it starts, and resets them at its end.
void run_request(sidecar_context& shared, const wire::call& call, time_point now) {
  const request_identity identity;
  if (shared.crashes.empty()) {
    const digest& request = identity.without_features(call).request;
    benchmark::DoNotOptimize(shared.crashes.completed(request, now));
    return;
  }
  for (int check = 0; check < 2; ++check) {
    const repeated_request& request = identify(shared, call, identity);
    benchmark::DoNotOptimize(shared.crashes.refusal_left(request, now));
  }
  benchmark::DoNotOptimize(shared.crashes.counts(identify(shared, call, identity)));
  for (const crash_count& known : shared.crashes.counts(identify(shared, call, identity))) {
    benchmark::DoNotOptimize(shared.crashes.completed(known.request, now));
  }
}

/// The first argument is a `known_crash`, the second the size of the body in bytes.
void identify_request(benchmark::State& state) {
  shared_objects objects;
  const time_point now{std::chrono::seconds(100)};
  const wire::envelope request = make_call(static_cast<std::size_t>(state.range(1)));
  const auto& call = std::get<wire::call>(request.content);
  const auto crash = static_cast<known_crash>(state.range(0));
  if (crash != known_crash::none) {
    const digest crashed =
        crash == known_crash::same_request ? repeated_request_digest(call) : digest_of("another");
    objects.crashes.crashed(crashed, {crashed}, now);
  }
  for (auto _ : state) {
    run_request(objects.context, call, now);
  }
}
BENCHMARK(identify_request)->ArgsProduct({{0, 1, 2}, {0, 5'000}});

/// Returns a listing of the daemons' entries, as the store sends it. One in ten has a departure and
/// a refused request.
std::string make_listing(std::int64_t entries) {
  json items = json::array();
  for (std::int64_t i = 0; i < entries; ++i) {
    const std::string number = std::to_string(i);
    json spec = {{platform::names::entry_endpoint, "10.0.0." + number + ":7600"},
                 {platform::names::entry_crashing_requests, json::array()},
                 {platform::names::entry_departures, json::array()}};
    if (i % 10 == 0) {
      spec[platform::names::entry_crashing_requests].push_back(
          {{"request", digest_of(number).str()}, {"clearings", 1}, {"crashes", 2}});
      spec[platform::names::entry_departures].push_back(
          {{"target", "target-" + number}, {"born", 1'700'000'000'000}, {"start_known", true}});
    }
    items.push_back(
        {{"metadata", {{"name", "instance-" + number}, {"revision", i + 1}}}, {"spec", spec}});
  }
  return json{{"items", items}, {"storeRevision", entries}, {"truncated", false}}.dump();
}

void read_listing(benchmark::State& state) {
  const std::string body = make_listing(state.range(0));
  std::size_t readable = 0;
  for (auto _ : state) {
    readable = 0;
    handle_failure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(list, platform::read_list(body, "items"));
          for (const std::string& element : list.elements) {
            readable += platform::read_listed_daemon(element).readable ? 1 : 0;
          }
          return {};
        },
        [&](const failure& error) { state.SkipWithError(error.message.c_str()); });
  }
  state.counters["readable"] = static_cast<double>(readable);
  state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(read_listing)->Arg(195)->Unit(benchmark::kMicrosecond);

/// The part of `read_listing` that reads the entries of a listing that has been split.
void read_entries(benchmark::State& state) {
  std::vector<std::string> elements;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(list, platform::read_list(make_listing(state.range(0)), "items"));
        elements = list.elements;
        return {};
      },
      [&](const failure& error) { state.SkipWithError(error.message.c_str()); });
  for (auto _ : state) {
    for (const std::string& element : elements) {
      benchmark::DoNotOptimize(platform::read_listed_daemon(element));
    }
  }
}
BENCHMARK(read_entries)->Arg(195)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace crocusdoor

BENCHMARK_MAIN();
