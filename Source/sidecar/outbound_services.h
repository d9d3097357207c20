#pragma once

#include <functional>
#include <map>
#include <optional>

#include "daemon/call_router.h"
#include "mesh/key_check.h"
#include "mesh/retry_window.h"
#include "mesh/route_table.h"
#include "mesh/upstream_pool.h"
#include "mesh/weighted_rotation.h"
#include "rollout/rollout_table.h"
#include "sidecar/body_sender.h"
#include "sidecar/quota_exchange.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Objects shared by all requests of callers.
struct outbound_services {
  const sidecar_context& shared;
  call_router& router;
  upstream_pool& upstreams;
  weighted_rotation& rotation;
  std::map<service_name, retry_window>& retries;
  rollout_table& rollouts;
  quota_exchange& quotas;
  std::function<route_table_pointer()> configuration;
  /// Time at which this process ends; empty while it is not being stopped.
  std::function<std::optional<time_point>()> end_of_process;
  /// Daemons that share the retry budget.
  std::function<std::size_t()> daemon_count;
  /// Sends the crash count of a request to an instance, ahead of the request itself.
  std::function<void(const instance_name&, const std::vector<crash_count>&)> send_crash_counts;
  /// What is proved about the current configuration now.
  std::function<configuration_proof()> proof;
  /// Asks for a newer proof and calls the action once when the proof or the configuration has
  /// changed. Returns false if too many requests wait already.
  std::function<bool(std::function<void()>)> await_proof;
  /// Sends the bodies that follow their calls.
  body_sender& bodies;
  /// Whether an instance asks for bodies that follow their calls.
  std::function<bool(const instance_name&)> streams_bodies;
};

}  // namespace crocusdoor
