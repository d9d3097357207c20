#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/random_source.h"
#include "core/strong_string.h"
#include "core/time.h"
#include "core/verdict.h"
#include "routing/load_report.h"
#include "routing/selection_policy.h"
#include "routing/upstream.h"
#include "routing/upstream_tracker.h"

namespace crocusdoor {

/// Chooses, for each call of one process, the upstream with the shortest expected response time.
///
/// Use: `set_upstreams` at each change of the configuration or the directory (draining and dead
/// instances are left out). For each attempt `choose`, then `request_sent`, and exactly one
/// `request_ended`, also for refusals, timeouts and cancelled hedges. An instance may belong to
/// one service only.
class upstream_selector {
 public:
  explicit upstream_selector(caller_location caller, selection_policy policy = {});

  /// Replaces the upstreams of a service; an empty list removes it. The state of upstreams
  /// that stay is kept. Only a subset of the upstreams is used if there are many.
  void set_upstreams(const service_name& service, std::vector<upstream> upstreams, time_point now,
                     const connection_limits& limits = {});

  /// Upstream for the next attempt; empty if the service is unknown or all its upstreams are
  /// excluded. `excluded`: instances that already had an attempt of this request.
  [[nodiscard]] std::optional<instance_name> choose(
      const service_name& service, time_point now, random_source& random,
      const std::vector<instance_name>& excluded = {});

  void request_sent(const instance_name& instance, time_point now);

  /// `latency`: time since `request_sent`. `outcome`: verdict of the attempt; `may_have_run` for a
  /// timeout or a cancelled hedge. `report`: load report that came with the response.
  void request_ended(const instance_name& instance, time_point now, duration latency,
                     verdict outcome, const std::optional<load_report>& report = std::nullopt);

  /// The connection to the instance was refused or lost. Requests that were in flight on it need
  /// their own `request_ended`.
  void connection_failed(const instance_name& instance, time_point now);

  /// Whether a hedge of a request without a response can help: the target has not answered a later
  /// request meanwhile (if it has, the request itself takes long, and so would a second copy), and
  /// another upstream is expected to have free slots (otherwise the hedge would displace other
  /// requests).
  [[nodiscard]] bool hedge_can_help(const instance_name& instance, time_point sent_at,
                                    time_point now) const;

  /// Upstreams in use, by service and instance name.
  [[nodiscard]] std::vector<upstream_state> upstream_states(time_point now) const;

 private:
  struct upstream_member {
    upstream description;
    int zone_distance = 0;
    upstream_tracker tracker;
    bool slow = false;
    time_point next_probe;
    std::optional<time_point> recovered_at;
  };
  struct service_members {
    std::vector<upstream_member> members;
    std::uint64_t call_number = 0;
    time_point spilling_until;
  };
  /// Load by other callers that is assumed where reports are old, by zone distance.
  using load_by_distance = std::array<double, 3>;
  /// Candidates at the same distance, by index into the members.
  struct candidate_group {
    std::vector<std::size_t> members;
    std::vector<selection_candidate> candidates;
  };

  [[nodiscard]] upstream_member* find_member(const instance_name& instance);
  [[nodiscard]] const upstream_member* find_member(const instance_name& instance) const;
  [[nodiscard]] double weight(const upstream_member& member, time_point now) const;
  [[nodiscard]] static duration peer_latency(const service_members& service, time_point now);
  [[nodiscard]] static load_by_distance expected_other_load(const service_members& service,
                                                            time_point now);
  void update_slow(service_members& service, time_point now) const;
  [[nodiscard]] upstream_member* due_probe(service_members& service, time_point now,
                                           const std::vector<instance_name>& excluded) const;
  [[nodiscard]] std::vector<candidate_group> group_candidates(
      const service_members& service, time_point now,
      const std::vector<instance_name>& excluded) const;
  [[nodiscard]] std::size_t pick(service_members& service, time_point now, random_source& random,
                                 const std::vector<candidate_group>& groups) const;

  caller_location caller_;
  selection_policy policy_;
  std::unordered_map<service_name, service_members> services_;
  std::unordered_map<instance_name, service_name> service_of_;
};

}  // namespace crocusdoor
