#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/record_codec.h"

namespace crocusdoor {

/// A start of a target that has withdrawn. Its daemon has acknowledged the withdrawal, so the
/// target gets no new requests, also after a restart of the daemon.
struct target_departure {
  std::string id;
  std::uint64_t born_ms = 0;  ///< Wall time of the start, or of a withdrawal that states no start.
  /// Whether the start is known: then all starts at the address up to it have left. Otherwise only
  /// the starts under this id up to the withdrawal have.
  bool start_known = true;
  friend bool operator==(const target_departure&, const target_departure&) = default;
};

template <>
struct record_fields<target_departure> {
  static constexpr auto table =
      std::make_tuple(required_field("target", &target_departure::id),
                      required_field("born", &target_departure::born_ms),
                      optional_field("start_known", &target_departure::start_known));
};

/// The departures at one address. They merge in any order and with repeats.
class target_departures {
 public:
  /// Returns whether it was not known and is kept.
  bool add(const target_departure& departure);
  /// Whether this start has left. `born_ms` is 0 if it is not known.
  [[nodiscard]] bool covers(const std::string& id, std::uint64_t born_ms) const;
  [[nodiscard]] const std::vector<target_departure>& all() const noexcept { return departures_; }

 private:
  /// At most one departure whose start is known, the latest, and a few others.
  std::vector<target_departure> departures_;
};

}  // namespace crocusdoor
