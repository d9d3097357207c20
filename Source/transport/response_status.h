#pragma once

namespace crocusdoor {

inline constexpr int lowest_response_status = 100;
inline constexpr int lowest_final_status = 200;
inline constexpr int highest_response_status = 599;

/// Whether a response may have this status (RFC 9110 section 15).
[[nodiscard]] constexpr bool is_response_status(int status) noexcept {
  return status >= lowest_response_status && status <= highest_response_status;
}

/// Whether a response with this status ends its exchange; others are interim responses.
[[nodiscard]] constexpr bool is_final_status(int status) noexcept {
  return status >= lowest_final_status && is_response_status(status);
}

}  // namespace crocusdoor
