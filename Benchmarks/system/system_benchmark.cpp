// Measures M1, M2, M6, M7, M8 and the takeover part of M9 with daemon processes on loopback.
// Usage: system_benchmark [daemons...]; prints one JSON line for each measure.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numeric>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "mesh_under_test.h"
#include "process_usage.h"

namespace crocusdoor::benchmark {

namespace {

using test::mesh_under_test;
using test::test_instance;

constexpr int rounds = 5;
constexpr duration idle_time = std::chrono::seconds(10);
constexpr int calls_per_round = 2000;

void print(const std::string& measure, std::size_t daemons, const json& figures) {
  json line = {{"measure", measure}, {"daemons", daemons}, {"figures", figures}};
  double load_average[1] = {0};
  getloadavg(load_average, 1);
  line["cores"] = std::thread::hardware_concurrency();
  line["load"] = load_average[0];
  std::cout << line.dump() << std::endl;
}

json spread(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {
      {"least", values.front()}, {"median", values[values.size() / 2]}, {"most", values.back()}};
}

double milliseconds(duration span) {
  return static_cast<double>(span.count()) / 1000.0;
}

double percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

json changed_route(int number) {
  return {{"operator", "benchmark"},
          {"reason", "measure"},
          {"intents",
           {{{"put_route",
              {{"name", "changed"},
               {"path_prefix", "/changed-" + std::to_string(number)},
               {"service", "statements"},
               {"decision",
                {{"decided_by", "benchmark"},
                 {"decided_on", "2026-12-04"},
                 {"reason", "measure"}}}}}}}}};
}

/// Returns the sum of a metric without labels over all daemons.
double total_metric(mesh_under_test& mesh, const std::string& name) {
  double total = 0;
  for (test_instance& instance : mesh.instances()) {
    const http_result result = mesh.send(instance.api_port, {"GET", "/metrics", {}, {}});
    std::istringstream lines(result.response.body);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind(name + " ", 0) == 0) {
        total += std::stod(line.substr(name.size() + 1));
      }
    }
  }
  return total;
}

/// Whether every instance reports `version` or a later one.
bool all_have_version(mesh_under_test& mesh, std::uint64_t version) {
  std::vector<std::shared_ptr<test::outstanding_request>> requests;
  for (test_instance& instance : mesh.instances()) {
    requests.push_back(mesh.start(instance.api_port, {"GET", "/v1/instance", {}, {}}));
  }
  const auto answered = [&] {
    return std::all_of(requests.begin(), requests.end(),
                       [](const auto& request) { return request->done; });
  };
  while (!answered()) {
    mesh.run_for(std::chrono::milliseconds(1));
  }
  return std::all_of(requests.begin(), requests.end(), [&](const auto& request) {
    const json description = json::parse(request->result.response.body, nullptr, false);
    return description.is_object() && description.value("version", std::uint64_t{0}) >= version;
  });
}

void measure_convergence(mesh_under_test& mesh) {
  const std::size_t count = mesh.instances().size();
  std::vector<double> times;
  std::vector<double> bytes;
  for (int round = 0; round < rounds; ++round) {
    const http_result planned = mesh.make_plan(changed_route(round), 0);
    const double bytes_before = total_metric(mesh, "crocusdoor_peer_bytes_sent_total");
    const time_point started = mesh.loop().now();
    const http_result confirmed = mesh.send(
        mesh.instance(0).api_port, {"POST", "/v1/confirmations", {}, planned.response.body});
    const auto version = json::parse(confirmed.response.body)["version"].get<std::uint64_t>();
    while (!all_have_version(mesh, version)) {
    }
    times.push_back(milliseconds(mesh.loop().now() - started));
    const double bytes_after = total_metric(mesh, "crocusdoor_peer_bytes_sent_total");
    bytes.push_back((bytes_after - bytes_before) / static_cast<double>(count));
  }
  print("M1 convergence, ms", count, spread(times));
  print("M2 bytes sent per daemon and change, heartbeats included", count, spread(bytes));
}

void measure_idle(mesh_under_test& mesh) {
  const std::size_t count = mesh.instances().size();
  const double seconds = std::chrono::duration<double>(idle_time).count();
  const double bytes_before = total_metric(mesh, "crocusdoor_peer_bytes_sent_total");
  const json calls_before = mesh.platform_counts();
  std::vector<double> cpu;
  cpu.reserve(count);
  for (test_instance& instance : mesh.instances()) {
    cpu.push_back(-read_usage(instance.daemon->id()).cpu_s);
  }
  mesh.run_for(idle_time);
  std::vector<double> memory;
  for (std::size_t i = 0; i < count; ++i) {
    const process_usage usage = read_usage(mesh.instance(i).daemon->id());
    cpu[i] = (cpu[i] + usage.cpu_s) / seconds * 100.0;
    memory.push_back(usage.resident_mb);
  }
  const json calls_after = mesh.platform_counts();
  const double bytes_after = total_metric(mesh, "crocusdoor_peer_bytes_sent_total");
  print("M2 bytes sent per daemon and second, quiet", count,
        {{"mean", (bytes_after - bytes_before) / seconds / static_cast<double>(count)}});
  print("M7 processor time, quiet, percent of a core", count, spread(cpu));
  print("M7 resident memory, MB", count, spread(memory));
  print("M8 platform calls in 10 s, quiet", count,
        {{"before", calls_before}, {"after", calls_after}});
}

std::vector<double> call_times(mesh_under_test& mesh, std::uint16_t port) {
  std::vector<double> times;
  times.reserve(calls_per_round);
  for (int call = 0; call < calls_per_round; ++call) {
    const time_point started = mesh.loop().now();
    const auto sent = mesh.start(port, {"GET", "/statements/1", {}, {}});
    while (!sent->done) {
      mesh.run_loop_once();
    }
    times.push_back(milliseconds(mesh.loop().now() - started));
  }
  return times;
}

void measure_added_latency(mesh_under_test& mesh) {
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  for (int round = 0; round < rounds; ++round) {
    const std::vector<double> direct = call_times(mesh, mesh.instance(0).target_port);
    const std::vector<double> through_daemon = call_times(mesh, mesh.instance(0).caller_port);
    added_p50.push_back(percentile(through_daemon, 0.5) - percentile(direct, 0.5));
    added_p99.push_back(percentile(through_daemon, 0.99) - percentile(direct, 0.99));
  }
  print("M6 added latency, 50th percentile, ms", mesh.instances().size(), spread(added_p50));
  print("M6 added latency, 99th percentile, ms", mesh.instances().size(), spread(added_p99));
}

/// Measures the time from the kill of a daemon until operations of all shards run again. It sends
/// 40 operations right after the kill and waits until the last has ended.
void measure_takeover(mesh_under_test& mesh) {
  const time_point killed = mesh.loop().now();
  mesh.instance(1).daemon->kill();
  std::vector<std::shared_ptr<test::outstanding_request>> sent;
  constexpr int operations = 40;
  sent.reserve(operations);
  for (int i = 0; i < operations; ++i) {
    sent.push_back(mesh.start(mesh.instance(0).caller_port,
                              {"POST",
                               "/statements/once",
                               {{"Idempotency-Key", "takeover-" + std::to_string(i)}},
                               "{}"}));
  }
  mesh.wait_for(sent);
  const auto answered = std::count_if(sent.begin(), sent.end(), [](const auto& request) {
    return request->result.response.status == 200;
  });
  std::map<std::string, int> refusals;
  for (const auto& request : sent) {
    if (request->result.response.status != 200) {
      ++refusals[request->result.response.body];
    }
  }
  print("M9 shard takeover, s until the last of 40 operations", mesh.instances().size(),
        {{"seconds", milliseconds(mesh.loop().now() - killed) / 1000.0}, {"answered", answered}});
}

void run(std::size_t daemons) {
  mesh_under_test mesh(std::vector<std::string>(daemons, "statements"), 0);
  const std::uint64_t version = mesh.apply_intents(test::basic_intents({"statements"}));
  if (!mesh.wait_until_in_force(version) || !mesh.wait_until_ready()) {
    std::cerr << "the mesh of " << daemons << " daemons did not become ready\n";
    return;
  }
  measure_convergence(mesh);
  measure_idle(mesh);
  if (daemons <= 8) {
    measure_added_latency(mesh);
    measure_takeover(mesh);
  }
}

}  // namespace

}  // namespace crocusdoor::benchmark

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::stoul(argv[i]));
  }
  for (const std::size_t size : sizes.empty() ? std::vector<std::size_t>{8, 32} : sizes) {
    crocusdoor::benchmark::run(size);
  }
  return 0;
}
