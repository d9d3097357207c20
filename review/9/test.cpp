// Case 9: a new configuration is not in force at machines that the store serves, because the store
// turns away the two machines that watch it.

#include "../rig-2/rig.h"

namespace {

using namespace review;

constexpr std::int64_t apply_ms = 2000;        // configApplyMs
constexpr std::int64_t skew_ms = 5000;         // maxSkewMs, for a core that is not stable
constexpr std::int64_t turned_away_ms = 9000;  // Of the site's platform_down "nodes".
constexpr std::int64_t change_ms = 300;        // From the start of the disruption.
constexpr std::int64_t settled_ms = 3000;      // contactMs
constexpr std::int64_t request_pause_ms = 50;
constexpr std::size_t machine_count = 6;
constexpr std::size_t watcher_count = 2;  // 2 of 6: a share of 0.33.

json version(std::uint64_t number, const std::string& service) {
  return configuration(
      number,
      {route("read", "/web/", "web", "safe"), route("register", "/lab/", service, "unsafe")},
      {"web", "lab", "cert"});
}

/// What became of the requests that were sent later than the bound.
struct outcome {
  std::atomic<int> late = 0;   ///< Sent later than the bound at a machine that is served.
  std::atomic<int> stale = 0;  ///< Those of them that the old service ran.
};

void send_requests(const machine& node, const std::atomic<bool>& ended,
                   const std::atomic<std::int64_t>& bound, outcome& result, record& log) {
  while (!ended) {
    const std::string attempt = random_id();
    const std::int64_t sent_at = elapsed_ms();
    const call_result answer =
        call(node.outbound(), "POST", "/lab/x",
             {{"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "1500"}}, "sample", 2000);
    const std::string service = answer.response.header("x-ran-at");
    std::string line = "client " + attempt + " at " + node.options().name;
    line.append(", sent at ").append(std::to_string(sent_at)).append(" ms: ");
    line += answer.status == 0 ? answer.end : std::to_string(answer.status);
    line.append(service.empty() ? "" : ", run by " + service);
    log.line(line);
    if (bound > 0 && sent_at > bound && !service.empty()) {
      ++result.late;
      result.stale += service == "lab" ? 1 : 0;
    }
    sleep_ms(request_pause_ms);
  }
}

int run(const std::string& program, const std::string& folder) {
  record log(folder + "/record.txt");
  const temporary_folder temporary;
  store_stand_in store;
  store.write("config", "main", version(7, "lab"));
  machine_list machines;
  std::vector<std::size_t> numbers;
  const std::vector<std::string> services = {"web", "lab", "cert"};
  for (std::size_t i = 0; i < machine_count; ++i) {
    const auto [number, port] = store.add_machine();
    numbers.push_back(number);
    machines.push_back(std::make_unique<machine>(
        machine_options{"sidecar-" + std::to_string(i + 1), "zone-1", services[i % 3], port}, log,
        program, temporary.path()));
  }
  if (!await_ready(machines, 15'000)) {
    log.line("the machines did not become ready");
    return cannot_run;
  }
  sleep_ms(settled_ms);
  std::set<std::size_t> watchers;
  for (const std::int64_t until = elapsed_ms() + settled_ms;
       elapsed_ms() < until && watchers.size() != watcher_count;) {
    watchers = store.watching_machines();
    sleep_ms(5);
  }
  if (watchers.size() != watcher_count) {
    log.line("not two machines watch");
    return cannot_run;
  }
  std::atomic<bool> ended = false;
  std::atomic<std::int64_t> bound = 0;
  outcome result;
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < machine_count; ++i) {
    if (!watchers.contains(numbers[i])) {
      clients.emplace_back([&, i] { send_requests(*machines[i], ended, bound, result, log); });
    }
  }
  const std::int64_t began_at = elapsed_ms();
  if (with_trouble()) {
    store.turn_away(watchers);
    for (const std::size_t number : watchers) {
      log.line("the store turns sidecar-" + std::to_string(number) + " away");
    }
  }
  sleep_ms(change_ms);
  store.write("config", "main", version(9, "cert"));
  bound = elapsed_ms() + apply_ms + skew_ms;
  log.line("version 9 is acknowledged; it moves /lab/ to the service cert");
  sleep_ms(began_at + turned_away_ms - elapsed_ms());
  store.turn_away({});
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  log.line(std::to_string(result.stale) + " of " + std::to_string(result.late) +
           " requests sent later than configApplyMs + maxSkewMs were run by the old service");
  if (result.late == 0) {
    return cannot_run;
  }
  return result.stale > 0 ? broken : held;
}

}  // namespace

int main(int count, char** values) {
  if (count != 3) {
    std::cerr << "usage: case-9 SIDECAR FOLDER\n";
    return cannot_run;
  }
  try {
    return run(values[1], values[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return cannot_run;
  }
}
