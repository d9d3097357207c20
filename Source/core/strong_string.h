#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace crocusdoor {

/// A string with a distinct type per tag, so that names of different kinds cannot be confused.
template <typename Tag>
class strong_string {
 public:
  strong_string() = default;
  explicit strong_string(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& str() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend auto operator<=>(const strong_string&, const strong_string&) = default;
  friend std::ostream& operator<<(std::ostream& out, const strong_string& text) {
    return out << text.value_;
  }

 private:
  std::string value_;
};

/// Name of one machine slot with its target and its daemon, unique in the mesh.
using instance_name = strong_string<struct instance_name_tag>;
/// Name of a service: a set of upstreams that serve the same calls.
using service_name = strong_string<struct service_name_tag>;
/// Name of a failure domain; routing treats each failure domain as a zone.
using failure_domain = strong_string<struct failure_domain_tag>;
/// Name of a region: a set of failure domains with low latency between them.
using region_name = strong_string<struct region_name_tag>;

}  // namespace crocusdoor

template <typename Tag>
struct std::hash<crocusdoor::strong_string<Tag>> {
  std::size_t operator()(const crocusdoor::strong_string<Tag>& text) const noexcept {
    return std::hash<std::string>{}(text.str());
  }
};
