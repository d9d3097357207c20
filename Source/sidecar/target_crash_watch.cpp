#include "sidecar/target_crash_watch.h"

#include <utility>

namespace crocusdoor {

namespace {

/// A later start of the target within this time after a lost exchange is taken for a restart after
/// a crash, in case the probe came only after the restart.
constexpr duration restart_window = std::chrono::seconds(2);

}  // namespace

target_crash_watch::target_crash_watch(timer_service& timers, handlers callbacks)
    : timers_(timers), callbacks_(std::move(callbacks)) {}

void target_crash_watch::exchange_lost(lost_exchange lost, std::function<void()> settled) {
  expire();
  lost_.push_back(std::move(lost));
  waiting_.push_back(std::move(settled));
  if (!std::exchange(probe_running_, true)) {
    probe_ = callbacks_.probe([this](probe_result result) { probe_ended(result); });
  }
}

void target_crash_watch::probe_ended(probe_result result) {
  probe_running_ = false;
  if (result == probe_result::refused) {
    report(crash_evidence::connection_refused);
  }
  for (const auto& settled : std::exchange(waiting_, {})) {
    settled();
  }
}

void target_crash_watch::later_start() {
  expire();
  report(crash_evidence::later_start);
}

void target_crash_watch::report(crash_evidence evidence) {
  const std::vector<lost_exchange> ended = std::exchange(lost_, {});
  if (!ended.empty()) {
    callbacks_.target_ended(ended, evidence);
  }
}

void target_crash_watch::forget(const std::string& reason) {
  const std::size_t forgotten = std::exchange(lost_, {}).size();
  if (forgotten > 0) {
    callbacks_.forgotten(forgotten, reason);
  }
}

void target_crash_watch::expire() {
  const auto expired = std::erase_if(lost_, [now = timers_.now()](const lost_exchange& lost) {
    return now - lost.lost_at > restart_window;
  });
  if (expired > 0) {
    callbacks_.forgotten(expired, "expired");
  }
}

}  // namespace crocusdoor
