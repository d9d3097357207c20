#include "sidecar/planned_stop.h"

namespace crocusdoor {

namespace {

constexpr duration check_interval = std::chrono::milliseconds(50);
/// Callers check readiness once a second and keep using a daemon until two checks have failed.
constexpr duration unready_notice_time = std::chrono::milliseconds(2'300);
/// For this long, responses close their connections before idle connections are closed, too.
constexpr duration close_notice_time = std::chrono::milliseconds(700);
/// Part of the time to stop that is reserved for sending the last responses.
constexpr duration stop_reserve = std::chrono::milliseconds(600);
/// When no request has been in progress for this long, the last responses have been sent.
constexpr duration flush_time = std::chrono::milliseconds(150);

}  // namespace

void planned_stop::begin() {
  began_at_ = shared_.loop.now();
  shared_.work.end_at(*end_of_process());
  watch_.emplace(*began_at_, flush_time, *end_of_process());
  log_state("stop_began");
  timer_ = shared_.loop.every(check_interval, [this] { proceed(); });
}

std::optional<time_point> planned_stop::end_of_process() const {
  return began_at_.has_value() ? std::optional(*began_at_ + time_limit_ - stop_reserve)
                               : std::nullopt;
}

void planned_stop::proceed() {
  const duration elapsed = shared_.loop.now() - *began_at_;
  if (elapsed < unready_notice_time) {
    return;
  }
  shared_.callers.announce_close();
  if (elapsed < unready_notice_time + close_notice_time) {
    return;
  }
  // Requests read from now on could not be completed before the process is killed.
  shared_.callers.stop_accepting();
  shared_.callers.close_idle();
  if (watch_->may_end(busy(), shared_.loop.now())) {
    log_state("stopped");
    shared_.loop.stop();
  }
}

bool planned_stop::busy() const {
  return shared_.callers.active() > 0 || shared_.registration.active() > 0 ||
         shared_.work.active() > 0 || shared_.links.links_with_responses() > 0 ||
         shared_.unclaimed.any(shared_.loop.now());
}

void planned_stop::log_state(const char* event) const {
  const unsent_responses unsent = shared_.callers.unsent();
  shared_.log.info(event, {{"callers", shared_.callers.active()},
                           {"running", shared_.work.active()},
                           {"unsent_responses", unsent.connections},
                           {"unsent_bytes", unsent.bytes},
                           {"links_with_responses", shared_.links.links_with_responses()}});
}

}  // namespace crocusdoor
