#include "fleet_model.h"

#include <algorithm>
#include <array>

namespace crocusdoor {

namespace {

constexpr std::size_t daemon_count = 60;
constexpr std::size_t targets = 10;
constexpr duration step_time = std::chrono::milliseconds(5);
constexpr duration decide_interval = std::chrono::milliseconds(100);
constexpr duration message_delay = std::chrono::milliseconds(20);
constexpr duration service_time = std::chrono::milliseconds(40);
constexpr duration timeout = std::chrono::milliseconds(1'500);
constexpr double cold_factor = 2;
constexpr duration warmup = std::chrono::seconds(3);
const service_name the_service("s");
const std::string new_name = "v2";
const std::array<std::string, 3> classes = {"list", "read", "write"};

double speed(std::size_t target) {
  return 0.5 + 1.2 * static_cast<double>(target) / (targets - 1);
}

}  // namespace

fleet_model::fleet_model(std::uint64_t seed) : random_(seed), daemons_(daemon_count) {
  for (std::size_t index = 0; index < daemon_count; ++index) {
    daemons_[index].name = instance_name("d" + std::to_string(index));
  }
}

void fleet_model::after(duration delay, std::function<void()> happens) {
  events_.emplace(now_ + delay, std::move(happens));
}

void fleet_model::order(std::chrono::milliseconds span) {
  ordered_at_ = now_;
  requests = 0;
  const std::uint64_t revision = stored_.has_value() ? stored_->revision + 1 : 412;
  stored_ = rollout_order{the_service.str(), the_service, new_name, span, revision, std::nullopt};
  for (daemon& reader : daemons_) {
    if (reader.decider.has_value()) {
      read_order(reader);
    }
  }
}

void fleet_model::run_until(duration since_order, const std::function<void()>& check) {
  while (now_ < ordered_at_ + since_order) {
    step();
    if (check) {
      check();
    }
  }
}

void fleet_model::step() {
  now_ += step_time;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto happens = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    happens();
  }
  if (now_.time_since_epoch() % decide_interval == duration::zero()) {
    check_deciders();
  }
  for (due_ += requests_per_s * std::chrono::duration<double>(step_time).count(); due_ >= 1;
       due_ -= 1) {
    daemon& from = daemons_[random_.index(daemon_count)];
    if (from.alive) {
      send_request(from);
    }
  }
}

std::vector<instance_name> fleet_model::linked(const daemon& self) const {
  std::vector<instance_name> result;
  for (const daemon& peer : daemons_) {
    if (peer.alive && !peer.cut && !self.cut && peer.name != self.name) {
      result.push_back(peer.name);
    }
  }
  return result;
}

bool fleet_model::new_ready() const {
  return new_targets && now_ >= ordered_at_ + new_targets_after && ordered_at_ != time_point{};
}

void fleet_model::read_order(daemon& reader) {
  if (!stored_.has_value() || !store_reachable) {
    return;
  }
  reader.decider->order_read(*stored_, 0, reader.table.find(the_service), now_);
}

void fleet_model::check_deciders() {
  for (std::size_t index = 0; index < daemon_count; ++index) {
    daemon& self = daemons_[index];
    const std::vector<instance_name> peers = linked(self);
    if (!self.alive || !rollout_decider::decides(self.name, peers, daemon_count)) {
      self.decider.reset();
      continue;
    }
    if (!self.decider.has_value()) {
      self.decider.emplace(exposure_bound{0.1, 50});
    }
    if (self.decider->empty()) {
      read_order(self);
    }
    rollout_decider::surroundings seen;
    seen.daemons = peers;
    seen.daemons.push_back(self.name);
    seen.capacity = [&](const service_name&, const std::string&) {
      const bool warm = new_ready() && now_ >= ordered_at_ + new_targets_after + warmup;
      return rollout_capacity{targets, warm ? static_cast<std::int32_t>(targets) : 0};
    };
    const rollout_decider::actions actions = self.decider->decide(seen, now_);
    for (const wire::rollout_state& state : actions.states) {
      for (std::size_t to = 0; to < daemon_count; ++to) {
        send_state(index, to, state);
      }
    }
    for (const rollout_status_write& request : actions.writes) {
      after(message_delay, [this, index, request] { write(index, request); });
    }
  }
}

void fleet_model::send_state(std::size_t from, std::size_t to, const wire::rollout_state& state) {
  const auto arrives = [this](std::size_t sender, std::size_t receiver) {
    return daemons_[receiver].alive &&
           (sender == receiver || (!daemons_[sender].cut && !daemons_[receiver].cut));
  };
  after(from == to ? duration::zero() : random_.up_to(message_delay),
        [this, arrives, from, to, state] {
          if (!arrives(from, to)) {
            return;
          }
          daemon& receiver = daemons_[to];
          (void)receiver.table.receive(daemons_[from].name, state, now_);
          const wire::rollout_evidence report = receiver.table.evidence(the_service, now_);
          after(random_.up_to(message_delay), [this, arrives, from, to, report] {
            if (arrives(to, from) && daemons_[from].decider.has_value()) {
              daemons_[from].decider->evidence_received(daemons_[to].name, report, now_);
            }
          });
        });
}

void fleet_model::write(std::size_t from, const rollout_status_write& request) {
  const bool done = store_reachable && stored_->revision == request.revision;
  if (done) {
    ++status_writes;
    stored_->status = request.status;
    ++stored_->revision;
    if (request.status.phase != wire::rollout_phase::running) {
      ended_at = now_ - ordered_at_;
      old_used_at_completion = old_in_flight_ > 0;
    }
  }
  after(message_delay, [this, from, request, done, revision = stored_->revision] {
    daemon& writer = daemons_[from];
    if (!writer.alive || !writer.decider.has_value()) {
      return;
    }
    writer.decider->status_written(request, done, done ? revision : 0);
    if (!done) {
      read_order(writer);
    }
  });
}

void fleet_model::send_request(daemon& from) {
  const std::string& work_class = classes[random_.index(classes.size())];
  const bool counts = stored_.has_value() && now_ - ordered_at_ < stored_->span;
  requests += counts ? 1 : 0;
  version_rule rule = from.table.rule(the_service, work_class, true, now_, random_);
  const bool warm = new_ready() && now_ >= ordered_at_ + new_targets_after + warmup;
  bool is_new = false;
  if (rule.use == version_rule::kind::any) {
    is_new = new_ready() && random_.fraction() < 0.5;
  } else if (rule.use == version_rule::kind::only) {
    is_new = new_ready();
  } else if (rule.use == version_rule::kind::few) {
    is_new = warm;
  }
  const std::size_t used = rule.use == version_rule::kind::few
                               ? (targets * static_cast<std::size_t>(rule.permille) + 999) / 1'000
                               : targets;
  const duration since = now_ - ordered_at_;
  // The load of a target of the new version, as a part of that of a target after the rollout.
  const double load = rule.permille / 1'000.0 * targets / static_cast<double>(used);
  double factor = speed(random_.index(used)) * (0.6 + 0.8 * random_.fraction());
  double failing = old_failing;
  if (is_new) {
    const new_version_behaviour acts = new_version(since, load);
    if (acts.only_class.empty() || acts.only_class == work_class) {
      failing = std::max(failing, acts.failing);
      factor *= acts.slowness;
      bad_responses += acts.slowness > 2 ? 1 : 0;
    }
    factor *= warm ? 1 : cold_factor;
    ++exposure;
    last_exposure = since;
  }
  const std::string version = is_new ? new_name : "v1";
  const bool failed = random_.fraction() < failing;
  const auto took = std::chrono::duration_cast<duration>(service_time * factor);
  from.table.attempt_started(the_service, version);
  old_in_flight_ += is_new ? 0 : 1;
  if (is_new && failed) {
    ++bad_responses;
  }
  if (bad_responses >= 50 && !fiftieth_bad.has_value()) {
    fiftieth_bad = since;
  }
  after(std::min(took, timeout),
        [this, &from, starts = from.starts, version, work_class, failed, took, is_new, warm] {
          old_in_flight_ -= is_new ? 0 : 1;
          if (from.starts == starts) {
            from.table.attempt_ended(the_service, version);
            from.table.outcome_observed(the_service, version, work_class, failed || took >= timeout,
                                        took, !is_new || warm);
          }
        });
}

void fleet_model::kill(std::size_t index) {
  daemon& victim = daemons_[index];
  victim.alive = false;
  ++victim.starts;
  victim.table = {};
  victim.decider.reset();
  after(std::chrono::seconds(4), [this, index] {
    daemon& started = daemons_[index];
    started.alive = true;
    // Each peer sends what it holds as soon as its link is open.
    for (daemon& peer : daemons_) {
      for (const wire::rollout_state& state : peer.table.states(now_)) {
        (void)started.table.receive(peer.name, state, now_);
      }
    }
  });
}

std::optional<std::size_t> fleet_model::decider() const {
  const auto found = std::find_if(daemons_.begin(), daemons_.end(), [](const daemon& candidate) {
    return candidate.decider.has_value();
  });
  return found == daemons_.end()
             ? std::nullopt
             : std::optional(static_cast<std::size_t>(found - daemons_.begin()));
}

std::int32_t fleet_model::permille() const {
  const std::optional<std::size_t> index = decider();
  return index.has_value() ? daemons_[*index].table.evidence(the_service, now_).permille : 0;
}

std::optional<wire::rollout_phase> fleet_model::status() const {
  return stored_.has_value() && stored_->status.has_value() ? std::optional(stored_->status->phase)
                                                            : std::nullopt;
}

}  // namespace crocusdoor
