#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/decision_record.h"
#include "configuration/head_document.h"
#include "configuration/resource_kind.h"

namespace crocusdoor {

/// One confirmed change of the decision on a resource.
struct decision_change {
  version_number version = 0;
  std::string plan_id;
  std::string operator_name;
  std::int64_t confirmed_at_ms = 0;  ///< Wall time in milliseconds since the Unix epoch.
  std::string reason;
  change_kind change = change_kind::added;
  std::optional<decision_record> decision;  ///< Decision after the change; none if removed.
  friend bool operator==(const decision_change&, const decision_change&) = default;
};

template <>
struct record_fields<decision_change> {
  static constexpr auto table =
      std::make_tuple(required_field("version", &decision_change::version),
                      required_field("plan_id", &decision_change::plan_id),
                      required_field("operator", &decision_change::operator_name),
                      required_field("confirmed_at_ms", &decision_change::confirmed_at_ms),
                      required_field("reason", &decision_change::reason),
                      required_field("change", &decision_change::change),
                      optional_field("decision", &decision_change::decision));
};

/// Decision on one resource with its history.
struct decision_entry {
  resource_kind kind = resource_kind::service;
  std::string name;
  std::optional<decision_record> standing;  ///< Current decision; none if the resource was removed.
  std::vector<decision_change> changes;     ///< From the last 64 changes, oldest first.
  friend bool operator==(const decision_entry&, const decision_entry&) = default;
};

template <>
struct record_fields<decision_entry> {
  static constexpr auto table = std::make_tuple(
      required_field("what", &decision_entry::kind), required_field("name", &decision_entry::name),
      optional_field("standing", &decision_entry::standing),
      required_field("changes", &decision_entry::changes));
};

/// The current decision on each resource with its history, and the history of removed resources,
/// ordered by kind and name.
[[nodiscard]] std::vector<decision_entry> decision_history(const head_document& head);

}  // namespace crocusdoor
