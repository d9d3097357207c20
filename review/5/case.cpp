// The store turns two of six machines away, the two that wait for changes, and serves the others
// and the operator. Meanwhile the operator moves a route to another service.

#include <algorithm>

#include "../rig/mesh.h"

namespace {

using namespace review;

constexpr const char* old_service = "statements";
constexpr const char* new_service = "statements-new";
constexpr milliseconds start_limit{20'000};
constexpr milliseconds sample_time{200};
constexpr milliseconds sample_interval{20};
constexpr milliseconds outage{9'000};
constexpr milliseconds change_delay{50};
constexpr milliseconds deadline{1'000};
constexpr std::size_t machines_turned_away = 2;
constexpr milliseconds request_interval{100};

client_request statement(const std::string& id) {
  return {"GET", "statements.example", "/statements/" + id, id, deadline, ""};
}

nlohmann::json routes(const std::string& service) {
  return nlohmann::json::array(
      {route("lookup", "statements.example", "/statements/", "safe", deadline, service)});
}

/// Machines whose watches wait at the store within a short time.
std::set<std::size_t> find_watchers(mesh& deployment) {
  std::set<std::size_t> seen;
  const auto end = steady::now() + sample_time;
  while (steady::now() < end) {
    seen.merge(deployment.platform().watching());
    std::this_thread::sleep_for(sample_interval);
  }
  return seen;
}

int total_runs(mesh& deployment, const std::set<std::size_t>& machines) {
  int runs = 0;
  for (const std::size_t index : machines) {
    runs += deployment.target(index).runs();
  }
  return runs;
}

int play(record& log) {
  const std::set<std::size_t> old_targets = {0, 1, 2};
  mesh deployment(log,
                  {old_service, old_service, old_service, new_service, new_service, new_service});
  const std::set<std::string> services = {old_service, new_service};
  deployment.start(configuration(1, routes(old_service), services));
  const auto started_at = steady::now();
  if (!deployment.wait_until_serving(statement("start"), start_limit)) {
    return could_not_run;
  }
  std::this_thread::sleep_until(started_at + bounds::contact + change_delay);
  const std::set<std::size_t> watchers = find_watchers(deployment);
  if (watchers.size() != machines_turned_away) {
    log.line("found " + std::to_string(watchers.size()) + " machines that watch");
    return could_not_run;
  }
  const auto outage_end = steady::now() + outage;
  if (with_trouble()) {
    deployment.platform().turn_away(watchers);
  }
  std::this_thread::sleep_for(change_delay);
  deployment.platform().write_configuration(configuration(2, routes(new_service), services));
  const auto bound = steady::now() + bounds::config_apply + bounds::max_skew;
  std::this_thread::sleep_until(bound);
  log.line("configApplyMs + maxSkewMs have passed since the acknowledgement");
  const int runs_before = total_runs(deployment, old_targets);
  int number = 0;
  while (steady::now() < outage_end) {
    for (std::size_t index = 0; index < deployment.size(); ++index) {
      if (!watchers.contains(index)) {
        (void)deployment.send(index, statement("late-" + std::to_string(++number)));
      }
    }
    std::this_thread::sleep_for(request_interval);
  }
  deployment.platform().turn_away({});
  const int late = total_runs(deployment, old_targets) - runs_before;
  log.line("requests from machines that the store serves, sent later than the bound: " +
           std::to_string(number) + ", run by the old service: " + std::to_string(late));
  return late > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int count, char** values) {
  return review::run_case(count, values, play);
}
