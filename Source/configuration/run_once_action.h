#pragma once

#include <cstdint>
#include <string>

#include "configuration/decision_record.h"
#include "core/enum_names.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// Name of a run-once action.
using action_name = strong_string<struct action_name_tag>;

/// Part of a request that contains the idempotency key.
enum class key_location { header, path_segment, body_field };

template <>
struct enum_names<key_location> {
  static constexpr auto names = make_enum_names<key_location>({
      {key_location::header, "header"},
      {key_location::path_segment, "path_segment"},
      {key_location::body_field, "body_field"},
  });
};

/// An action that is executed at most once for each idempotency key.
struct run_once_action {
  action_name name;
  service_name service;
  std::string method = "POST";
  std::string path_prefix;  ///< Starts with "/"; matches whole path segments.
  key_location key_in = key_location::header;
  std::string key_name;  ///< Header name, zero-based segment number, or top-level JSON field.
  std::int32_t retention_days = 30;  ///< How long the recorded response is kept.
  decision_record decision;
  friend bool operator==(const run_once_action&, const run_once_action&) = default;
};

template <>
struct record_fields<run_once_action> {
  static constexpr auto table =
      std::make_tuple(required_field("name", &run_once_action::name),
                      required_field("service", &run_once_action::service),
                      optional_field("method", &run_once_action::method),
                      required_field("path_prefix", &run_once_action::path_prefix),
                      required_field("key_in", &run_once_action::key_in),
                      required_field("key_name", &run_once_action::key_name),
                      optional_field("retention_days", &run_once_action::retention_days, {1, 3650}),
                      required_field("decision", &run_once_action::decision));
};

}  // namespace crocusdoor
