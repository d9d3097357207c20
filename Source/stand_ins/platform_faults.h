#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/error.h"
#include "core/record_codec.h"
#include "core/time.h"

namespace crocusdoor::stand_ins {

/// Faults that the platform stand-in simulates on request; the body of `POST /control`.
struct platform_fault_order {
  std::chrono::milliseconds down_ms{0};   ///< Close each connection, without response or effect.
  std::chrono::milliseconds delay_ms{0};  ///< Delay the processing of each call by this ...
  std::chrono::milliseconds for_ms{0};    ///< ... for calls that arrive in this time.
  std::int32_t lose_answers = 0;          ///< Apply this many writes, but send no response to them.
  std::chrono::milliseconds hang_ms{0};   ///< Accept calls, but process them only after this time.
};

/// How the stand-in processes one call.
struct call_treatment {
  bool refused = false;        ///< Close the connection without any effect.
  duration wait{0};            ///< Delay before the call is processed.
  bool drop_response = false;  ///< Process the call, then close the connection without a response.
};

/// The faults that are active at a given time.
class platform_faults {
 public:
  /// Adds the faults of the document to the active ones. Fails with `error_code::malformed`.
  leaf::result<void> apply(const std::string& order_document, time_point now);

  [[nodiscard]] bool down(time_point now) const { return now < down_until_; }
  /// Treatment of the next call. A write whose response is dropped reduces the number of responses
  /// that are still to be dropped.
  [[nodiscard]] call_treatment next(time_point now, bool write);

 private:
  time_point down_until_{};
  time_point hang_until_{};
  time_point delay_until_{};
  duration delay_{0};
  std::int32_t responses_to_drop_ = 0;
};

}  // namespace crocusdoor::stand_ins

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::platform_fault_order> {
  using order = stand_ins::platform_fault_order;
  static constexpr number_range span{0, 3'600'000};
  static constexpr auto table =
      std::make_tuple(optional_field("down_ms", &order::down_ms, span),
                      optional_field("delay_ms", &order::delay_ms, span),
                      optional_field("for_ms", &order::for_ms, span),
                      optional_field("lose_answers", &order::lose_answers, {0, 1'000'000}),
                      optional_field("hang_ms", &order::hang_ms, span));
};
