#pragma once

#include <cstdint>

#include "core/digest.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// One crash of a target with a request in flight, or an operator's clearing of a suspicion.
struct crash_report {
  digest request;              ///< Digest of service, method, path and body.
  instance_name instance;      ///< Where the crash happened; empty for a clearing.
  std::uint64_t crash_id = 0;  ///< Distinguishes crashes of the same instance.
  std::int64_t at_ms = 0;      ///< Wall time in milliseconds since the Unix epoch.
  bool cleared = false;        ///< Whether this report clears all earlier ones of the request.
  friend bool operator==(const crash_report&, const crash_report&) = default;
};

template <>
struct record_fields<crash_report> {
  static constexpr auto table = std::make_tuple(required_field("request", &crash_report::request),
                                                required_field("instance", &crash_report::instance),
                                                required_field("crash_id", &crash_report::crash_id),
                                                required_field("at_ms", &crash_report::at_ms),
                                                required_field("cleared", &crash_report::cleared));
};

}  // namespace crocusdoor
