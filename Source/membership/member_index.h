#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "membership/instance_record.h"

namespace crocusdoor {

/// Live instances by failure domain in a compact form, so that choosing neighbours, watchers and
/// shard owners touches few cache lines instead of all records.
class member_index {
 public:
  struct member {
    std::uint64_t position = 0;  ///< Hash of the name: position on the ring of the failure domain.
    instance_state state = instance_state::starting;
    instance_state announced = instance_state::starting;  ///< Last state the instance announced.
    const instance_record* record = nullptr;              ///< Owned by the directory.
  };
  using members = std::vector<member>;  ///< In ascending order of position.

  /// Adds the member, or updates the one of the same name.
  void put(const member& entry);
  /// Removes the member if it is present.
  void remove(const instance_record& record);

  [[nodiscard]] const std::map<failure_domain, members>& domains() const noexcept {
    return domains_;
  }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// Position of an instance on the rings.
  [[nodiscard]] static std::uint64_t position_of(const instance_name& name);

 private:
  std::map<failure_domain, members> domains_;
  std::size_t size_ = 0;
};

}  // namespace crocusdoor
