#include "link/link_traffic.h"

namespace crocusdoor {

void link_traffic::count(link_scope scope, std::string_view kind, std::size_t bytes) {
  amounts_by_kind& amounts = totals_[scope];
  auto found = amounts.find(kind);
  if (found == amounts.end()) {
    found = amounts.emplace(std::string(kind), amount()).first;
  }
  ++found->second.messages;
  found->second.bytes += bytes;
}

std::uint64_t link_traffic::bytes(link_scope scope) const {
  const auto found = totals_.find(scope);
  std::uint64_t total = 0;
  if (found != totals_.end()) {
    for (const auto& [kind, sent] : found->second) {
      total += sent.bytes;
    }
  }
  return total;
}

}  // namespace crocusdoor
