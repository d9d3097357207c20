#include "rollout/rollout_run.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration state_interval = std::chrono::milliseconds(500);
/// While the share rises, and at the end.
constexpr duration short_state_interval = std::chrono::milliseconds(200);
/// Three states may be lost or late before a daemon falls back to the old version.
constexpr std::chrono::milliseconds state_validity{1'500};
/// The end of a rollout is repeated this long, for daemons whose link was being opened.
constexpr duration repeat_time = std::chrono::seconds(5);
constexpr duration write_retry_delay = std::chrono::milliseconds(300);
/// A report that is older does not show that a daemon still has no request in flight.
constexpr duration report_age_limit = std::chrono::milliseconds(700);
/// After this time a successor continues although not all daemons have reported to it.
constexpr duration takeover_limit = std::chrono::milliseconds(1'500);
/// A daemon that has not reported for this long after the roll-back takes no part in rollouts: the
/// share of all others has expired.
constexpr duration silence_limit = std::chrono::seconds(4);
/// Slots of the new version, as a part of those of the old one, from which it may get all requests.
constexpr double sufficient_slots = 0.5;

}  // namespace

rollout_run::rollout_run(start beginning, exposure_bound bound, time_point now)
    : order_(std::move(beginning.order)),
      id_(beginning.id),
      phase_(beginning.phase),
      plan_(bound, order_.span, beginning.deadline),
      taken_over_(beginning.taken_over),
      permille_before_(beginning.permille),
      began_at_(now) {}

void rollout_run::set_phase(wire::rollout_phase phase) {
  if (phase_ != phase) {
    phase_ = phase;
    urgent_ = true;
    settled_ = false;
  }
}

void rollout_run::order_read(const rollout_order& order) {
  order_ = order;
  if (order.status.has_value() && order.status->target_version == order.target_version &&
      order.status->phase != wire::rollout_phase::running && !writing_) {
    set_phase(order.status->phase);
  }
}

void rollout_run::decide_share(const std::vector<instance_name>& daemons,
                               const rollout_capacity& capacity, time_point now) {
  judgement_ = evidence_.judge(now);
  if (judgement_.quality == version_quality::bad ||
      (now >= plan_.deadline() && permille_ < full_permille)) {
    set_phase(wire::rollout_phase::rolled_back);
    return;
  }
  if (taken_over_) {
    taken_over_ =
        evidence_.reports_since(began_at_) < daemons.size() && now - began_at_ < takeover_limit;
    if (!taken_over_ && judgement_.quality == version_quality::good) {
      plan_.resume(permille_before_, now);
    }
  }
  const std::int32_t before = permille_;
  if (taken_over_) {
    permille_ = 0;
  } else {
    permille_ = plan_.next(
        {judgement_.quality, evidence_.exposure(), evidence_.requests(), evidence_.rate(),
         capacity.new_slots > 0, capacity.new_slots >= sufficient_slots * capacity.old_slots},
        now);
  }
  // A step, or the first share, is sent at once; a slightly different canary share is not.
  urgent_ = urgent_ || (plan_.rising() && permille_ != before) || (before == 0) != (permille_ == 0);
  completing_ = permille_ == full_permille &&
                evidence_.settled(daemons, full_permille, now - report_age_limit, false);
  if (now >= plan_.deadline() && !completing_) {
    set_phase(wire::rollout_phase::rolled_back);
  }
}

void rollout_run::decide(const std::vector<instance_name>& daemons,
                         const rollout_capacity& capacity, time_point now) {
  if (phase_ == wire::rollout_phase::running && !completing_) {
    decide_share(daemons, capacity, now);
  }
  if (phase_ == wire::rollout_phase::rolled_back) {
    // Daemons without a link have fallen back to the old version after the validity.
    permille_ = 0;
    completing_ = false;
    excluded_at_ = excluded_at_.value_or(now);
    settled_ =
        now - *excluded_at_ >= state_validity / 2 &&
        evidence_.settled(daemons, 0, now - report_age_limit, now - *excluded_at_ >= silence_limit);
  }
}

std::optional<wire::rollout_state> rollout_run::state_to_send(time_point now) {
  const bool quick = plan_.rising() || phase_ != wire::rollout_phase::running;
  const bool due = urgent_ || now - sent_at_ >= (quick ? short_state_interval : state_interval);
  if (!due || (ended_at_.has_value() && now - *ended_at_ >= repeat_time && !urgent_)) {
    return std::nullopt;
  }
  if (phase_ == wire::rollout_phase::completed) {
    permille_ = full_permille;
  }
  const bool ended = order_.status.has_value() && order_.status->phase == phase_ &&
                     order_.status->target_version == order_.target_version;
  if (ended && phase_ != wire::rollout_phase::running && !ended_at_.has_value()) {
    ended_at_ = now;
  }
  urgent_ = false;
  sent_at_ = now;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan_.deadline() - now);
  return wire::rollout_state{order_.service, order_.target_version, id_, phase_,
                             permille_,      state_validity,        left};
}

std::optional<rollout_status_write> rollout_run::status_to_write(time_point now) {
  rollout_status wanted{phase_, order_.target_version};
  if (phase_ == wire::rollout_phase::running && completing_) {
    wanted.phase = wire::rollout_phase::completed;
  }
  const bool may_write = wanted.phase != wire::rollout_phase::rolled_back || settled_;
  if (writing_ || order_.status == wanted || !may_write || now < write_again_at_) {
    return std::nullopt;
  }
  writing_ = true;
  write_again_at_ = now + write_retry_delay;
  return rollout_status_write{order_.name, order_.service, order_.revision, wanted};
}

void rollout_run::status_written(const rollout_status& written, bool done, std::uint64_t revision) {
  writing_ = false;
  if (!done) {
    return;
  }
  order_.status = written;
  order_.revision = revision > 0 ? revision : order_.revision;
  if (written.phase != wire::rollout_phase::running) {
    set_phase(written.phase);
  }
}

}  // namespace crocusdoor
