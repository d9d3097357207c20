#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sidecar/outbound_services.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// One request of a caller, from its arrival to its response. It keeps itself alive while an
/// attempt is outstanding.
class outbound_request : public std::enable_shared_from_this<outbound_request> {
 public:
  outbound_request(outbound_services& services, std::shared_ptr<http_exchange> exchange);

  void start();

 private:
  struct attempt {
    wire::request_id id = 0;
    instance_name instance;
    time_point sent_at;
    bool finished = false;
    std::string version;      ///< Of the upstream's target.
    bool comparable = false;  ///< Whether the upstream had warmed up.
  };

  [[nodiscard]] bool find_route();
  /// Identifies the workspace of the caller by its API key, then continues with `check_quota`.
  void check_key();
  /// Ends a request whose key does not allow it to run, or may not do so any more.
  void refuse_key(key_decision decision);
  /// Holds the request for a short time until it is known whether a newer version admits it.
  /// Returns whether the request is held.
  bool hold_for_proof();
  [[nodiscard]] const std::string& authorization() const;
  /// Counts the request against the quota of its workspace, then continues with `begin`.
  void check_quota();
  void quota_decided(bool admitted, duration retry_after);
  /// Sends the first attempt.
  void begin();
  void prepare_call();
  void set_deadline();
  void send_attempt();
  /// Ends the request if it has crashed the targets that have run it; returns whether it has ended.
  bool refuse_crashing();
  [[nodiscard]] placement choose_upstream(time_point now);
  /// Lets the daemon of the upstream ask for the parts of the body.
  void offer_body(const attempt& started);
  /// Records the version to which the attempt is sent.
  void choose_version(attempt& started);
  void finish_without_upstream(const placement& choice);
  /// Ends the request without a further attempt.
  void give_up(const std::string& reason, duration retry_after);
  void attempt_ended(std::size_t index, const call_outcome& outcome);
  void record_version_outcome(const attempt& ended, const call_outcome& outcome, bool refused,
                              bool failed);
  void record_quality(const attempt& ended, const call_outcome& outcome);
  [[nodiscard]] bool is_retryable_failure(const call_outcome& outcome) const;
  void retry_or_finish(const call_outcome& outcome);
  [[nodiscard]] bool may_retry(const call_outcome& outcome);
  [[nodiscard]] bool has_outstanding_attempt() const;
  void deadline_passed();
  void caller_disconnected();
  void cancel_attempts();
  void deliver(const wire::call_answer& upstream_response);
  void refuse(const std::string& reason, duration retry_after);
  void refuse(int status, const std::string& reason, duration retry_after);
  void fail(int status, const std::string& reason);
  void log_attempt(std::size_t index, const call_outcome& outcome) const;
  void log_end(int status, verdict outcome, const std::string& reason, duration took) const;
  void report_if_undelivered();
  void finish(const http_response& response, verdict outcome, const std::string& reason);

  outbound_services& services_;
  const sidecar_context& shared_;
  std::shared_ptr<http_exchange> exchange_;
  std::string attempt_id_;
  time_point arrived_at_;
  time_point deadline_;
  std::uint64_t version_ = 0;          ///< Of the configuration that determined the route.
  route_table_pointer configuration_;  ///< This configuration, until the request is sent.
  mesh_route route_;
  service_name service_;
  std::optional<wire::call_workspace> workspace_;
  wire::call call_;
  bool holds_token_ = false;          ///< Of the quota of the workspace.
  request_identity identity_;         ///< Of `call_`.
  bool body_begun_ = false;           ///< Whether a part of a streamed body has been asked for.
  std::vector<crash_count> crashes_;  ///< Counts of the request before the latest attempt.
  std::vector<attempt> attempts_;
  std::vector<instance_name> tried_;  ///< Upstreams of the attempts, in their order.
  int arrivals_ = 0;                  ///< Attempts that may have reached a target.
  verdict outcome_so_far_ = verdict::not_run;
  /// Failure of an upstream, kept while another upstream is tried.
  std::optional<wire::call_answer> failure_response_;
  duration retry_after_{0};
  /// Expected time until the response of the upstream chosen last.
  duration expected_duration_{0};
  bool finished_ = false;
  std::optional<time_point> held_until_;
  timer_handle deadline_timer_;
  timer_handle hold_timer_;
};

}  // namespace crocusdoor
