// An upstream leaves and its leaving is acknowledged; all sidecars are killed at once; a heartbeat
// that the upstream sent before it left arrives late.

#include <csignal>

#include "../rig/mesh.h"

namespace {

using namespace review;

constexpr const char* caller_service = "portal";
constexpr const char* service = "certificates";
constexpr std::size_t leaving_machine = 1;
constexpr std::size_t client_machine = 0;
constexpr milliseconds start_limit{20'000};
constexpr milliseconds down_time{500};
/// The heartbeat is sent just before the upstream leaves and arrives this much later.
constexpr milliseconds heartbeat_delay{2'500};
constexpr milliseconds deadline{1'000};
constexpr int requests = 100;
constexpr milliseconds request_interval{20};

client_request certificate(const std::string& id) {
  return {"PUT", "certificates.example", "/certificates/" + id, id, deadline, "body"};
}

int play(record& log) {
  // One of seven upstreams is a share of 0.143.
  mesh deployment(log,
                  {caller_service, service, service, service, service, service, service, service});
  deployment.start(configuration(
      1,
      nlohmann::json::array(
          {route("issue", "certificates.example", "/certificates/", "unsafe", deadline, service)}),
      {caller_service, service}));
  if (!deployment.wait_until_serving(certificate("start"), start_limit)) {
    return could_not_run;
  }
  std::this_thread::sleep_for(bounds::contact);
  upstream& leaving = deployment.target(leaving_machine);
  const std::string late_heartbeat = leaving.next_heartbeat();
  const auto heartbeat_at = steady::now() + heartbeat_delay;
  if (!leaving.leave()) {
    return could_not_run;
  }
  const auto restarted_from = steady::now();
  if (with_trouble()) {
    for (std::size_t index = 0; index < deployment.size(); ++index) {
      deployment.node(index).kill();
    }
    std::this_thread::sleep_for(down_time);
    for (std::size_t index = 0; index < deployment.size(); ++index) {
      deployment.node(index).start();
    }
  }
  std::this_thread::sleep_until(heartbeat_at);
  leaving.deliver(late_heartbeat, "late heartbeat");
  // All machines are in touch again when their processes have run for this long.
  const auto in_touch_at =
      std::max(heartbeat_at, restarted_from + down_time + bounds::contact + milliseconds(1'000));
  std::this_thread::sleep_until(in_touch_at);
  log.line("all machines are in touch");
  for (int number = 0; number < requests; ++number) {
    (void)deployment.send(client_machine, certificate("after-" + std::to_string(number)));
    std::this_thread::sleep_for(request_interval);
  }
  const int late = leaving.runs_after_leaving(bounds::drain, in_touch_at);
  log.line("requests that reached the upstream later than drainMs after the acknowledgement: " +
           std::to_string(late));
  return late > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int count, char** values) {
  return review::run_case(count, values, play);
}
