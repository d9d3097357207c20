#include "sidecar/start_timeline.h"

namespace crocusdoor {

void start_timeline::reached(start_phase phase) {
  if (!reached_.insert(phase).second) {
    return;
  }
  const duration elapsed = clock_.now() - started_at_;
  const std::string name(to_string(phase));
  counters_
      .total("crocusdoor_start_phase_seconds", "Time from the start until a phase was reached",
             {{"phase", name}})
      .Set(std::chrono::duration<double>(elapsed).count());
  log_.info("start_phase", {{"phase", name}, {"after_ms", to_ms(elapsed)}});
}

}  // namespace crocusdoor
