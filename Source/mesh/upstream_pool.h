#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/random_source.h"
#include "core/strong_string.h"
#include "core/time.h"
#include "mesh/failure_share.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// An upstream as its own daemon announces it.
struct mesh_upstream {
  instance_name instance;
  service_name service;
  failure_domain domain;
  std::int32_t slots = 1;
  bool takes_requests = false;
  time_point warm_at{};  ///< When it has warmed up after its start.
};

/// What a request asks of its upstream.
struct placement_request {
  service_name service;
  std::vector<instance_name> tried;  ///< Upstreams that it has been sent to.
  duration objective;                ///< Until its answer is worth less.
};

/// How an attempt at an upstream ended, as far as placing is concerned.
enum class attempt_quality {
  good,
  refused,  ///< Its daemon had no room.
  failed,   ///< It answered with a failure, broke off or did not answer.
};

/// One daemon's view of the upstreams of all services, and the choice between them.
///
/// Load that it answers: upstreams of one service that differ in speed, turn slow or fail a part of
/// their requests for seconds, and zones with fewer upstreams than callers. It weighs the chance of
/// missing the latency objective or of failing at each upstream against the price of crossing
/// zones, so that a zone's own upstreams are used while they are good enough.
class upstream_pool {
 public:
  explicit upstream_pool(failure_domain own_domain) : own_domain_(std::move(own_domain)) {}

  void set_upstream(const mesh_upstream& one);
  void remove(const instance_name& instance);
  /// The link to an upstream's daemon has been silent for too long, or is heard again.
  void set_silent(const instance_name& instance, bool silent);

  /// Where to send a request, or nothing if no upstream outside `tried` takes requests.
  [[nodiscard]] std::optional<instance_name> choose(const placement_request& request,
                                                    time_point now, random_source& random);

  void attempt_started(const instance_name& instance);
  void attempt_ended(const instance_name& instance, attempt_quality quality, time_point now);
  void load_reported(const instance_name& instance, const load_report& load);

  /// Upstreams of a service that take requests.
  [[nodiscard]] std::size_t available(const service_name& service) const;

 private:
  struct state {
    mesh_upstream upstream;
    load_report load;
    std::int32_t outstanding = 0;        ///< Own attempts without an answer.
    std::int32_t sent_since_report = 0;  ///< Own attempts that the load does not include.
    failure_share failures;              ///< Of own attempts.
    bool silent = false;
  };

  [[nodiscard]] static double expected_ms(const state& one, time_point now);
  [[nodiscard]] double cost(const state& one, duration objective, time_point now) const;

  failure_domain own_domain_;
  std::map<instance_name, state> upstreams_;
};

}  // namespace crocusdoor
