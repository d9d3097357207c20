#pragma once

#include <optional>

#include "core/time.h"

namespace crocusdoor::detail {

/// What the kernel knows of the acknowledgements of a peer.
struct acknowledgement_state {
  /// Whether something was sent after the last acknowledgement that the peer has to acknowledge at
  /// once. Not so while the peer's window is full and it has answered the last probe.
  bool awaited = false;
  duration since_last{};  ///< Time since the last acknowledgement arrived.
  friend bool operator==(const acknowledgement_state&, const acknowledgement_state&) = default;
};

/// Returns nothing if the system does not tell.
[[nodiscard]] std::optional<acknowledgement_state> read_acknowledgements(int descriptor);

/// A peer that acknowledges nothing for this long has gone. It is longer than the heartbeat
/// timeout, so that heartbeats detect the end of a link first.
inline constexpr duration acknowledgement_timeout = std::chrono::seconds(5);

/// Tells a peer that acknowledges nothing from one that does not read. TCP_USER_TIMEOUT does not:
/// it also ends connections whose peer acknowledges each probe of its full window.
class acknowledgement_watch {
 public:
  /// Returns whether the peer has acknowledged nothing for `acknowledgement_timeout`. Must be
  /// called several times in that time.
  [[nodiscard]] bool is_silent(const acknowledgement_state& state, time_point now);
  /// The same for the current state of a socket; false if the system does not tell it.
  [[nodiscard]] bool is_silent(int descriptor, time_point now);

 private:
  std::optional<time_point> awaited_since_;
};

}  // namespace crocusdoor::detail
