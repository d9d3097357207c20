#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/enum_names.h"

namespace crocusdoor {

/// Where the receiver of a message is, as seen from its sender.
enum class link_scope {
  unknown,       ///< The receiver has not sent its hello message yet.
  same_domain,   ///< In the failure domain of the sender.
  other_domain,  ///< In another failure domain.
};

template <>
struct enum_names<link_scope> {
  static constexpr auto names = make_enum_names<link_scope>({
      {link_scope::unknown, "unknown"},
      {link_scope::same_domain, "same_domain"},
      {link_scope::other_domain, "other_domain"},
  });
};

/// Counts what a daemon sends to other daemons, by kind of message and by scope of the link.
///
/// Traffic between failure domains costs money, and requests, heartbeats and configurations cause
/// it for different reasons, so only their separate totals tell which one to reduce.
class link_traffic {
 public:
  struct amount {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;  ///< Encoded messages, without the framing of the transport.
    friend bool operator==(const amount&, const amount&) = default;
  };
  using amounts_by_kind = std::map<std::string, amount, std::less<>>;

  void count(link_scope scope, std::string_view kind, std::size_t bytes);

  [[nodiscard]] const std::map<link_scope, amounts_by_kind>& totals() const noexcept {
    return totals_;
  }
  /// Bytes of all kinds.
  [[nodiscard]] std::uint64_t bytes(link_scope scope) const;

 private:
  std::map<link_scope, amounts_by_kind> totals_;
};

}  // namespace crocusdoor
