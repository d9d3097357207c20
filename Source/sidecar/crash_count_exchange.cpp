#include "sidecar/crash_count_exchange.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration expiry_interval = std::chrono::seconds(1);
/// Daemons whose targets have completed a request that is reported to have crashed another one
/// answer after a random part of this delay, so that mostly one of them answers.
constexpr duration reset_delay = std::chrono::milliseconds(50);

}  // namespace

crash_count_exchange::crash_count_exchange(
    const sidecar_context& shared, entry_writer& entry,
    std::function<void(const std::vector<crash_count>&)> send_to_all)
    : shared_(shared), send_to_all_(std::move(send_to_all)), archive_(shared, entry) {}

void crash_count_exchange::start() {
  expiry_timer_ = shared_.loop.every(expiry_interval, [this] {
    shared_.crashes.expire(shared_.loop.now());
    archive_.update();
  });
}

void crash_count_exchange::received(const instance_name& from,
                                    const std::vector<crash_count>& counts) {
  for (const crash_count& count : counts) {
    if (shared_.crashes.merge(count, shared_.loop.now())) {
      shared_.log.info(
          "crash_count_received",
          {{"peer", from.str()},
           {"request", count.request.str()},
           {"crashes", count.crashes},
           {"clearings", count.clearings},
           {"refused_ms", to_ms(shared_.crashes.refusal_left(count.request, shared_.loop.now()))}});
      if (count.crashes > 0) {
        reported_.push_back(count.request);
      }
    }
  }
  if (!reported_.empty() && reset_timer_ == nullptr) {
    reset_timer_ = shared_.loop.after(shared_.random.up_to(reset_delay),
                                      [this] { reset_counts_of_completed(); });
  }
}

void crash_count_exchange::reset_counts_of_completed() {
  std::vector<crash_count> reset;
  for (const digest& request : std::exchange(reported_, {})) {
    const auto count = shared_.crashes.reset_if_completed(request, shared_.loop.now());
    if (count.has_value()) {
      reset.push_back(*count);
      shared_.counters.count_crash_count_reset("completed_before_report");
      shared_.log.info("crash_count_reset",
                       {{"request", request.str()}, {"clearings", count->clearings}});
    }
  }
  changed(reset);
  reset_timer_ = nullptr;
}

void crash_count_exchange::changed(const std::vector<crash_count>& counts) {
  if (!counts.empty()) {
    send_to_all_(counts);
    archive_.changed(counts);
  }
}

void crash_count_exchange::restore(const std::vector<daemon_entry>& entries) {
  const std::vector<crash_count> restored = archive_.restore(entries);
  if (!restored.empty()) {
    send_to_all_(restored);
  }
}

}  // namespace crocusdoor
