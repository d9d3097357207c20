#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/change_record.h"
#include "configuration/head_document.h"
#include "configuration/intent.h"
#include "configuration/snapshot.h"
#include "configuration/snapshot_diff.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/record_codec.h"
#include "core/time.h"

namespace crocusdoor {

/// An instance that receives a change.
struct affected_instance {
  instance_name name;
  failure_domain domain;
  friend bool operator==(const affected_instance&, const affected_instance&) = default;
};

/// The effect that a set of intents would have on one version of the configuration. A plan changes
/// nothing and is not stored; the operator's client keeps it and sends it back for confirmation.
struct plan {
  std::string id;
  version_number base_version = 0;
  digest base_digest;
  intent_document document;
  digest effect_digest;                ///< Digest of the whole snapshot that results from the plan.
  std::vector<std::string> sentences;  ///< One sentence for each change, for the operator.
  std::vector<resource_change> changes;  ///< Changed resources, before and after the change.
  std::map<failure_domain, std::uint64_t> where;  ///< Number of affected instances.
  friend bool operator==(const plan&, const plan&) = default;
};

template <>
struct record_fields<plan> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &plan::id), required_field("base_version", &plan::base_version),
      required_field("base_digest", &plan::base_digest),
      required_field("document", &plan::document),
      required_field("effect_digest", &plan::effect_digest),
      required_field("sentences", &plan::sentences), required_field("changes", &plan::changes),
      required_field("where", &plan::where));
};

/// Applies the intents to a copy of `base` and validates the result as a whole; its version is one
/// higher. Fails with `error_code::invalid`, naming every fault: a removed resource that does not
/// exist, a removed service that is still referenced (with the names of the routes and actions), a
/// reference to a missing service, or intents that change nothing.
[[nodiscard]] leaf::result<snapshot> apply_intents(const snapshot& base,
                                                   const intent_document& document);

/// Computes what the intents would change. `plan_id` must be unique, because a repeated
/// confirmation is recognised by it. Fails as `apply_intents`, and with `error_code::over_limit` if
/// the result is too large.
[[nodiscard]] leaf::result<plan> make_plan(const head_document& base,
                                           const intent_document& document, std::string plan_id,
                                           const std::vector<affected_instance>& affected);

/// Parses a plan from JSON, as `encode_value(plan)` wrote it. Fails with `error_code::malformed`,
/// `invalid` or `over_limit`; the message names every fault with its position.
[[nodiscard]] leaf::result<plan> parse_plan(std::string_view text);

/// Outcome of the confirmation of a plan.
enum class confirmation_outcome {
  advance,            ///< Write `next` to the platform, on condition that the head is unchanged.
  already_confirmed,  ///< The plan took effect as `version`; respond with success.
  conflict,           ///< The configuration has changed since the plan was made.
};

template <>
struct enum_names<confirmation_outcome> {
  static constexpr auto names = make_enum_names<confirmation_outcome>({
      {confirmation_outcome::advance, "advance"},
      {confirmation_outcome::already_confirmed, "already_confirmed"},
      {confirmation_outcome::conflict, "conflict"},
  });
};

/// Result of `confirm_plan`. If the platform refuses the conditional write of `next`, or its
/// response is lost, read the head again and call `confirm_plan` with it again.
struct confirmation {
  confirmation_outcome outcome = confirmation_outcome::conflict;
  head_document next;                        ///< Set if the outcome is `advance`.
  version_number version = 0;                ///< Version that the plan makes or has made.
  std::vector<change_record> changed_since;  ///< Set if the outcome is `conflict`; oldest first.
  std::string message;                       ///< For the operator.
};

/// Decides the outcome of the confirmation of a plan against the current head. `nonce` identifies
/// the writer of the next head and must be different for each call. Fails with
/// `error_code::invalid` if the effect of the plan's intents differs from the effect that the plan
/// states, and with `over_limit` if the next head is too large.
[[nodiscard]] leaf::result<confirmation> confirm_plan(const head_document& head,
                                                      const plan& submitted, std::string nonce,
                                                      wall_time now);

}  // namespace crocusdoor
