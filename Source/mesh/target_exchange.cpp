#include "mesh/target_exchange.h"

#include <array>
#include <utility>

namespace crocusdoor {

exchange_proof proof_of(target_exchange exchange_end) {
  constexpr std::array<std::pair<target_exchange, exchange_proof>, 9> table = {{
      {target_exchange::success, {verdict::ran, true, true}},
      {target_exchange::failure, {verdict::ran, true, true}},
      {target_exchange::unsealed_success, {verdict::may_have_run, true, false}},
      {target_exchange::declared_not_run, {verdict::not_run, true, false}},
      {target_exchange::another_target, {verdict::not_run, false, false}},
      {target_exchange::not_connected, {verdict::not_run, false, false}},
      {target_exchange::connection_lost, {verdict::may_have_run, true, false}},
      {target_exchange::garbled, {verdict::may_have_run, true, false}},
      {target_exchange::timed_out, {verdict::may_have_run, true, false}},
  }};
  for (const auto& [key, proof] : table) {
    if (key == exchange_end) {
      return proof;
    }
  }
  return {};
}

}  // namespace crocusdoor
