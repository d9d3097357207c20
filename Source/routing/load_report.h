#pragma once

#include <cstdint>
#include <vector>

#include "core/record_codec.h"

namespace crocusdoor {

/// Load of one target as its own daemon counts it; sent with every response.
struct load_report {
  std::int32_t slots = 0;            ///< Requests the target runs at the same time.
  std::int32_t slots_in_use = 0;     ///< Requests running now.
  std::int32_t queued = 0;           ///< Requests waiting for a slot.
  std::int64_t service_time_us = 0;  ///< Mean time of a request in a slot; 0 if not known.
  std::int32_t failed_percent = 0;   ///< Share of recent requests that the target failed.
  /// Expected wait of a new request by its rank, in milliseconds; the last value applies to all
  /// further ranks.
  std::vector<std::int32_t> wait_ms;
  friend bool operator==(const load_report&, const load_report&) = default;
};

template <>
struct record_fields<load_report> {
  static constexpr auto table =
      std::make_tuple(required_field("slots", &load_report::slots, {0, 10'000}),
                      required_field("slots_in_use", &load_report::slots_in_use, {0, 10'000}),
                      required_field("queued", &load_report::queued, {0, 1'000'000}),
                      optional_field("service_time_us", &load_report::service_time_us),
                      optional_field("failed_percent", &load_report::failed_percent, {0, 100}),
                      optional_field("wait_ms", &load_report::wait_ms));
};

}  // namespace crocusdoor
