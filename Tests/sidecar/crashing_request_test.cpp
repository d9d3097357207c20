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
/// A request that no two daemons process at the same time ends this many targets
/// (docs/design/crash-suspicion.md).
constexpr std::size_t crash_limit = 2;
const std::string poison_body = "poison";
/// Header that tells callers apart, and the caller whose requests crash targets.
const std::string user_header = "X-User";
const std::string crashing_user = "17";

/// How a target ends. Its connections end at once.
struct target_end {
  duration address_open = duration::zero();  ///< How long its address still accepts connections.
  duration restart_delay = target_restart_delay;  ///< After its connections have ended.
};

/// Targets that end whenever they begin a request with `poison_body`, and return after a delay.
class crashing_targets {
 public:
  explicit crashing_targets(mesh_fixture& mesh, target_end end = {}) : mesh_(mesh), end_(end) {
    for (const auto& instance : mesh.instances) {
      test_instance* const crashing = instance.get();
      crashing->on_request = [this, crashing](const std::shared_ptr<http_exchange>& exchange) {
        if (crashes(exchange->request()) || std::exchange(crash_next_, false)) {
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
    if (end_.address_open > duration::zero()) {
      mesh_.loop.post([&instance] { instance.crash_target_keeping_its_address_open(); });
    }
    timers_.push_back(
        mesh_.loop.after(end_.address_open, [&instance] { instance.crash_target(); }));
    timers_.push_back(mesh_.loop.after(end_.restart_delay, [this, &instance] {
      instance.restart_target();
      returned_.push_back(&instance);
    }));
  }

  /// The target that gets the next request ends, whatever the request.
  void crash_next() { crash_next_ = true; }

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
  static bool crashes(const http_request& request) {
    return request.body == poison_body ||
           header_value(request.headers, user_header) == crashing_user;
  }

  mesh_fixture& mesh_;
  target_end end_;
  bool crash_next_ = false;
  std::vector<std::shared_ptr<http_exchange>> unanswered_;
  std::vector<test_instance*> returned_;
  std::vector<timer_handle> timers_;
};

/// Sends the poison request at each origin in turn for `length`.
void resend(mesh_fixture& mesh, crashing_targets& targets, const std::string& path,
            duration interval, duration length) {
  const time_point end = mesh.loop.now() + length;
  for (std::size_t sent = 0; mesh.loop.now() < end; ++sent) {
    test_instance& origin = *mesh.instances[sent % mesh.instances.size()];
    mesh.call(origin, "POST", path, poison_body);
    mesh.run_for(interval, [] { return false; });
    targets.announce_returned();
  }
}

/// Sends the poison request at each origin in turn until some time after the third crash.
void resend(mesh_fixture& mesh, crashing_targets& targets, const std::string& path) {
  resend(mesh, targets, path, resend_interval, 2 * contact_time);
}

/// Starts instances of the service to which the routes lead.
void start_instances(mesh_fixture& mesh, std::size_t count) {
  for (std::size_t number = 1; number <= count; ++number) {
    mesh.add("a" + std::to_string(number), "s");
  }
  mesh.configure(1, "s");
  mesh.start();
}

void start_three_instances(mesh_fixture& mesh) {
  start_instances(mesh, 3);
}

/// Ends all daemons at once and waits until their successors are linked and know their targets.
void restart_all_daemons(mesh_fixture& mesh) {
  mesh.restart_all_daemons();
  for (const auto& instance : mesh.instances) {
    instance->announce("ready");
  }
  for (const auto& instance : mesh.instances) {
    REQUIRE(mesh.run_until([&] {
      return instance->daemon->available_upstreams(service_name("s")) == mesh.instances.size();
    }));
  }
}

/// Delays the targets' responses to requests that do not crash them, so that these are in flight
/// when others do.
class other_responses {
 public:
  explicit other_responses(mesh_fixture& mesh) : mesh_(mesh) {
    for (const auto& instance : mesh.instances) {
      const test_instance::behaviour crash_or_respond = instance->on_request;
      instance->on_request = [this, crash_or_respond](const auto& exchange) {
        if (header_value(exchange->request().headers, user_header) == crashing_user) {
          crash_or_respond(exchange);
          return;
        }
        timers_.push_back(mesh_.loop.after(
            response_time, [crash_or_respond, exchange] { crash_or_respond(exchange); }));
      };
    }
  }

 private:
  static constexpr duration response_time = milliseconds(40);

  mesh_fixture& mesh_;
  std::vector<timer_handle> timers_;
};

/// Callers that send other requests, a number of them at a time, and the targets' responses to
/// them, which take a while.
class other_requests {
 public:
  other_requests(mesh_fixture& mesh, std::size_t at_a_time) : mesh_(mesh) {
    for (const auto& instance : mesh.instances) {
      const test_instance::behaviour crash_or_respond = instance->on_request;
      instance->on_request = [this, crash_or_respond](const auto& exchange) {
        if (exchange->request().body == poison_body) {
          crash_or_respond(exchange);
          return;
        }
        timers_.push_back(mesh_.loop.after(
            response_time, [crash_or_respond, exchange] { crash_or_respond(exchange); }));
      };
    }
    for (std::size_t caller = 0; caller < at_a_time; ++caller) {
      send(*mesh.instances[caller % mesh.instances.size()]);
    }
  }

 private:
  static constexpr duration response_time = milliseconds(50);
  static constexpr duration pause = milliseconds(20);

  void send(test_instance& origin) {
    const std::string number = std::to_string(++sent_);
    const auto send_next = [this, &origin](const http_result&) {
      timers_.push_back(mesh_.loop.after(pause, [this, &origin] { send(origin); }));
    };
    origin.caller->send(
        {"GET",
         "/safe/other-" + number,
         {{"Host", "h.example"}, {"X-Attempt-Id", "other-" + number}, {"X-Deadline-Ms", "2000"}},
         ""},
        seconds(3), send_next);
  }

  mesh_fixture& mesh_;
  std::size_t sent_ = 0;
  std::vector<timer_handle> timers_;
};

}  // namespace

TEST_CASE("a request that crashes each target it reaches is not sent to targets without end",
          "[sidecar][F6]") {
  mesh_fixture mesh;
  start_three_instances(mesh);
  crashing_targets targets(mesh);

  SECTION("on a route whose requests may be repeated") {
    resend(mesh, targets, "/safe/1");
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
    CHECK(targets.crashed_at.size() <= crash_limit);
  }
  SECTION("on a route whose requests run at most once") {
    resend(mesh, targets, "/once/1");
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
    CHECK(targets.crashed_at.size() <= crash_limit);
  }
}

TEST_CASE("a request is stopped although the ends of its targets do not show at once",
          "[sidecar][F6]") {
  constexpr duration interval = milliseconds(600);
  constexpr duration length = seconds(12);
  mesh_fixture mesh;
  start_instances(mesh, 6);

  SECTION("because their addresses accept connections for another instant") {
    crashing_targets targets(mesh, {milliseconds(50), seconds(3)});
    resend(mesh, targets, "/once/1", interval, length);
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  }
  SECTION("because their addresses accept connections until they have restarted") {
    crashing_targets targets(mesh, {seconds(3), seconds(3)});
    resend(mesh, targets, "/safe/1", interval, length);
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  }
  SECTION("while other requests are running, which are lost with it") {
    crashing_targets targets(mesh, {milliseconds(50), seconds(2)});
    const other_requests others(mesh, 18);
    resend(mesh, targets, "/once/1", interval, length);
    CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  }
}

TEST_CASE("a request is stopped although all daemons end at once again and again",
          "[sidecar][F6]") {
  constexpr std::size_t restarts = 3;
  mesh_fixture mesh;
  start_instances(mesh, 6);
  crashing_targets targets(mesh);
  for (std::size_t restart = 0; restart < restarts; ++restart) {
    resend(mesh, targets, "/once/1", milliseconds(600), seconds(4));
    restart_all_daemons(mesh);
  }
  resend(mesh, targets, "/once/1", milliseconds(600), seconds(4));
  CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  CHECK(targets.crashed_at.size() <= crash_limit);
}

TEST_CASE("a request that has crashed two targets", "[sidecar][F6]") {
  mesh_fixture mesh;
  start_three_instances(mesh);
  test_instance& origin = *mesh.instances[0];
  crashing_targets targets(mesh);
  mesh.call(origin, "POST", "/safe/1", poison_body);
  REQUIRE(targets.crashed_at.size() == crash_limit);
  const auto return_targets = [&] {
    mesh.run_for(2 * target_restart_delay, [] { return false; });
    targets.announce_returned();
    REQUIRE(
        mesh.run_until([&] { return origin.daemon->available_upstreams(service_name("s")) == 3; }));
  };
  return_targets();

  SECTION("is refused as not run, with the time after which it is tried again") {
    const http_result refused = mesh.call(origin, "POST", "/safe/1", poison_body);
    CHECK(refused.response.status == 503);
    CHECK(std::stod(header_value(refused.response.headers, "Retry-After")) > 500);
    CHECK(targets.crashed_at.size() == crash_limit);
  }
  SECTION("is refused also by daemons that have started since") {
    for (const auto& instance : mesh.instances) {
      instance->restart_daemon();
      instance->daemon->start();
      REQUIRE(mesh.run_until([&] { return instance->daemon->ready(); }));
      instance->announce("ready");
      REQUIRE(mesh.run_until(
          [&] { return instance->daemon->available_upstreams(service_name("s")) == 3; }));
    }
    for (const auto& instance : mesh.instances) {
      CHECK(mesh.call(*instance, "POST", "/safe/1", poison_body).response.status == 503);
    }
    CHECK(targets.crashed_at.size() == crash_limit);
  }
  SECTION("is refused also after all daemons have restarted at once") {
    mesh.run_for(milliseconds(100), [] { return false; });
    restart_all_daemons(mesh);
    for (const auto& instance : mesh.instances) {
      CHECK(mesh.call(*instance, "POST", "/safe/1", poison_body).response.status == 503);
    }
    CHECK(targets.crashed_at.size() == crash_limit);
  }
  SECTION("can be listed and cleared by an operator, at any daemon") {
    http_client api(mesh.loop, mesh.instances[1]->metrics_endpoint(), {});
    const auto ask = [&](const std::string& method, const std::string& path, const json& body) {
      http_result received;
      api.send({method, path, {}, body.dump()}, seconds(5), [&](const http_result& result) {
        received = result;
        mesh.loop.stop();
      });
      mesh.loop.run();
      return received.response;
    };
    const json listed = json::parse(ask("GET", "/v1/suspicions", {}).body);
    REQUIRE(listed["suspicions"].size() == 1);
    CHECK(listed["suspicions"][0]["crashes"] == crash_limit);
    const json clearing = {{"request", listed["suspicions"][0]["request"]}, {"operator", "ana"}};
    CHECK(ask("POST", "/v1/suspicions/clear", {{"request", 1}}).status == 400);
    CHECK(ask("POST", "/v1/suspicions/clear", clearing).status == 200);
    CHECK(ask("POST", "/v1/suspicions/clear", clearing).status == 404);
    mesh.run_for(milliseconds(20), [] { return false; });
    mesh.call(origin, "POST", "/safe/1", poison_body);
    CHECK(targets.crashed_at.size() > crash_limit);
  }
  SECTION("does not affect requests that differ in path, method or body") {
    CHECK(mesh.call(origin, "POST", "/safe/1", "other").response.status == 200);
    CHECK(mesh.call(origin, "GET", "/safe/1").response.status == 200);
  }
}

TEST_CASE("a crashing request is stopped although other callers' requests with its path complete",
          "[sidecar][F6]") {
  // Failure guarded against: the completed requests of the others reset its count each time, and it
  // crashed targets without end (review/5).
  constexpr duration repeat_interval = milliseconds(400);
  constexpr duration others_interval = milliseconds(20);
  mesh_fixture mesh;
  start_instances(mesh, 5);
  crashing_targets targets(mesh);
  const other_responses delayed(mesh);
  const bool traced = GENERATE(false, true);
  INFO("each sending has a header of its own: " << traced);
  int sent = 0;
  const auto send = [&](test_instance& origin, const std::string& user,
                        const std::function<void(int)>& done) {
    http_headers headers = {{"Host", "h.example"},
                            {"X-Attempt-Id", "u-" + std::to_string(++sent)},
                            {"X-Deadline-Ms", "1000"},
                            {user_header, user}};
    if (traced) {
      headers["X-Trace"] = std::to_string(sent);
    }
    origin.caller->send({"GET", "/safe/own", headers, ""}, seconds(3),
                        [done](const http_result& result) { done(result.response.status); });
  };
  std::vector<int> statuses;
  const bool same_origin = GENERATE(false, true);
  INFO("all requests begin at the same machine: " << same_origin);
  const timer_handle others = mesh.loop.every(others_interval, [&] {
    send(*mesh.instances[1], "2", [&](int status) { statuses.push_back(status); });
  });
  const time_point end = mesh.loop.now() + 2 * contact_time + seconds(1);
  int crashing_status = 0;
  for (std::size_t repeat = 0; mesh.loop.now() < end; ++repeat) {
    send(*mesh.instances[same_origin ? 1 : repeat % mesh.instances.size()], crashing_user,
         [&](int status) { crashing_status = status; });
    mesh.run_for(repeat_interval, [] { return false; });
    targets.announce_returned();
  }
  CHECK(targets.crashes_after_contact() <= sends_after_contact_limit);
  CHECK(targets.crashed_at.size() <= 2 * crash_limit);
  CHECK(crashing_status == 503);
  constexpr std::size_t last = 50;
  REQUIRE(statuses.size() > last);
  CHECK(std::count(statuses.end() - last, statuses.end(), 200) == last);
}

TEST_CASE("a caller that leaves while its target ends does not end the daemon", "[sidecar][F6]") {
  // Failure guarded against: the end of an exchange that had been cancelled in the meantime was
  // counted with counts that did not exist.
  mesh_fixture mesh;
  test_instance& instance = mesh.add("a", "s");
  mesh.configure(1, "s");
  mesh.start();
  // Each end comes in one of the next turns of the loop, in all combinations.
  constexpr int turns = 5;
  constexpr int rounds = turns * turns;
  int received = 0;
  http_call call;
  const std::function<void(int, std::function<void()>)> run_after_turns =
      [&](int count, const std::function<void()>& action) {
        if (count == 0) {
          action();
        } else {
          mesh.loop.post([&, count, action] { run_after_turns(count - 1, action); });
        }
      };
  instance.on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
    ++received;
    run_after_turns(received % turns, [exchange] { exchange->close(); });
    run_after_turns(received / turns, [&] { instance.caller->cancel(call); });
  };
  for (int round = 1; round <= rounds; ++round) {
    call = instance.caller->send({"GET",
                                  "/safe/" + std::to_string(round),
                                  {{"Host", "h.example"},
                                   {"X-Attempt-Id", "left-" + std::to_string(round)},
                                   {"X-Deadline-Ms", "1000"}},
                                  ""},
                                 seconds(3), [](const http_result&) {});
    REQUIRE(mesh.run_until([&] { return received == round; }));
    mesh.run_for(milliseconds(20), [] { return false; });
    instance.announce("ready");
  }
  CHECK(instance.daemon->ready());
}

TEST_CASE("a popular request that is in flight whenever a target crashes is still served",
          "[sidecar][F6]") {
  mesh_fixture mesh;
  start_three_instances(mesh);
  test_instance& origin = *mesh.instances[0];
  crashing_targets targets(mesh);
  for (std::size_t round = 1; round <= 4; ++round) {
    targets.crash_next();
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 200);
    REQUIRE(targets.crashed_at.size() == round);
    mesh.run_for(2 * target_restart_delay, [] { return false; });
    targets.announce_returned();
    REQUIRE(
        mesh.run_until([&] { return origin.daemon->available_upstreams(service_name("s")) == 3; }));
  }
  CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 200);
}

TEST_CASE("a request is not refused because targets have reset single connections of it",
          "[sidecar][F6]") {
  mesh_fixture mesh;
  start_three_instances(mesh);
  test_instance& origin = *mesh.instances[0];
  std::size_t resets = crash_limit;
  std::vector<std::shared_ptr<http_exchange>> waiting;
  const std::string waiting_path = "/safe/waiting";
  for (const auto& instance : mesh.instances) {
    instance->on_request = [&, target = instance.get()](const auto& exchange) {
      if (exchange->request().target == waiting_path) {
        waiting.push_back(exchange);
      } else if (resets > 0) {
        --resets;
        mesh.loop.post([exchange] { exchange->close(); });
      } else {
        target->respond(*exchange, 200, "answer");
      }
    };
  }

  SECTION("if the target keeps other connections open") {
    for (std::size_t sent = 0; sent < mesh.instances.size(); ++sent) {
      origin.caller->send({"GET",
                           waiting_path,
                           {{"Host", "h.example"},
                            {"X-Attempt-Id", "waiting-" + std::to_string(sent)},
                            {"X-Deadline-Ms", "2000"}},
                           ""},
                          seconds(3), [](const http_result&) {});
      REQUIRE(mesh.run_until([&] { return waiting.size() == sent + 1; }));
    }
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 502);
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 200);
  }
  SECTION("if it is the same target again and again") {
    for (std::size_t instance = 1; instance < mesh.instances.size(); ++instance) {
      mesh.instances[instance]->announce("draining");
    }
    REQUIRE(
        mesh.run_until([&] { return origin.daemon->available_upstreams(service_name("s")) == 1; }));
    resets = 2 * crash_limit;
    for (std::size_t sent = 0; sent < 2 * crash_limit; ++sent) {
      CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 502);
    }
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 200);
  }
  SECTION("once a later heartbeat shows that the targets have survived") {
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 502);
    mesh.run_for(seconds(1), [] { return false; });
    for (const auto& instance : mesh.instances) {
      instance->announce("ready");
    }
    mesh.run_for(milliseconds(100), [] { return false; });
    CHECK(mesh.call(origin, "GET", "/safe/popular").response.status == 200);
  }
}

}  // namespace crocusdoor
