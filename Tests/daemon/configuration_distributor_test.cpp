#include "daemon/configuration_distributor.h"

#include <catch2/catch.hpp>
#include <memory>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;

/// One end of a link, with the distributor of a daemon or without one.
class link_end {
 public:
  link_end(event_loop& loop, random_source& random, const std::string& name, std::uint16_t port)
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

head_document head_of(version_number version) {
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

TEST_CASE("a series of versions does not keep a daemon from adopting one while peers hold none",
          "[daemon][P9]") {
  event_loop loop;
  random_source random(1);
  link_end own(loop, random, "own", 23'950);
  link_end peer(loop, random, "peer", 23'951);
  const settings options;
  metrics counters;
  trace_recorder traces("own", 1);
  const daemon_context shared{loop, random, options, counters, traces, 1};
  platform_client platform(loop, {"127.0.0.1", 23'952}, milliseconds(100), 1);
  configuration_distributor distributor(
      shared, own.mesh, platform,
      {[] { return false; }, [] {}, [] { return std::map<instance_name, failure_domain>(); }});
  distributor.offer_head(head_of(1), 1);
  REQUIRE(distributor.current()->version == 1);
  own.mesh.ensure_link(instance_name("peer"));
  run_for(loop, milliseconds(200));
  REQUIRE(own.mesh.linked(instance_name("peer")));

  version_number version = 1;
  const timer_handle series = loop.every(milliseconds(50), [&] {
    ++version;
    distributor.offer_head(head_of(version), version);
  });
  run_for(loop, milliseconds(1'000));
  CHECK(distributor.current()->version > 1);
}

}  // namespace crocusdoor
