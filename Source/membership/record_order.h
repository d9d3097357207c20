#pragma once

#include "membership/instance_record.h"

namespace crocusdoor {

/// Whether `candidate` replaces `current`, a record of the same instance. The order is total
/// (incarnation, sequence, state), so daemons that received the same records keep the same one,
/// whatever the order and the number of deliveries. An instance increments its sequence whenever it
/// changes its record; if two records with the same sequence differ in more than the state (a fault
/// of the sender), the other fields are compared before the state, so that the daemons still agree.
[[nodiscard]] bool replaces(const instance_record& candidate, const instance_record& current);

/// Whether an instance in this state is no longer part of the mesh (dead or left).
[[nodiscard]] constexpr bool is_gone(instance_state state) noexcept {
  return state == instance_state::dead || state == instance_state::left;
}

/// Whether only the instance itself sets this state. The others are set by its neighbours.
[[nodiscard]] constexpr bool is_announced(instance_state state) noexcept {
  return state != instance_state::suspect && state != instance_state::dead;
}

}  // namespace crocusdoor
