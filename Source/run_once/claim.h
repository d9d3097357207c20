#pragma once

#include <cstdint>
#include <string>

#include "configuration/run_once_action.h"
#include "core/digest.h"
#include "core/enum_names.h"
#include "core/record_codec.h"
#include "core/verdict.h"

namespace crocusdoor {

/// Value of the idempotency key of one request.
using idempotency_key = strong_string<struct idempotency_key_tag>;
/// Identifies one claim. The shard owner derives it from its random seed and a counter.
using claim_id = strong_string<struct claim_id_tag>;

/// Identifies one operation, that is, one occurrence of a run-once action.
struct operation_key {
  action_name action;
  idempotency_key key;
  friend auto operator<=>(const operation_key&, const operation_key&) = default;
};

template <>
struct record_fields<operation_key> {
  static constexpr auto table = std::make_tuple(required_field("action", &operation_key::action),
                                                required_field("key", &operation_key::key));
};

/// HTTP response of a run-once action, as it is recorded and returned to repeated requests.
struct recorded_response {
  std::int32_t status = 0;  ///< HTTP status.
  std::string content_type;
  byte_string body;
  friend bool operator==(const recorded_response&, const recorded_response&) = default;
};

template <>
struct record_fields<recorded_response> {
  static constexpr auto table =
      std::make_tuple(required_field("status", &recorded_response::status),
                      required_field("content_type", &recorded_response::content_type),
                      required_field("body", &recorded_response::body));
};

/// Durable permission to execute one operation. A target's daemon forwards a run-once request only
/// with a claim that has not expired.
struct claim {
  claim_id id;
  operation_key operation;
  digest body_digest;
  std::uint32_t shard = 0;
  std::int64_t expires_at_ms = 0;  ///< Wall time in milliseconds since the Unix epoch.
  friend bool operator==(const claim&, const claim&) = default;
};

template <>
struct record_fields<claim> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &claim::id), required_field("operation", &claim::operation),
      required_field("body_digest", &claim::body_digest),
      required_field("shard", &claim::shard, {0, 65'535}),
      required_field("expires_at_ms", &claim::expires_at_ms));
};

/// What the shard owner decided about a claim request.
enum class claim_decision {
  granted,      ///< The claim is durable; the request may be sent to a target.
  answered,     ///< The operation ran before; its recorded response is returned.
  in_progress,  ///< Another request holds the claim and has not reported its outcome.
  conflict,     ///< The key was used before with another body.
  in_doubt,     ///< The operation may have run; an operator has to resolve it.
  refused,      ///< No claim could be made durable; the operation has not run.
};

template <>
struct enum_names<claim_decision> {
  static constexpr auto names = make_enum_names<claim_decision>({
      {claim_decision::granted, "granted"},
      {claim_decision::answered, "answered"},
      {claim_decision::in_progress, "in_progress"},
      {claim_decision::conflict, "conflict"},
      {claim_decision::in_doubt, "in_doubt"},
      {claim_decision::refused, "refused"},
  });
};

}  // namespace crocusdoor
