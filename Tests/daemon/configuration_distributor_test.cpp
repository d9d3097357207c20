#include "daemon/configuration_distributor.h"

#include <catch2/catch.hpp>
#include <memory>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;

/// Peer mesh of one of the two linked daemons, with the handlers that a mesh requires.
class mesh_endpoint {
 public:
  mesh_endpoint(event_loop& loop, random_source& random, const std::string& name,
                std::uint16_t port)
      : name_(name),
        mesh(loop, random,
             {instance_name(name),
              {"127.0.0.1", port},
              milliseconds(100),
              duration::zero(),
              milliseconds(2'000),
              milliseconds(20),
              milliseconds(200)},
             handlers()) {}

 private:
  peer_mesh::handlers handlers() {
    peer_mesh::handlers callbacks;
    callbacks.make_hello = [this](const instance_name&) {
      instance_record self;
      self.name = instance_name(name_);
      return wire::hello{self, digest(), 0};
    };
    callbacks.configuration_version = [] { return version_number{0}; };
    callbacks.configuration_digest = [] { return digest(); };
    callbacks.find_endpoint = [](const instance_name&) -> std::optional<ip_endpoint> {
      return ip_endpoint{"127.0.0.1", 23'951};
    };
    callbacks.peer_established = [](const instance_name&, const wire::hello&) {};
    callbacks.peer_lost = [](const instance_name&, const std::string&) {};
    callbacks.dial_failed = [](const instance_name&) {};
    callbacks.version_reported = [](const instance_name&, version_number) {};
    return callbacks;
  }

  std::string name_;

 public:
  peer_mesh mesh;
};

head_document head_with_version(version_number version) {
  head_document head;
  head.content.version = version;
  head.content_digest = digest_of(head.content);
  return head;
}

void run_for(event_loop& loop, duration span) {
  const timer_handle end = loop.after(span, [&] { loop.stop(); });
  loop.run();
}

}  // namespace

// A daemon adopts a new version from the platform once peers have reported it, or after the
// acknowledgement timeout. The timeout must not restart with each newer version: otherwise versions
// that arrive faster than the timeout, without acknowledgement, would never be adopted.
TEST_CASE("a daemon adopts a version during a series of versions that no peer acknowledges",
          "[daemon][P9]") {
  event_loop loop;
  random_source random(1);
  mesh_endpoint tested_daemon(loop, random, "own", 23'950);
  mesh_endpoint peer(loop, random, "peer", 23'951);
  const settings options;
  metrics counters;
  trace_recorder traces("own", 1);
  const daemon_context shared{loop, random, options, counters, traces, nullptr, 1};
  platform_client platform(loop, {"127.0.0.1", 23'952}, milliseconds(100), 1);
  configuration_distributor distributor(
      shared, tested_daemon.mesh, platform,
      {[] { return false; }, [] {}, [] { return std::map<instance_name, failure_domain>(); }});
  distributor.offer_head(head_with_version(1), 1);
  REQUIRE(distributor.current()->version == 1);
  tested_daemon.mesh.ensure_link(instance_name("peer"));
  run_for(loop, milliseconds(200));
  REQUIRE(tested_daemon.mesh.linked(instance_name("peer")));

  version_number version = 1;
  const timer_handle update_timer = loop.every(milliseconds(50), [&] {
    ++version;
    distributor.offer_head(head_with_version(version), version);
  });
  run_for(loop, milliseconds(1'000));
  CHECK(distributor.current()->version > 1);
}

}  // namespace crocusdoor
