#pragma once

#include <string>

#include "core/record_codec.h"

namespace crocusdoor {

/// Who decided on a configured resource, when and why. Every resource has one.
struct decision_record {
  std::string decided_by;  ///< Person or body, for example "board".
  std::string decided_on;  ///< Date as YYYY-MM-DD or a year.
  std::string reason;      ///< The decision in the customer's words.
  friend bool operator==(const decision_record&, const decision_record&) = default;
};

template <>
struct record_fields<decision_record> {
  static constexpr auto table =
      std::make_tuple(required_field("decided_by", &decision_record::decided_by),
                      required_field("decided_on", &decision_record::decided_on),
                      required_field("reason", &decision_record::reason));
};

}  // namespace crocusdoor
