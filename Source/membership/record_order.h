#pragma once

#include "membership/instance_record.h"

namespace crocusdoor {

/// Whether `candidate` replaces `held`, a record of the same instance. The order is total
/// (incarnation, sequence, state, then the remaining fields), so daemons that saw the same records
/// hold the same one, whatever the order and the number of deliveries.
[[nodiscard]] bool replaces(const instance_record& candidate, const instance_record& held);

/// Whether an instance in this state is no longer part of the mesh (dead or left).
[[nodiscard]] constexpr bool is_gone(instance_state state) noexcept {
  return state == instance_state::dead || state == instance_state::left;
}

/// Whether only the instance itself sets this state. The others are set by its neighbours.
[[nodiscard]] constexpr bool is_announced(instance_state state) noexcept {
  return state != instance_state::suspect && state != instance_state::dead;
}

}  // namespace crocusdoor
