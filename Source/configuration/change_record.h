#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/decision_record.h"
#include "configuration/resource_kind.h"
#include "configuration/snapshot.h"
#include "core/digest.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// One resource that a confirmed change added, changed or removed.
struct touched_resource {
  resource_kind kind = resource_kind::service;
  std::string name;
  change_kind change = change_kind::added;
  std::optional<decision_record> decision;  ///< Decision after the change; none if removed.
  friend bool operator==(const touched_resource&, const touched_resource&) = default;
};

template <>
struct record_fields<touched_resource> {
  static constexpr auto table =
      std::make_tuple(required_field("what", &touched_resource::kind),
                      required_field("name", &touched_resource::name),
                      required_field("change", &touched_resource::change),
                      optional_field("decision", &touched_resource::decision));
};

/// One confirmed change. The head object contains the latest 64.
struct change_record {
  std::string plan_id;
  version_number version = 0;  ///< Version that the change created.
  digest effect_digest;        ///< Digest of the whole snapshot of that version.
  std::string operator_name;
  std::int64_t confirmed_at_ms = 0;  ///< Wall time in milliseconds since the Unix epoch.
  std::string reason;
  std::vector<std::string> sentences;  ///< What changed, for operators; shortened to a size limit.
  std::vector<touched_resource> touched;  ///< Shortened to a size limit.
  std::uint64_t left_out = 0;             ///< Touched resources omitted because of the size limit.
  friend bool operator==(const change_record&, const change_record&) = default;
};

template <>
struct record_fields<change_record> {
  static constexpr auto table =
      std::make_tuple(required_field("plan_id", &change_record::plan_id),
                      required_field("version", &change_record::version),
                      required_field("effect_digest", &change_record::effect_digest),
                      required_field("operator", &change_record::operator_name),
                      required_field("confirmed_at_ms", &change_record::confirmed_at_ms),
                      required_field("reason", &change_record::reason),
                      required_field("sentences", &change_record::sentences),
                      required_field("touched", &change_record::touched),
                      optional_field("left_out", &change_record::left_out));
};

}  // namespace crocusdoor
