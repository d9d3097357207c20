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
#include "suspicion/crash_report.h"

namespace crocusdoor::wire {

/// Version of the protocol between daemons; a daemon refuses a link with another version.
inline constexpr std::int32_t protocol_version = 1;

/// Largest encoded message, in bytes. A configuration snapshot is below 1 MB.
inline constexpr std::size_t message_size_limit_bytes = 2'000'000;

/// Identifies a request on the links of one sender incarnation.
using request_id = std::uint64_t;

using header_map = std::map<std::string, std::string>;

/// First message on each link, sent by both ends.
struct hello {
  instance_record self;
  digest configuration_digest;
  version_number seen_version = 0;  ///< Highest version the sender saw the other end hold.
  /// Instance that the sender has dialled. Its address may belong to another one by now, which then
  /// refuses the link. Empty at the end that was dialled.
  std::optional<instance_name> to;
  bool reads_deflated = false;  ///< Whether the sender can read bodies that are deflated.
  friend bool operator==(const hello&, const hello&) = default;
};

struct heartbeat {
  std::uint64_t sequence = 0;
  digest configuration_digest;
  std::optional<load_report> load;  ///< Of the sender's target, if it reports one.
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

/// Asks a peer for the records in which its directory differs.
struct records_request {
  /// Checksums of the sender's directory by bucket; empty asks for all records.
  std::vector<std::uint64_t> fingerprints;
  /// Whether this answers another request; the receiver then sends no request back.
  bool reply = false;
  friend bool operator==(const records_request&, const records_request&) = default;
};

/// Asks a peer for what changed since the version held.
struct configuration_request {
  version_number held = 0;
  friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

struct configuration_snapshot {
  snapshot content;
  digest content_digest;
  friend bool operator==(const configuration_snapshot&, const configuration_snapshot&) = default;
};

/// A request on its way to the daemon beside the chosen target.
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
  std::int32_t retries_left = 0;  ///< Retries that the whole path may still spend.
  std::int32_t rank = 0;          ///< Urgency of the route; 0 is the most urgent.
  std::string work_class;         ///< Requests that take similar time.
  /// Until when the answer is worth most; negative if that has passed.
  std::chrono::milliseconds objective_left_ms{0};
  /// How long the call was on its way, as its receiver knows it. Not sent; the times that are left
  /// count from when the call was sent.
  duration transit{0};
  /// Number of the link that brought it, as its receiver counts them; 0 for a call of its own. Not
  /// sent.
  std::uint64_t link = 0;
  friend bool operator==(const call&, const call&) = default;
};

struct call_answer {
  request_id id = 0;
  verdict outcome = verdict::may_have_run;
  std::int32_t status = 0;  ///< HTTP status; 0 if no target answered.
  header_map headers;
  byte_string body;
  std::string reason;  ///< Why the request did not run or its outcome is unknown.
  std::chrono::milliseconds retry_after_ms{0};  ///< When a refused request is worth repeating.
  load_report load;
  std::int64_t ran_us = 0;     ///< Time that the request spent at the target.
  bool reached_target = true;  ///< Whether the target may have received the request.
  friend bool operator==(const call_answer&, const call_answer&) = default;
};

struct call_cancel {
  request_id id = 0;
  /// Of the process that made the call; 0 from a daemon that does not say, which is the one at the
  /// other end of the link.
  std::uint64_t sender_incarnation = 0;
  friend bool operator==(const call_cancel&, const call_cancel&) = default;
};

/// Asks over a new link what became of a request that was sent over a lost one.
struct call_status {
  request_id id = 0;
  std::uint64_t sender_incarnation = 0;
  friend bool operator==(const call_status&, const call_status&) = default;
};

/// What a receiver knows of a request id.
enum class call_progress {
  never_received,  ///< Binding: a later arrival of the request is refused.
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
  std::int32_t retention_days = 30;  ///< Of the action; how long the answer is kept.
  friend bool operator==(const claim_request&, const claim_request&) = default;
};

struct claim_answer {
  request_id id = 0;
  claim_decision decision = claim_decision::refused;
  std::optional<claim> granted;
  std::optional<recorded_answer> answer;
  std::string reason;
  std::chrono::milliseconds retry_after_ms{0};  ///< When a refused request is worth repeating.
  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

struct claim_complete {
  request_id id = 0;
  claim_id claim;
  operation_key operation;
  verdict outcome = verdict::may_have_run;
  std::optional<recorded_answer> answer;
  friend bool operator==(const claim_complete&, const claim_complete&) = default;
};

struct claim_complete_answer {
  request_id id = 0;
  bool recorded = false;
  bool final = true;  ///< False if the completion should be repeated to the shard's owner.
  friend bool operator==(const claim_complete_answer&, const claim_complete_answer&) = default;
};

/// Asks a peer for the whole configuration that it holds.
struct whole_configuration_request {
  friend bool operator==(const whole_configuration_request&,
                         const whole_configuration_request&) = default;
};

struct whole_configuration {
  mesh_configuration content;
  friend bool operator==(const whole_configuration&, const whole_configuration&) = default;
};

/// The target beside an instance has said that it goes. Peers keep it and tell it to the instance's
/// daemon when that has started again and knows nothing of it.
struct target_departed {
  instance_name instance;
  std::string target_id;
  std::uint64_t born_ms = 0;  ///< Start of the target on its own clock, since the Unix epoch.
  friend bool operator==(const target_departed&, const target_departed&) = default;
};

struct suspicions {
  std::vector<crash_report> reports;
  friend bool operator==(const suspicions&, const suspicions&) = default;
};

using message = std::variant<hello, heartbeat, heartbeat_answer, records, records_request,
                             configuration_request, configuration_delta, configuration_snapshot,
                             call, call_answer, call_cancel, call_status, call_status_answer,
                             claim_request, claim_answer, claim_complete, claim_complete_answer,
                             suspicions, whole_configuration_request, whole_configuration,
                             configuration_change, target_departed>;

/// A message with what every message carries.
struct envelope {
  version_number configuration_version = 0;  ///< Version that the sender holds.
  message content;
  /// When it was sent, on a clock of the sender that counts suspensions; 0 if that is not known.
  std::chrono::microseconds sent_at{0};
  friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace crocusdoor::wire
