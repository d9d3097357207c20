#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Chosen by the caller of `shard_log` or `claim_service`; comes back with the answer.
using ticket_number = std::uint64_t;
/// Version of a platform object; 0 stands for an absent object.
using object_version = std::uint64_t;

/// What a caller asks a claim for.
struct claim_parameters {
  operation_key operation;
  digest body_digest;
  wall_time expires_at;              ///< Deadline of the request; also the expiry of the claim.
  std::int32_t retention_days = 30;  ///< Of the action; how long the answer is kept.
};

/// Answer to a claim request.
struct claim_response {
  claim_decision decision = claim_decision::refused;
  std::optional<claim> granted;             ///< Present if granted.
  std::optional<recorded_response> answer;  ///< Present if answered.
  std::string reason;                       ///< Present unless granted or answered.
  duration retry_after{0};                  ///< When a refused request is worth repeating.
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
/// Deletes objects; has no result, a failure only leaves garbage.
struct delete_objects {
  std::vector<std::string> names;
};
struct answer_claim {
  ticket_number ticket = 0;
  claim_response response;
};
/// Answer to a completion. If it was not recorded, the holder repeats it to the current owner
/// unless `reason` names a claim that is no longer valid (`final`).
struct answer_completion {
  ticket_number ticket = 0;
  bool recorded = false;
  bool final = true;  ///< False if the completion should be repeated to the shard's owner.
  std::string reason;
};
struct answer_resolution {
  ticket_number ticket = 0;
  bool resolved = false;
  std::string reason;
};

/// What the shell has to do. Every create, read and write has exactly one result, which the shell
/// reports to the same `shard_log`.
using shard_effect = std::variant<create_object, read_object, write_object, delete_objects,
                                  answer_claim, answer_completion, answer_resolution>;
using shard_effects = std::vector<shard_effect>;

}  // namespace crocusdoor
