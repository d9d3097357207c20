// One caller's request crashes each upstream that begins to run it and comes again. Other callers
// send requests with the same path, which the upstreams answer.

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

#include "../rig/mesh.h"

namespace {

using namespace review;

constexpr const char* service = "statements";
constexpr const char* crashing_caller = "portal";
constexpr const char* other_caller = "desk";
constexpr std::size_t crashing_machine = 0;
constexpr std::size_t other_machine = 1;
constexpr std::size_t first_target = 2;
constexpr const char* crashing_user = "user-17";
constexpr milliseconds start_limit{20'000};
constexpr milliseconds duration{25'000};
constexpr milliseconds deadline{1'000};
/// An upstream is back this long after a crash.
constexpr milliseconds recovery{2'000};
constexpr milliseconds repeat_interval{1'000};
constexpr milliseconds other_interval{40};
constexpr milliseconds supervision_interval{5};
constexpr std::size_t crashes_before_rule = 3;
constexpr int retries_allowed = 3;

client_request own_statement(const std::string& id, const std::string& user) {
  return {"GET", "statements.example", "/statements/own", id, deadline, "", user};
}

/// Ends the upstreams that have crashed and starts them again. Counts the crashes.
class supervisor {
 public:
  supervisor(mesh& deployment, std::atomic<bool>& over)
      : deployment_(deployment), over_(over), thread_([this] { run(); }) {}
  ~supervisor() { thread_.join(); }
  supervisor(const supervisor&) = delete;
  supervisor& operator=(const supervisor&) = delete;

  /// Times of the crashes so far.
  std::vector<steady::time_point> crashes() {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

 private:
  void run() {
    std::vector<std::optional<steady::time_point>> back_at(deployment_.size());
    int starts = 0;
    while (!over_) {
      for (std::size_t index = first_target; index < deployment_.size(); ++index) {
        auto& back = back_at[index];
        if (back.has_value() && steady::now() >= *back) {
          deployment_.start_target(index, "i-again-" + std::to_string(++starts), true);
          back.reset();
        } else if (!back.has_value() && deployment_.target(index).crashed()) {
          deployment_.crash_target(index);
          back = steady::now() + recovery;
          const std::lock_guard lock(mutex_);
          crashes_.push_back(steady::now());
        }
      }
      std::this_thread::sleep_for(supervision_interval);
    }
  }

  mesh& deployment_;
  std::atomic<bool>& over_;
  std::mutex mutex_;
  std::vector<steady::time_point> crashes_;
  std::thread thread_;
};

int play(record& log) {
  mesh deployment(log, {crashing_caller, other_caller, service, service, service, service});
  upstream_options pattern;
  pattern.crashing_user = crashing_user;
  const nlohmann::json routes = nlohmann::json::array(
      {route("lookup", "statements.example", "/statements/", "safe", deadline, service)});
  deployment.start(configuration(1, routes, {crashing_caller, other_caller, service}), pattern);
  if (!deployment.wait_until_serving(own_statement("start", "user-1"), start_limit)) {
    return could_not_run;
  }
  std::this_thread::sleep_for(bounds::contact);
  std::atomic<bool> over = false;
  supervisor crash_watch(deployment, over);
  std::thread others([&] {
    for (int number = 0; !over; ++number) {
      (void)deployment.send(other_machine,
                            own_statement("other-" + std::to_string(number), "user-2"));
      std::this_thread::sleep_for(other_interval);
    }
  });
  const auto end = steady::now() + duration;
  int late_retries = 0;
  for (int number = 0; steady::now() < end; ++number) {
    if (with_trouble()) {
      const std::vector<steady::time_point> before = crash_watch.crashes();
      const auto sent_at = steady::now();
      (void)deployment.send(crashing_machine,
                            own_statement("crashing-" + std::to_string(number), crashing_user));
      std::this_thread::sleep_for(supervision_interval * 4);
      const bool reached = crash_watch.crashes().size() > before.size();
      const bool late = before.size() >= crashes_before_rule &&
                        sent_at > before[crashes_before_rule - 1] + bounds::contact;
      late_retries += reached && late ? 1 : 0;
    }
    std::this_thread::sleep_for(repeat_interval);
  }
  over = true;
  others.join();
  log.line("crashes: " + std::to_string(crash_watch.crashes().size()) +
           "; retries that reached upstreams later than contactMs after the third: " +
           std::to_string(late_retries));
  return late_retries > retries_allowed ? rule_broken : rule_held;
}

}  // namespace

int main(int count, char** values) {
  return review::run_case(count, values, play);
}
