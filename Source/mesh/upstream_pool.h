#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/service_time_history.h"
#include "core/random_source.h"
#include "core/strong_string.h"
#include "core/time.h"
#include "mesh/exchange_sizes.h"
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
  std::string work_class;            ///< Requests that take similar time.
  std::int32_t rank = 0;             ///< 0 is the most urgent.
  std::vector<instance_name> tried;  ///< Upstreams that it has been sent to.
  duration objective{0};             ///< Until its answer is worth less.
  duration deadline{0};              ///< Until its answer is worth nothing.
};

/// Where a request goes. Without an instance it is refused: no upstream takes requests, or none
/// could answer within the objective.
struct placement {
  std::optional<instance_name> instance;
  bool overloaded = false;
  duration retry_after{0};  ///< Until an upstream could answer in time, if overloaded.
  duration expected_response_time{
      0};  ///< Until the answer of the chosen, or the soonest, upstream.
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

  /// Where to send a request, of the upstreams outside `tried`.
  [[nodiscard]] placement choose(const placement_request& request, time_point now,
                                 random_source& random);

  void attempt_started(const instance_name& instance);
  void attempt_ended(const instance_name& instance, attempt_quality quality, time_point now);
  void load_reported(const instance_name& instance, const load_report& load, time_point now);
  /// A request of this class has spent this time at an upstream.
  void service_time_measured(const std::string& work_class, duration time);
  /// A request of this class and its answer have had bodies of this size together.
  void size_measured(const std::string& work_class, std::size_t bytes);

  /// Upstreams of a service that take requests.
  [[nodiscard]] std::size_t available(const service_name& service) const;

 private:
  struct state {
    mesh_upstream upstream;
    load_report load;
    time_point reported_at{};
    std::int32_t outstanding = 0;        ///< Own attempts without an answer.
    std::int32_t sent_since_report = 0;  ///< Own attempts that the load does not include.
    failure_share failures;              ///< Of own attempts.
    bool silent = false;
  };

  /// A candidate for a request.
  struct candidate {
    const state* upstream = nullptr;
    double expected_ms = 0;  ///< Until the answer.
    double limit_ms = 0;     ///< Until when the answer is worth waiting for.
    double cost = 0;
  };

  [[nodiscard]] std::vector<candidate> candidates_for(const placement_request& request,
                                                      time_point now) const;
  [[nodiscard]] static double wait_ms(const state& one, std::int32_t rank);
  [[nodiscard]] double cost(const candidate& one, const placement_request& request,
                            time_point now) const;
  [[nodiscard]] double crossing_cost(const std::string& work_class) const;
  [[nodiscard]] static bool may_answer_in_time(const candidate& one, time_point now);

  failure_domain own_domain_;
  std::map<instance_name, state> upstreams_;
  service_time_history history_;
  exchange_sizes sizes_;
};

}  // namespace crocusdoor
