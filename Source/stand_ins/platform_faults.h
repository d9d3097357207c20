#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/error.h"
#include "core/record_codec.h"
#include "core/time.h"

namespace crocusdoor::stand_ins {

/// Order to the platform stand-in to misbehave; the body of `POST /control`.
struct platform_fault_order {
  std::chrono::milliseconds down_ms{0};   ///< Close every connection without an answer or effect.
  std::chrono::milliseconds delay_ms{0};  ///< Process each call this much later ...
  std::chrono::milliseconds for_ms{0};    ///< ... for this long.
  std::int32_t lose_answers = 0;  ///< Carry out this many writes and close without an answer.
  std::chrono::milliseconds hang_ms{0};  ///< Accept calls, and process them only after this time.
};

/// How the stand-in treats one call.
struct call_treatment {
  bool refused = false;      ///< Close the connection, no effect.
  duration wait{0};          ///< Process after this time.
  bool lose_answer = false;  ///< Process, then close the connection.
};

/// The faults in force, as a function of time.
class platform_faults {
 public:
  /// Adds the order to the faults in force. Fails with `error_code::malformed`.
  leaf::result<void> apply(const std::string& order_document, time_point now);

  [[nodiscard]] bool down(time_point now) const { return now < down_until_; }
  /// Treatment of the next call. Uses up one lost answer if the call is a write.
  [[nodiscard]] call_treatment next(time_point now, bool write);

 private:
  time_point down_until_{};
  time_point hang_until_{};
  time_point delay_until_{};
  duration delay_{0};
  std::int32_t answers_to_lose_ = 0;
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
