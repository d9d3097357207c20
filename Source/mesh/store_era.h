#pragma once

#include <cstdint>
#include <optional>

namespace crocusdoor {

/// How the era in a message relates to the newest era that is known.
enum class era_relation {
  current,   ///< The same, the first one, or the message states none.
  outdated,  ///< The message is from before the store went back to an older copy.
  newer,     ///< The store has gone back; what was known of its revisions is void.
};

/// The newest era of the platform's store that this process knows. The store starts a new era when
/// it returns from an older copy and assigns revisions again.
class store_era {
 public:
  /// A response of the store or a peer states this era, or none.
  era_relation observe(std::optional<std::uint64_t> era);
  /// Empty if no message has stated an era. The first era of a store may be 0.
  [[nodiscard]] std::optional<std::uint64_t> newest() const noexcept { return newest_; }

 private:
  std::optional<std::uint64_t> newest_;
};

}  // namespace crocusdoor
