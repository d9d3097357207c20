// Measures encoded sizes and CPU times at the full size of a configuration: 320 services with 2
// routes and 1 action each. The figures in docs/design/configuration.md come from this program. No
// test depends on it.
#include <benchmark/benchmark.h>

#include "configuration/snapshot_diff.h"
#include "configuration_fixtures.h"

namespace crocusdoor {

namespace {

constexpr int service_count = 320;

snapshot full_size() {
  const decision_record decision{
      "board", "2026-03-02",
      "Members read their statements late at night on low-end phones; the board decided that reads "
      "never wait behind payouts."};
  snapshot content;
  content.version = 1000;
  for (int i = 0; i < service_count; ++i) {
    const std::string name = "share-statements-" + std::to_string(i);
    service added = make_service(name);
    added.decision = decision;
    content.services.emplace(added.name, added);
    for (const char* suffix : {"-v1", "-v2"}) {
      route added_route = make_route(name + suffix, "/coast/" + name + "/" + (suffix + 1), name);
      added_route.decision = decision;
      content.routes.emplace(added_route.name, added_route);
    }
    run_once_action action = make_action(name + "-payout", "/coast/" + name + "/v2/payouts", name);
    action.decision = decision;
    content.actions.emplace(action.name, action);
  }
  return content;
}

const snapshot& content() {
  static const snapshot cached = full_size();
  return cached;
}

snapshot with_route_change() {
  snapshot next = content();
  ++next.version;
  next.routes.begin()->second.timeout_ms = std::chrono::milliseconds(2'000);
  return next;
}

head_document full_head() {
  head_document head = make_head(content());
  for (std::size_t i = 0; i < head_change_limit; ++i) {
    const intent_document document{
        "operator",
        "a reason of ordinary length for a change of one route",
        {{.put_service = make_service("share-statements-0", static_cast<std::int32_t>(i + 1))}}};
    const plan new_plan =
        make_plan(head, document, std::to_string(i) + std::string(30, 'f'), {}).value();
    head = confirm_plan(head, new_plan, std::string(32, 'f'), wall_time{}).value().next;
  }
  return head;
}

std::size_t cbor_size(const json& document) {
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes.size();
}

void sizes(benchmark::State& state) {
  for (auto _ : state) {
    const snapshot next = with_route_change();
    const configuration_delta delta = delta_between(content(), next, digest_of(next));
    state.counters["snapshot_bytes"] = static_cast<double>(encode_snapshot(content()).size());
    state.counters["snapshot_cbor"] = static_cast<double>(cbor_size(encode_value(content())));
    state.counters["head_bytes"] = static_cast<double>(encode_head(full_head()).size());
    state.counters["delta_json"] = static_cast<double>(encode_value(delta).dump().size());
    state.counters["delta_cbor"] = static_cast<double>(cbor_size(encode_value(delta)));
  }
}
BENCHMARK(sizes)->Iterations(1);

void validate_snapshot(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(validate(content()));
  }
}
BENCHMARK(validate_snapshot)->Unit(benchmark::kMicrosecond);

void digest_snapshot(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(digest_of(content()));
  }
}
BENCHMARK(digest_snapshot)->Unit(benchmark::kMicrosecond);

void build_index(benchmark::State& state) {
  snapshot copy = content();
  for (auto _ : state) {
    copy.index.build(copy);
  }
}
BENCHMARK(build_index)->Unit(benchmark::kMicrosecond);

void adopt_snapshot(benchmark::State& state) {
  const digest known = digest_of(content());
  for (auto _ : state) {
    configuration_holder holder;
    benchmark::DoNotOptimize(holder.offer(content(), known));
  }
}
BENCHMARK(adopt_snapshot)->Unit(benchmark::kMicrosecond);

void adopt_delta(benchmark::State& state) {
  configuration_holder base;
  base.offer(content(), digest_of(content()));
  const snapshot next = with_route_change();
  const configuration_delta delta = delta_between(content(), next, digest_of(next));
  for (auto _ : state) {
    configuration_holder holder = base;
    benchmark::DoNotOptimize(holder.offer(delta));
  }
}
BENCHMARK(adopt_delta)->Unit(benchmark::kMicrosecond);

void read_head(benchmark::State& state) {
  const std::string text = encode_head(full_head());
  for (auto _ : state) {
    benchmark::DoNotOptimize(parse_head(text));
  }
}
BENCHMARK(read_head)->Unit(benchmark::kMicrosecond);

void plan_and_confirm(benchmark::State& state) {
  const head_document head = full_head();
  const intent_document document{"operator", "reason", {{.put_service = make_service("new")}}};
  for (auto _ : state) {
    const plan new_plan = make_plan(head, document, "plan", {}).value();
    benchmark::DoNotOptimize(confirm_plan(head, new_plan, "nonce", wall_time{}));
  }
}
BENCHMARK(plan_and_confirm)->Unit(benchmark::kMicrosecond);

void search_route(benchmark::State& state, const snapshot& searched) {
  int next = 0;
  for (auto _ : state) {
    const std::string path =
        "/coast/share-statements-" + std::to_string(next++ % service_count) + "/v2/members/17?a=b";
    benchmark::DoNotOptimize(find_route(searched, path));
  }
}

void find_route_linear(benchmark::State& state) {
  search_route(state, content());
}
BENCHMARK(find_route_linear)->Unit(benchmark::kNanosecond);

void find_route_indexed(benchmark::State& state) {
  search_route(state, *share_snapshot(content()));
}
BENCHMARK(find_route_indexed)->Unit(benchmark::kNanosecond);

}  // namespace

}  // namespace crocusdoor

BENCHMARK_MAIN();
