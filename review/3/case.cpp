// An upstream crashes and another one starts at its address. The first heartbeat of the new one is
// late, and it leaves before that heartbeat arrives.

#include "../rig/mesh.h"

namespace {

using namespace review;

constexpr const char* caller_service = "portal";
constexpr const char* service = "certificates";
constexpr std::size_t replaced_machine = 1;
constexpr std::size_t client_machine = 0;
constexpr milliseconds start_limit{20'000};
constexpr milliseconds down_time{300};
constexpr milliseconds time_until_leaving{500};
constexpr milliseconds heartbeat_delay{2'000};
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
  const nlohmann::json routes = nlohmann::json::array(
      {route("issue", "certificates.example", "/certificates/", "unsafe", deadline, service)});
  deployment.start(configuration(1, routes, {caller_service, service}));
  if (!deployment.wait_until_serving(certificate("start"), start_limit)) {
    return could_not_run;
  }
  std::this_thread::sleep_for(bounds::contact);
  deployment.crash_target(replaced_machine);
  std::this_thread::sleep_for(down_time);
  deployment.start_target(replaced_machine, "i-new", false);
  upstream& leaving = deployment.target(replaced_machine);
  const std::string heartbeat = leaving.next_heartbeat();
  const auto heartbeat_at = steady::now() + heartbeat_delay;
  if (!with_trouble()) {
    leaving.deliver(heartbeat, "first heartbeat, in time,");
  }
  std::this_thread::sleep_for(time_until_leaving);
  if (!leaving.leave()) {
    return could_not_run;
  }
  const auto bound = steady::now() + bounds::drain;
  std::this_thread::sleep_until(heartbeat_at);
  if (with_trouble()) {
    leaving.deliver(heartbeat, "first heartbeat, late,");
  }
  std::this_thread::sleep_until(bound);
  log.line("drainMs has passed since the acknowledgement");
  for (int number = 0; number < requests; ++number) {
    (void)deployment.send(client_machine, certificate("after-" + std::to_string(number)));
    std::this_thread::sleep_for(request_interval);
  }
  const int late = leaving.runs_after_leaving(bounds::drain, bound);
  log.line("requests that reached the upstream later than drainMs after the acknowledgement: " +
           std::to_string(late));
  return late > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int count, char** values) {
  return review::run_case(count, values, play);
}
