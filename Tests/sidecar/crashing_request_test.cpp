#include <algorithm>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration target_restart_delay = milliseconds(200);
constexpr duration resend_interval = milliseconds(50);
/// Time after the third crash within which the daemons must agree on what they do not send.
constexpr duration contact_time = seconds(3);
constexpr std::size_t sends_after_contact_limit = 3;
const std::string poison_body = "poison";

/// Targets that end whenever they begin a request with `poison_body`, and return after a delay.
class crashing_targets {
 public:
  explicit crashing_targets(mesh_fixture& mesh) : mesh_(mesh) {
    for (const auto& instance : mesh.instances) {
      test_instance* const crashing = instance.get();
      crashing->on_request = [this, crashing](const std::shared_ptr<http_exchange>& exchange) {
        if (exchange->request().body == poison_body) {
          unanswered_.push_back(exchange);
          crash(*crashing);
        } else {
          crashing->respond(*exchange, 200, "answer");
        }
      };
    }
  }

  /// Ends a target, which is back after a delay.
  void crash(test_instance& instance) {
    crashed_at.push_back(mesh_.loop.now());
    mesh_.loop.post([&instance] { instance.crash_target(); });
    timers_.push_back(mesh_.loop.after(target_restart_delay, [this, &instance] {
      instance.restart_target();
      returned_.push_back(&instance);
    }));
  }

  /// Sends the heartbeats of the targets that have returned.
  void announce_returned() {
    for (test_instance* instance : std::exchange(returned_, {})) {
      instance->announce("ready");
    }
  }

  /// Crashes later than `contact_time` after the third one.
  [[nodiscard]] std::size_t crashes_after_contact() const {
    if (crashed_at.size() < 3) {
      return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(crashed_at.begin(), crashed_at.end(),
                      [&](time_point at) { return at > crashed_at[2] + contact_time; }));
  }

  std::vector<time_point> crashed_at;

 private:
  mesh_fixture& mesh_;
  std::vector<std::shared_ptr<http_exchange>> unanswered_;
  std::vector<test_instance*> returned_;
  std::vector<timer_handle> timers_;
};

/// Sends the poison request at each origin in turn until some time after the third crash.
void resend(mesh_fixture& mesh, crashing_targets& targets, const std::string& path) {
  const time_point end = mesh.loop.now() + 2 * contact_time;
  for (std::size_t sent = 0; mesh.loop.now() < end; ++sent) {
    test_instance& origin = *mesh.instances[sent % mesh.instances.size()];
    mesh.call(origin, "POST", path, poison_body);
    mesh.run_for(resend_interval, [] { return false; });
    targets.announce_returned();
  }
}

}  // namespace

TEST_CASE("a request that crashes each target it reaches is not sent to targets without end",
          "[sidecar][F6]") {
  mesh_fixture mesh;
  for (const char* name : {"a1", "a2", "a3"}) {
    mesh.add(name, "s");
  }
  mesh.configure(1, "s");
  mesh.start();
  crashing_targets targets(mesh);

  SECTION("on a route whose requests may be repeated") {
    resend(mesh, targets, "/safe/1");
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  }
  SECTION("on a route whose requests run at most once") {
    resend(mesh, targets, "/once/1");
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  }
}

}  // namespace crocusdoor
