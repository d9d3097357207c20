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
#include "mesh/version_rule.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// An upstream as its own daemon announces it.
struct mesh_upstream {
  instance_name instance;
  service_name service;
  failure_domain domain;
  std::int32_t slots = 1;
  bool takes_requests = false;
  time_point warm_at{};  ///< End of the warm-up after its start.
  std::string version;   ///< Of the target's software; empty if it is not known.
};

/// Properties of a request that decide where it is sent.
struct placement_request {
  service_name service;
  std::string work_class;            ///< Groups requests that take similar time.
  std::int32_t rank = 0;             ///< 0 is the most urgent.
  std::vector<instance_name> tried;  ///< Upstreams that it has already been sent to.
  duration objective{0};             ///< Time after which the response is worth less.
  duration deadline{0};              ///< Time after which the response is useless.
  version_rule versions;             ///< Which upstreams it may be sent to.
};

/// Where a request is sent. Without an instance the request is refused: no upstream takes requests,
/// or none could answer in time.
struct placement {
  std::optional<instance_name> instance;
  bool overloaded = false;  ///< Upstreams take requests, but none could answer in time.
  duration retry_after{0};  ///< Until an upstream could answer in time, if overloaded.
  duration expected_response_time{
      0};  ///< Of the chosen upstream, or of the fastest one if none is chosen.
};

/// How an attempt at an upstream ended, as far as it matters for the choice of upstreams.
enum class attempt_quality {
  good,
  refused,  ///< Its daemon did not admit the request.
  failed,   ///< It responded with a failure, lost the connection or did not respond.
};

/// One daemon's view of the upstreams of all services, and the choice between them.
///
/// Designed for upstreams of one service that differ in speed, become slow or fail some of their
/// requests for seconds, and for zones with fewer upstreams than callers. It weighs the probability
/// of missing the latency objective or of failing at each upstream against the cost of crossing
/// zones, so that the upstreams of the own zone are used while they are good enough.
class upstream_pool {
 public:
  explicit upstream_pool(failure_domain own_domain) : own_domain_(std::move(own_domain)) {}

  void set_upstream(const mesh_upstream& description);
  void remove(const instance_name& instance);
  /// Records whether the link to the upstream's daemon has been silent for too long.
  void set_silent(const instance_name& instance, bool silent);

  /// Chooses the upstream for a request, leaving out those in `tried`.
  [[nodiscard]] placement choose(const placement_request& request, time_point now,
                                 random_source& random);

  void attempt_started(const instance_name& instance);
  void attempt_ended(const instance_name& instance, attempt_quality quality, time_point now);
  void load_reported(const instance_name& instance, const load_report& load, time_point now);
  /// Records the time that a request of this class has spent at an upstream.
  void service_time_measured(const std::string& work_class, duration time, time_point now);
  /// Records the size of the bodies of a request of this class and of its response, added up.
  void size_measured(const std::string& work_class, std::size_t bytes);

  /// Description of an upstream; null if it is not known.
  [[nodiscard]] const mesh_upstream* find(const instance_name& instance) const;
  /// Slots of the upstreams of a service that take requests and have warmed up, of a version or of
  /// all others.
  [[nodiscard]] std::int32_t warm_slots(const service_name& service, const std::string& version,
                                        bool others, time_point now) const;
  /// Number of upstreams of a service that take requests.
  [[nodiscard]] std::size_t available(const service_name& service) const;

 private:
  struct upstream_entry {
    mesh_upstream description;
    load_report load;
    time_point reported_at{};
    time_point service_time_changed_at{};  ///< When the reported service time was another one.
    std::int32_t outstanding = 0;          ///< This daemon's attempts without a response.
    std::int32_t sent_since_report = 0;    ///< This daemon's attempts that `load` does not include.
    failure_share failures;                ///< Of this daemon's attempts.
    bool silent = false;
  };

  /// An upstream that a request may be sent to.
  struct candidate_upstream {
    const upstream_entry* entry = nullptr;
    double expected_ms = 0;  ///< Time until the response.
    double limit_ms = 0;     ///< Time within which the response must come.
    double cost = 0;
  };

  /// The upstreams that a request may be sent to by its rule on versions, if the rule names them.
  [[nodiscard]] std::vector<instance_name> few_of_version(const placement_request& request,
                                                          time_point now) const;
  /// `class_mean`: expected service time of the request's class; zero if it is not known.
  [[nodiscard]] std::vector<candidate_upstream> candidates_for(const placement_request& request,
                                                               duration class_mean,
                                                               time_point now) const;
  [[nodiscard]] std::vector<candidate_upstream> probe_candidates(const placement_request& request,
                                                                 time_point now);
  [[nodiscard]] static double expected_wait_ms(const upstream_entry& entry, std::int32_t rank);
  [[nodiscard]] double cost(const candidate_upstream& candidate, const placement_request& request,
                            time_point now) const;
  [[nodiscard]] double crossing_cost(const std::string& work_class) const;
  static void age_service_times(std::vector<candidate_upstream>& candidates, time_point now);
  static void remove_late(std::vector<candidate_upstream>& candidates, time_point now);
  [[nodiscard]] static bool may_answer_in_time(const candidate_upstream& candidate, time_point now);

  failure_domain own_domain_;
  std::map<instance_name, upstream_entry> upstreams_;
  service_time_history history_;
  exchange_sizes sizes_;
};

}  // namespace crocusdoor
