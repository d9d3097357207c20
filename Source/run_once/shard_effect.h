#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Chosen by the code that calls `shard_log` or `claim_service`; identifies the request that a
/// response belongs to.
using ticket_number = std::uint64_t;
/// Version of a platform object; 0 if the object is absent.
using object_version = std::uint64_t;

/// Parameters of a claim request.
struct claim_parameters {
  operation_key operation;
  digest body_digest;
  wall_time expires_at;              ///< Deadline of the request; also the expiry of the claim.
  std::int32_t retention_days = 30;  ///< How long the response is kept, set by the action.
};

/// Response to a claim request.
struct claim_response {
  claim_decision decision = claim_decision::refused;
  std::optional<claim> granted;             ///< Present if `granted`.
  std::optional<recorded_response> answer;  ///< Present if `answered`: the recorded response.
  std::string reason;                       ///< Present unless `granted` or `answered`.
  duration retry_after{0};                  ///< Delay before a refused request should be repeated.
  friend bool operator==(const claim_response&, const claim_response&) = default;
};

/// Result: `object_created`, `object_exists`, `object_result_unknown` or `object_unavailable`.
struct create_object {
  std::string name;
  std::string content;
};
/// Result: `object_read`, `object_result_unknown` or `object_unavailable`.
struct read_object {
  std::string name;
};
/// Replaces an object only if its version is the expected one (0: only if it is absent). Result:
/// `object_written`, `object_changed`, `object_result_unknown` or `object_unavailable`.
struct write_object {
  std::string name;
  std::string content;
  object_version expected = 0;
};
/// Deletes objects. It has no result, because a failure only leaves unused objects behind.
struct delete_objects {
  std::vector<std::string> names;
};
/// Sends the response to a claim request.
struct answer_claim {
  ticket_number ticket = 0;
  claim_response response;
};
/// Sends the response to a completion. If the completion was not recorded, the holder of the claim
/// reports it again to the current owner of the shard, unless the response is `final` because the
/// claim is no longer valid.
struct answer_completion {
  ticket_number ticket = 0;
  bool recorded = false;
  bool final = true;  ///< False if the completion should be repeated to the shard's owner.
  std::string reason;
};
/// Sends the response to an operator's resolution.
struct answer_resolution {
  ticket_number ticket = 0;
  bool resolved = false;
  std::string reason;
};

/// Action that a state machine requests from the code that drives it and performs its I/O. Every
/// create, read and write has exactly one result, which that code reports to the same `shard_log`.
using shard_effect = std::variant<create_object, read_object, write_object, delete_objects,
                                  answer_claim, answer_completion, answer_resolution>;
using shard_effects = std::vector<shard_effect>;

}  // namespace crocusdoor
