#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_delta.h"
#include "configuration/route.h"
#include "configuration/snapshot.h"
#include "core/time.h"
#include "core/verdict.h"
#include "membership/instance_record.h"
#include "mesh/configuration_change.h"
#include "routing/load_report.h"
#include "run_once/claim.h"
#include "suspicion/crash_counts.h"
#include "suspicion/crash_report.h"

namespace crocusdoor::wire {

/// Version of the protocol between daemons. A daemon refuses a link to a peer with another version.
inline constexpr std::int32_t protocol_version = 1;

/// Maximum size of an encoded message. A configuration snapshot is below 1 MB.
inline constexpr std::size_t message_size_limit_bytes = 2'000'000;

/// Identifies a request among all requests that one incarnation of the sender sends over its links.
using request_id = std::uint64_t;

using header_map = std::map<std::string, std::string>;

/// First message on each link, sent by both daemons.
struct hello {
  instance_record self;
  digest configuration_digest;
  /// Highest version that the receiver has reported to the sender so far.
  version_number seen_version = 0;
  /// Instance to which the sender has opened the connection. If its address belongs to another
  /// instance by now, that instance refuses the link. Empty in the hello of the daemon that
  /// accepted the connection.
  std::optional<instance_name> to;
  bool streams_bodies = false;  ///< Whether the sender asks for bodies that follow their calls.
  bool reads_deflated = false;  ///< Whether the sender can decode deflated bodies.
  /// Dictionary of the compact messages that the sender can decode; 0 if it can decode none.
  std::uint32_t dictionary = 0;
  friend bool operator==(const hello&, const hello&) = default;
};

struct heartbeat {
  std::uint64_t sequence = 0;
  digest configuration_digest;
  std::optional<load_report> load;  ///< Load of the sender's target, if the sender reports it.
  /// Era of the platform's store, if it has changed a short time ago.
  std::optional<std::uint64_t> store_era;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct heartbeat_answer {
  std::uint64_t sequence = 0;
  digest configuration_digest;
  friend bool operator==(const heartbeat_answer&, const heartbeat_answer&) = default;
};

/// Changed instance records.
struct records {
  std::vector<instance_record> changed;
  friend bool operator==(const records&, const records&) = default;
};

/// Requests the instance records in which the peer's directory differs from the sender's.
struct records_request {
  /// Checksum of each bucket of the sender's directory; empty to request all records.
  std::vector<std::uint64_t> fingerprints;
  /// Whether this message responds to a `records_request`; the receiver then sends no request back.
  bool reply = false;
  friend bool operator==(const records_request&, const records_request&) = default;
};

/// Requests the configuration changes since the sender's current version, `held`.
struct configuration_request {
  version_number held = 0;
  friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

struct configuration_snapshot {
  snapshot content;
  digest content_digest;
  friend bool operator==(const configuration_snapshot&, const configuration_snapshot&) = default;
};

/// Workspace of the caller of a request.
struct call_workspace {
  workspace_name name;
  std::int32_t rank = 0;  ///< Counts before the rank of the route; 0 is the most urgent.
  friend bool operator==(const call_workspace&, const call_workspace&) = default;
};

/// Body that follows its call in parts, each of which the receiver asks for.
struct streamed_body {
  std::optional<std::uint64_t> bytes;  ///< Size of the body, if it is known.
  friend bool operator==(const streamed_body&, const streamed_body&) = default;
};

/// A request that is forwarded to the daemon of the chosen target.
struct call {
  request_id id = 0;
  std::uint64_t sender_incarnation = 0;
  service_name service;
  std::string method;
  std::string path;
  header_map headers;
  byte_string body;
  std::chrono::milliseconds deadline_left_ms{0};
  priority_class priority = priority_class::interactive;
  bool idempotent = false;
  std::optional<claim> claim_held;
  std::string traceparent;
  std::int32_t attempt = 1;
  std::int32_t retries_left = 0;  ///< Retries that remain for the whole path of the request.
  std::int32_t rank = 0;          ///< Urgency of the route; 0 is the most urgent.
  std::string work_class;         ///< Class of requests that take similar time.
  /// Time left until the latency objective, after which the response is worth less to the caller;
  /// negative if the objective has passed.
  std::chrono::milliseconds objective_left_ms{0};
  std::optional<call_workspace> workspace;  ///< Of the caller, if it has one.
  /// Version of the target's software that the request was sent to; empty if any may run it.
  std::optional<std::string> target_version;
  /// Set if the body follows; `body` is empty then. Only for peers that stream bodies.
  std::optional<streamed_body> streamed;
  /// Transit time of the call as measured by the receiver. Not sent. `deadline_left_ms` and
  /// `objective_left_ms` count from the time at which the call was sent.
  duration transit{0};
  /// Number that the receiver gave to the link on which the call arrived; 0 for a call that this
  /// daemon created itself. Not sent.
  std::uint64_t link = 0;
  friend bool operator==(const call&, const call&) = default;
};

struct call_answer {
  request_id id = 0;
  verdict outcome = verdict::may_have_run;
  std::int32_t status = 0;  ///< HTTP status; 0 if no target responded.
  header_map headers;
  byte_string body;
  std::string reason;  ///< Why the request did not run or its outcome is unknown.
  std::chrono::milliseconds retry_after_ms{0};  ///< Delay before retrying a refused request.
  load_report load;
  std::int64_t ran_us = 0;     ///< Time that the request spent at the target.
  bool reached_target = true;  ///< Whether the target may have received the request.
  friend bool operator==(const call_answer&, const call_answer&) = default;
};

/// Asks for the next part of the body of a call.
struct body_request {
  request_id id = 0;
  std::uint64_t sender_incarnation = 0;  ///< Of the sender of the call.
  std::uint64_t offset = 0;              ///< Bytes that have been received.
  friend bool operator==(const body_request&, const body_request&) = default;
};

/// The next part of the body of a call.
struct body_part {
  request_id id = 0;
  std::uint64_t sender_incarnation = 0;
  std::uint64_t offset = 0;  ///< Bytes of the body before this part.
  byte_string bytes;
  bool last = false;
  friend bool operator==(const body_part&, const body_part&) = default;
};

struct call_cancel {
  request_id id = 0;
  /// Incarnation of the process that sent the call. 0 if the sender of this message does not state
  /// it; the process is then the one at the other end of the link.
  std::uint64_t sender_incarnation = 0;
  friend bool operator==(const call_cancel&, const call_cancel&) = default;
};

/// Asks, over a new link, for the state of a request that was sent over a link lost since.
struct call_status {
  request_id id = 0;
  std::uint64_t sender_incarnation = 0;
  friend bool operator==(const call_status&, const call_status&) = default;
};

/// State of a request as known to its receiver.
enum class call_progress {
  never_received,  ///< Final: the receiver refuses the request if it arrives later.
  waiting,
  running,
  done,
  forgotten,  ///< The record has been evicted; the outcome is unknown.
};

struct call_status_answer {
  request_id id = 0;
  call_progress progress = call_progress::forgotten;
  std::optional<call_answer> answer;  ///< Present if the progress is `done`.
  friend bool operator==(const call_status_answer&, const call_status_answer&) = default;
};

struct claim_request {
  request_id id = 0;
  operation_key operation;
  digest body_digest;
  std::int64_t expires_at_ms = 0;    ///< Wall time in milliseconds since the Unix epoch.
  std::int32_t retention_days = 30;  ///< Time for which the response is stored; set by the action.
  friend bool operator==(const claim_request&, const claim_request&) = default;
};

struct claim_answer {
  request_id id = 0;
  claim_decision decision = claim_decision::refused;
  std::optional<claim> granted;
  std::optional<recorded_response> answer;
  std::string reason;
  std::chrono::milliseconds retry_after_ms{0};  ///< Delay before retrying a refused request.
  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

struct claim_complete {
  request_id id = 0;
  claim_id claim;
  operation_key operation;
  verdict outcome = verdict::may_have_run;
  std::optional<recorded_response> answer;
  friend bool operator==(const claim_complete&, const claim_complete&) = default;
};

struct claim_complete_answer {
  request_id id = 0;
  bool recorded = false;
  bool final = true;  ///< False if the completion should be sent again to the shard's owner.
  friend bool operator==(const claim_complete_answer&, const claim_complete_answer&) = default;
};

/// Requests the peer's whole current configuration.
struct whole_configuration_request {
  friend bool operator==(const whole_configuration_request&,
                         const whole_configuration_request&) = default;
};

struct whole_configuration {
  mesh_configuration content;
  friend bool operator==(const whole_configuration&, const whole_configuration&) = default;
};

/// Reports that the target of an instance has withdrawn its registration. Peers store the message
/// and send it to the daemon of that instance after the daemon has restarted, because the restarted
/// daemon does not know of the withdrawal.
struct target_departed {
  instance_name instance;
  std::string target_id;
  std::uint64_t born_ms = 0;  ///< Start time of the target on its own clock, since the Unix epoch.
  bool start_known = true;    ///< Otherwise `born_ms` is the time of the withdrawal.
  friend bool operator==(const target_departed&, const target_departed&) = default;
};

/// Requests suspected of crashing targets: as reports between processes of `crocusdoord`, as counts
/// between sidecars.
struct suspicions {
  std::vector<crash_report> reports;
  std::vector<crash_count> counts;
  friend bool operator==(const suspicions&, const suspicions&) = default;
};

/// Asks a peer how old its proof is that its configuration is the newest one.
struct freshness_request {
  std::uint64_t sequence = 0;
  friend bool operator==(const freshness_request&, const freshness_request&) = default;
};

/// Response to a `freshness_request`. The version that it is about is that of the envelope.
struct freshness_answer {
  std::uint64_t sequence = 0;
  /// Time since the version was the newest one in the store; empty if there is no proof.
  std::optional<std::chrono::milliseconds> proof_age_ms;
  friend bool operator==(const freshness_answer&, const freshness_answer&) = default;
};

/// Use of and demand for the quota of a workspace at one daemon.
struct quota_demand {
  workspace_name workspace;
  double used = 0;    ///< Tokens that the daemon's process has spent in total.
  double wanted = 0;  ///< Requests that it expects until its next report.
  double held = 0;    ///< Tokens that it has not spent.
  friend bool operator==(const quota_demand&, const quota_demand&) = default;
};

/// Hands a daemon's share of the quotas to another daemon, the coordinator, which lends it to the
/// daemons that need it.
struct quota_report {
  std::uint64_t sequence = 0;  ///< Increases with each report, also from process to process.
  /// Time, from the sending of the report, for which the share is handed over; 0 withdraws it.
  std::chrono::milliseconds accrued_ms{0};
  std::vector<quota_demand> demands;  ///< Workspaces without use or demand are left out.
  std::int32_t part = 0;              ///< Part of the workspaces that the report is about.
  friend bool operator==(const quota_report&, const quota_report&) = default;
};

/// Requests of a workspace that a daemon may admit.
struct quota_tokens {
  workspace_name workspace;
  double tokens = 0;  ///< Includes what the daemon held according to its report.
  friend bool operator==(const quota_tokens&, const quota_tokens&) = default;
};

/// Response to a `quota_report`.
struct quota_grant {
  std::uint64_t sequence = 0;
  /// From the time at which the report was sent; 0 if the share is not used any more.
  std::chrono::milliseconds valid_ms{0};
  std::vector<quota_tokens> granted;
  std::int32_t part = 0;
  friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

/// State of the rollout of one service.
enum class rollout_phase {
  running,
  completed,    ///< All requests go to the new version.
  rolled_back,  ///< No requests go to the new version.
};

/// Says which part of the requests to a service may go to the version that is rolled out.
struct rollout_state {
  service_name service;
  std::string target_version;
  std::uint64_t order = 0;  ///< Revision of the order in the store.
  rollout_phase phase = rollout_phase::running;
  std::int32_t permille = 0;  ///< Of the requests to the service.
  /// Time after which the new version gets no more requests unless a later message allows it.
  std::chrono::milliseconds valid_ms{0};
  std::chrono::milliseconds left_ms{0};  ///< Until the operator's deadline.
  friend bool operator==(const rollout_state&, const rollout_state&) = default;
};

/// Outcomes at one daemon of the requests of a work class, at the old or the new version, since the
/// rollout began.
struct version_outcomes {
  std::string work_class;
  bool new_version = false;
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t total_time_us = 0;  ///< Of the requests that did not fail.
  std::uint64_t slow = 0;  ///< Requests that took several times the old version's mean time.
  friend bool operator==(const version_outcomes&, const version_outcomes&) = default;
};

/// Reports the outcomes at one daemon to the daemon that decides on a rollout.
struct rollout_evidence {
  service_name service;
  std::string target_version;
  std::uint64_t order = 0;
  std::uint64_t sent = 0;  ///< Requests sent to the new version, finished or not.
  std::vector<version_outcomes> outcomes;
  std::int32_t permille = 0;      ///< Share that the sender applies; 0 if its state has expired.
  std::uint64_t running_old = 0;  ///< Requests of the sender in flight at other versions.
  std::uint64_t running_new = 0;  ///< Requests of the sender in flight at the new version.
  friend bool operator==(const rollout_evidence&, const rollout_evidence&) = default;
};

using message =
    std::variant<hello, heartbeat, heartbeat_answer, records, records_request,
                 configuration_request, configuration_delta, configuration_snapshot, call,
                 call_answer, call_cancel, call_status, call_status_answer, claim_request,
                 claim_answer, claim_complete, claim_complete_answer, suspicions,
                 whole_configuration_request, whole_configuration, configuration_change,
                 target_departed, freshness_request, freshness_answer, quota_report, quota_grant,
                 rollout_state, rollout_evidence, body_request, body_part>;

/// A message with the fields that all messages have.
struct envelope {
  version_number configuration_version = 0;  ///< Current version of the sender.
  message content;
  /// Time of sending, on a clock of the sender that keeps running during suspension; 0 if unknown.
  std::chrono::microseconds sent_at{0};
  friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace crocusdoor::wire
