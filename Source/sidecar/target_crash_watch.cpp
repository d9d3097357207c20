#include "sidecar/target_crash_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusdoor {

namespace {

/// The response to a lost exchange waits this long for a proof, so that its sender knows of the
/// crash before it tries another target.
constexpr duration hold_limit = std::chrono::milliseconds(100);
constexpr duration held_check_interval = std::chrono::milliseconds(25);
constexpr duration open_check_interval = std::chrono::milliseconds(500);
/// A process may close its connections one after the other when it ends, and heartbeats may be
/// late. A sign of life shows only from this time after the loss on that the target has survived.
constexpr duration survival_delay = std::chrono::seconds(1);
/// Maximum number of lost exchanges; the oldest are removed first.
constexpr std::size_t open_exchange_limit = 256;

}  // namespace

bool has_count(const lost_exchange& exchange, std::uint64_t target_start, const digest& request) {
  return exchange.target_start == target_start &&
         std::any_of(exchange.known.begin(), exchange.known.end(),
                     [&](const crash_count& known) { return known.request == request; });
}

target_crash_watch::target_crash_watch(timer_service& timers, handlers callbacks)
    : timers_(timers), callbacks_(std::move(callbacks)) {}

void target_crash_watch::exchange_lost(lost_exchange lost, std::function<void()> release) {
  if (open_.size() >= open_exchange_limit) {
    const std::function<void()> release_oldest = std::move(open_.front().release);
    open_.erase(open_.begin());
    if (release_oldest) {
      release_oldest();
    }
  }
  open_.push_back({std::move(lost), std::move(release)});
  probe();
  if (!checks_soon_) {
    schedule_check();
  }
}

void target_crash_watch::probe() {
  if (!std::exchange(probe_running_, true)) {
    probe_ = callbacks_.probe([this](probe_result result) { probe_ended(result); });
  }
}

void target_crash_watch::probe_ended(probe_result result) {
  probe_running_ = false;
  if (result == probe_result::refused) {
    settle_ended([](const lost_exchange&) { return true; }, crash_evidence::connection_refused);
  } else {
    release_held();
  }
}

void target_crash_watch::heartbeat_received(std::uint64_t target_start) {
  for (open_exchange& open : open_) {
    if (open.lost.target_start == 0) {
      open.lost.target_start = target_start;
    }
  }
  settle_ended([&](const lost_exchange& lost) { return lost.target_start < target_start; },
               crash_evidence::later_start);
  settle_survived(
      [&, now = timers_.now()](const lost_exchange& lost) {
        return lost.target_start == target_start && now - lost.lost_at >= survival_delay;
      },
      survival_evidence::heartbeat);
}

void target_crash_watch::target_leaving() {
  settle_survived([](const lost_exchange&) { return true; }, survival_evidence::leaving);
}

void target_crash_watch::check() {
  release_held();
  const std::optional<time_point> oldest = callbacks_.oldest_connection();
  settle_survived(
      [&, now = timers_.now()](const lost_exchange& lost) {
        return oldest.has_value() && *oldest < lost.lost_at && now - lost.lost_at >= survival_delay;
      },
      survival_evidence::older_connection);
  if (!open_.empty()) {
    probe();
  }
  schedule_check();
}

void target_crash_watch::schedule_check() {
  checks_soon_ = any_held();
  check_timer_ = open_.empty()
                     ? nullptr
                     : timers_.after(checks_soon_ ? held_check_interval : open_check_interval,
                                     [this] { check(); });
}

void target_crash_watch::release_held() {
  const time_point now = timers_.now();
  const std::optional<time_point> oldest = callbacks_.oldest_connection();
  lost_exchanges suspects;
  std::vector<std::function<void()>> released;
  for (open_exchange& open : open_) {
    const bool alive = oldest.has_value() && *oldest < open.lost.lost_at;
    if (!open.release || (!alive && now - open.lost.lost_at < hold_limit)) {
      continue;
    }
    if (!alive) {
      remove_suspected(open.lost);
      open.lost.suspected = !open.lost.known.empty();
      if (open.lost.suspected) {
        suspects.push_back(open.lost);
      }
    }
    released.push_back(std::exchange(open.release, nullptr));
  }
  if (!suspects.empty()) {
    callbacks_.suspected(suspects);
  }
  for (const auto& release : released) {
    release();
  }
}

void target_crash_watch::settle(const exchange_filter& matches,
                                const std::function<void(const lost_exchanges&)>& report) {
  const auto first_settled = std::stable_partition(
      open_.begin(), open_.end(), [&](const open_exchange& open) { return !matches(open.lost); });
  const std::vector<open_exchange> settled(std::make_move_iterator(first_settled),
                                           std::make_move_iterator(open_.end()));
  open_.erase(first_settled, open_.end());
  if (settled.empty()) {
    return;
  }
  lost_exchanges lost;
  for (const open_exchange& exchange : settled) {
    lost.push_back(exchange.lost);
  }
  report(lost);
  for (const open_exchange& exchange : settled) {
    if (exchange.release) {
      exchange.release();
    }
  }
}

void target_crash_watch::settle_ended(const exchange_filter& matches, crash_evidence evidence) {
  settle(matches, [&](const lost_exchanges& lost) { callbacks_.ended(lost, evidence); });
}

void target_crash_watch::settle_survived(const exchange_filter& matches,
                                         survival_evidence evidence) {
  settle(matches, [&](const lost_exchanges& lost) { callbacks_.survived(lost, evidence); });
}

void target_crash_watch::remove_suspected(lost_exchange& lost) const {
  std::erase_if(lost.known, [&](const crash_count& known) {
    return std::any_of(open_.begin(), open_.end(), [&](const open_exchange& open) {
      return open.lost.suspected && has_count(open.lost, lost.target_start, known.request);
    });
  });
}

bool target_crash_watch::any_held() const {
  return std::any_of(open_.begin(), open_.end(),
                     [](const open_exchange& open) { return open.release != nullptr; });
}

}  // namespace crocusdoor
