// Case 10: after one heartbeat whose id is not UTF-8, a sidecar acknowledges no leaving upstream.

#include "../rig-2/rig.h"

namespace {

using namespace review;

constexpr std::int64_t acknowledge_limit_ms = 4000;  // ackMs
constexpr std::int64_t contact_ms = 3000;            // contactMs
constexpr std::int64_t draining_ms = 9000;           // How long a leaving upstream is observed.

/// A heartbeat from another writer: its id has bytes that are no text.
void send_unreadable_heartbeat(const machine& to, record& log) {
  const std::string id = "i-\xff\xfe";
  const json beat = {{"service", to.options().service},
                     {"address", to.upstream_address()},
                     {"zone", to.options().zone},
                     {"version", "v1"},
                     {"capacity", 9},
                     {"state", "draining"},
                     {"warmupLeftMs", 0},
                     {"sequence", 1},
                     {"born", 1}};
  const call_result result = call(to.control(), "PUT", "/instances/" + id,
                                  {{"Content-Type", "application/json"}}, beat.dump(), 1000);
  log.line("heartbeat of another writer, id " + printable(id) + ", to " + to.options().name + ": " +
           (result.status == 0 ? result.end : std::to_string(result.status)));
}

/// Requests of clients at each machine, to see that the deployment serves.
int count_served(const machine_list& machines, record& log) {
  int served = 0;
  for (const auto& node : machines) {
    const std::string attempt = random_id();
    const call_result result =
        call(node->outbound(), "POST", "/lab/x",
             {{"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "1500"}}, "sample", 2000);
    log.line("client " + attempt + " at " + node->options().name + ": " +
             (result.status == 0 ? result.end : std::to_string(result.status)));
    served += result.status == 200 ? 1 : 0;
  }
  return served;
}

int run(const std::string& program, const std::string& folder) {
  record log(folder + "/record.txt");
  const temporary_folder temporary;
  store_stand_in store;
  store.write("config", "main",
              configuration(7,
                            {route("read", "/web/", "web", "safe"),
                             route("register", "/lab/", "lab", "unsafe"),
                             route("issue", "/cert/", "cert", "unsafe")},
                            {"web", "lab", "cert"}));
  machine_list machines;
  // One upstream of seven leaves: a share of 0.143.
  const std::vector<std::string> services = {"lab", "lab", "lab", "lab", "lab",
                                             "lab", "lab", "web", "cert"};
  for (int i = 0; i < 9; ++i) {
    machines.push_back(std::make_unique<machine>(
        machine_options{"sidecar-" + std::to_string(i + 1), "zone-" + std::to_string(i % 3 + 1),
                        services[static_cast<std::size_t>(i)], store.port()},
        log, program, temporary.path()));
  }
  if (!await_ready(machines, 15'000)) {
    log.line("the machines did not become ready");
    return cannot_run;
  }
  sleep_ms(2000);
  const int served = count_served(machines, log);
  if (with_trouble()) {
    send_unreadable_heartbeat(*machines[0], log);
  }
  sleep_ms(2 * contact_ms);
  count_served(machines, log);
  const std::size_t leaving = 1;
  for (std::size_t i = 0; i < leaving; ++i) {
    machines[i]->leave();
  }
  sleep_ms(draining_ms);
  std::size_t missing = 0;
  for (std::size_t i = 0; i < leaving; ++i) {
    const machine& node = *machines[i];
    const std::int64_t at = node.leave_acknowledged();
    const bool in_time = at >= 0 && at - node.leaving_since() <= acknowledge_limit_ms;
    missing += in_time ? 0 : 1;
    log.line("upstream " + node.upstream_id() + " at " + node.options().name + ": " +
             (at < 0 ? std::string("no acknowledgement")
                     : "acknowledged after " + std::to_string(at - node.leaving_since()) + " ms"));
  }
  log.line(std::to_string(missing) + " of " + std::to_string(leaving) +
           " leaving upstreams without an acknowledgement within ackMs; " + std::to_string(served) +
           " requests served before");
  return missing * 5 > leaving ? broken : held;
}

}  // namespace

int main(int count, char** values) {
  if (count != 3) {
    std::cerr << "usage: case-10 SIDECAR FOLDER\n";
    return cannot_run;
  }
  try {
    return run(values[1], values[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return cannot_run;
  }
}
