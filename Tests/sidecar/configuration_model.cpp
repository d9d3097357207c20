#include "configuration_model.h"

#include <algorithm>
#include <numeric>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t domain_count = 3;
constexpr duration contact_time = seconds(3);
constexpr duration apply_time = seconds(2);
constexpr duration extra_time_without_history = seconds(5);
constexpr duration heartbeat_interval = milliseconds(250);
constexpr duration silence_limit = milliseconds(800);
constexpr duration link_check_interval = milliseconds(50);
constexpr duration check_interval = milliseconds(25);
constexpr duration own_domain_delay = std::chrono::microseconds(200);
constexpr duration other_domain_delay = std::chrono::microseconds(1'400);
constexpr duration stop_time = seconds(4);

failure_domain domain_name(std::size_t index) {
  return failure_domain(std::string(1, static_cast<char>('a' + index)));
}

}  // namespace

configuration_model::configuration_model(std::uint64_t seed) : random_(seed) {
  const std::size_t per_domain = 3 + random_.index(3);
  for (std::size_t domain = 0; domain < domain_count; ++domain) {
    for (std::size_t number = 0; number < per_domain; ++number) {
      add_instance(domain, number);
    }
  }
  for (std::size_t one = 0; one < size(); ++one) {
    for (std::size_t other = one + 1; other < size(); ++other) {
      links_[{one, other}] = {};
    }
  }
  periodic_.push_back(timers_.every(heartbeat_interval, [this] { send_heartbeats(); }));
  periodic_.push_back(timers_.every(link_check_interval, [this] { keep_links(); }));
  periodic_.push_back(timers_.every(check_interval, [this] { check(); }));
  write_version();
  for (std::size_t one = 0; one < size(); ++one) {
    disturb(one, duration::zero());
    processes_[one]->start();
  }
  run_for(contact_time + seconds(2));
}

configuration_model::~configuration_model() = default;

void configuration_model::add_instance(std::size_t domain, std::size_t number) {
  const std::size_t position = processes_.size();
  const instance_name name(domain_name(domain).str() + "-" + std::to_string(number) + "-" +
                           random_.identifier().substr(0, 4));
  processes_.push_back(std::make_unique<model_process>(
      model_process::surroundings{
          timers_, store_,
          [this, position](const instance_name& to, const wire::message& content) {
            deliver(position, to, &content);
          },
          [this, position](const instance_name& to) { deliver(position, to, nullptr); }},
      name, domain_name(domain), random_.index(1'000'000'000)));
  positions_[name] = position;
  cut_until_.emplace_back();
  disturbed_until_.emplace_back();
}

configuration_model::ends configuration_model::ends_of(std::size_t one, std::size_t other) {
  return {std::min(one, other), std::max(one, other)};
}

bool configuration_model::reachable(std::size_t instance) const {
  return processes_[instance]->running() && cut_until_[instance] <= timers_.now();
}

void configuration_model::deliver(std::size_t from, const instance_name& to,
                                  const wire::message* content) {
  const std::size_t receiver = positions_.at(to);
  const ends between = ends_of(from, receiver);
  link& one = links_.at(between);
  if (!one.open || one.silent || !reachable(from) || !reachable(receiver)) {
    return;
  }
  const model_process& sender = *processes_[from];
  const bool same_domain = sender.domain() == processes_[receiver]->domain();
  const auto copy = content == nullptr ? nullptr : std::make_shared<const wire::message>(*content);
  const std::uint64_t version = sender.version();
  processes_[receiver]->run_after(
      same_domain ? own_domain_delay : other_domain_delay,
      [this, &one, between, receiver, name = sender.name(), version, copy] {
        if (one.open) {
          one.heard_at.at(receiver == between.first ? 0 : 1) = timers_.now();
          processes_[receiver]->receive(name, version, copy.get());
        }
      });
}

void configuration_model::send_heartbeats() {
  for (std::size_t from = 0; from < size(); ++from) {
    if (!processes_[from]->running()) {
      continue;
    }
    // A process that stands still sends when it goes on.
    processes_[from]->run_after(random_.up_to(milliseconds(20)), [this, from] {
      for (const auto& process : processes_) {
        if (process != processes_[from]) {
          deliver(from, process->name(), nullptr);
        }
      }
    });
  }
}

void configuration_model::introduce(std::size_t peer, std::size_t to) {
  const model_process& known = *processes_[peer];
  processes_[to]->run_after(duration::zero(), [this, peer, to, version = known.version()] {
    const model_process& one = *processes_[peer];
    processes_[to]->exchange().set_peer(one.name(), {one.domain(), one.stopping});
    processes_[to]->exchange().version_seen(one.name(), version);
  });
}

void configuration_model::open(const ends& between, link& one) {
  one.open = true;
  one.silent = false;
  one.heard_at = {timers_.now(), timers_.now()};
  one.starts = {processes_[between.first]->starts(), processes_[between.second]->starts()};
  introduce(between.first, between.second);
  introduce(between.second, between.first);
}

void configuration_model::close(const ends& between, link& one) {
  one.open = false;
  one.opens_at = timers_.now() + random_.up_to(milliseconds(100));
  for (const auto& [end, peer] : {between, ends{between.second, between.first}}) {
    processes_[end]->run_after(duration::zero(), [this, end = end, peer = peer] {
      processes_[end]->exchange().peer_lost(processes_[peer]->name());
    });
  }
}

void configuration_model::keep_link(const ends& between, link& one) {
  const bool both_reachable = reachable(between.first) && reachable(between.second);
  const std::array<int, 2> starts = {processes_[between.first]->starts(),
                                     processes_[between.second]->starts()};
  const bool replaced = one.open && starts != one.starts;
  const bool due = !one.open && one.opens_at <= timers_.now();
  const bool silent = timers_.now() - std::min(one.heard_at[0], one.heard_at[1]) > silence_limit;
  if (both_reachable && (replaced || due)) {
    open(between, one);
  } else if (one.open && silent) {
    close(between, one);
  }
}

void configuration_model::keep_links() {
  for (auto& [between, one] : links_) {
    keep_link(between, one);
  }
}

void configuration_model::disturb(std::size_t instance, duration span) {
  disturbed_until_[instance] =
      std::max(disturbed_until_[instance], timers_.now() + span + contact_time);
}

void configuration_model::disturb_all(duration span) {
  for (std::size_t one = 0; one < size(); ++one) {
    disturb(one, span);
  }
}

void configuration_model::write_version() {
  version_ += 1 + random_.index(5);
  store_.write(version_);
}

void configuration_model::write_series(duration span, duration gap) {
  faults_.push_back("series of versions");
  for (duration at = duration::zero(); at < span; at += gap) {
    timers_.post(at, [this] { write_version(); });
  }
}

void configuration_model::turn_away(std::vector<std::size_t> instances, store_access access,
                                    duration span) {
  faults_.push_back("the store turns " + std::to_string(instances.size()) + " away");
  for (const std::size_t one : instances) {
    store_.set_access(processes_[one]->name(), access);
  }
  timers_.post(span, [this, instances = std::move(instances)] {
    for (const std::size_t one : instances) {
      store_.set_access(processes_[one]->name(), store_access::open);
    }
  });
}

void configuration_model::cut_off(std::size_t instance, duration span) {
  faults_.push_back("cut off " + processes_[instance]->name().str());
  cut_until_[instance] = std::max(cut_until_[instance], timers_.now() + span);
}

void configuration_model::kill(std::size_t instance, duration down, bool without_power) {
  faults_.push_back("kill " + processes_[instance]->name().str());
  disturb(instance, down);
  processes_[instance]->end();
  for (auto& [between, one] : links_) {
    const bool concerned = between.first == instance || between.second == instance;
    if (concerned && one.open && !without_power) {
      close(between, one);
    }
  }
  timers_.post(down, [this, instance] {
    if (!processes_[instance]->running()) {
      disturb(instance, duration::zero());
      processes_[instance]->start();
    }
  });
}

void configuration_model::restart(std::size_t instance) {
  if (!processes_[instance]->running()) {
    return;
  }
  faults_.push_back("restart " + processes_[instance]->name().str());
  disturb(instance, stop_time);
  processes_[instance]->stopping = true;
  processes_[instance]->exchange().leave();
  for (const auto& [between, one] : links_) {
    if (one.open && between.first == instance) {
      introduce(instance, between.second);
    } else if (one.open && between.second == instance) {
      introduce(instance, between.first);
    }
  }
  const int starts = processes_[instance]->starts();
  timers_.post(stop_time, [this, instance, starts] {
    if (processes_[instance]->starts() == starts) {
      kill(instance, milliseconds(300), false);
    }
  });
}

void configuration_model::freeze(std::size_t instance, duration span) {
  faults_.push_back("freeze " + processes_[instance]->name().str());
  disturb(instance, span);
  processes_[instance]->freeze_until(timers_.now() + span);
}

void configuration_model::slow_down(std::size_t instance, duration span) {
  faults_.push_back("slow down " + processes_[instance]->name().str());
  disturb(instance, span);
  processes_[instance]->set_lateness(milliseconds(200));
  timers_.post(span, [this, instance] { processes_[instance]->set_lateness(duration::zero()); });
}

void configuration_model::silence_connections(double share) {
  faults_.emplace_back("connections fall silent");
  disturb_all(duration::zero());
  for (auto& [between, one] : links_) {
    one.silent = one.silent || random_.fraction() < share;
  }
  for (const auto& process : processes_) {
    if (random_.fraction() < share) {
      process->silence_store_connections();
    }
  }
}

void configuration_model::forget_history(duration mute) {
  faults_.emplace_back("the store forgets its history");
  store_.compact_after(mute);
  history_lost_until_ = std::max(history_lost_until_, timers_.now() + mute + contact_time);
}

void configuration_model::slow_store(duration span) {
  faults_.emplace_back("the store is slow");
  store_.set_latency(milliseconds(200));
  store_disturbed_until_ = std::max(store_disturbed_until_, timers_.now() + span + contact_time);
  timers_.post(span, [this] { store_.set_latency(milliseconds(4)); });
}

std::vector<std::size_t> configuration_model::domain(std::size_t index) const {
  std::vector<std::size_t> found;
  for (std::size_t one = 0; one < size(); ++one) {
    if (processes_[one]->domain() == domain_name(index)) {
      found.push_back(one);
    }
  }
  return found;
}

std::vector<std::size_t> configuration_model::watchers_of(std::size_t index) const {
  std::vector<std::size_t> found = domain(index);
  std::erase_if(found, [this](std::size_t one) {
    return !processes_[one]->running() || !processes_[one]->exchange().is_watcher();
  });
  return found;
}

std::size_t configuration_model::any_instance() {
  return random_.index(size());
}

std::vector<std::size_t> configuration_model::some_instances(std::size_t count) {
  std::vector<std::size_t> all(size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  for (std::size_t i = 0; i + 1 < all.size(); ++i) {
    std::swap(all[i], all[i + random_.index(all.size() - i)]);
  }
  all.resize(std::min(count, all.size()));
  return all;
}

duration configuration_model::between(duration least, duration most) {
  return least + random_.up_to(most - least);
}

void configuration_model::inject_fault() {
  const duration span = between(seconds(2), seconds(9));
  switch (random_.index(11)) {
    case 0:
      write_series(between(seconds(3), seconds(5)), between(milliseconds(160), milliseconds(400)));
      break;
    case 1:
      turn_away(some_instances(1 + random_.index(size() / 2)),
                random_.index(2) == 0 ? store_access::refused : store_access::silent, span);
      break;
    case 2:
      for (const std::size_t one : some_instances(1 + random_.index(3))) {
        cut_off(one, span);
      }
      break;
    case 3:
      kill(any_instance(), between(milliseconds(300), seconds(3)), random_.index(2) == 0);
      break;
    case 4: {
      const duration down = between(milliseconds(300), seconds(3));
      for (const std::size_t one : some_instances(size() / 2)) {
        kill(one, down, false);
      }
      break;
    }
    case 5: {
      duration at = duration::zero();
      for (const std::size_t one : some_instances(1 + random_.index(size()))) {
        timers_.post(at, [this, one] { restart(one); });
        at += between(seconds(1), seconds(2));
      }
      break;
    }
    case 6:
      for (const std::size_t one : some_instances(1 + random_.index(2))) {
        freeze(one, between(seconds(1), seconds(4)));
      }
      break;
    case 7:
      for (const std::size_t one : some_instances(1 + random_.index(3))) {
        slow_down(one, span);
      }
      break;
    case 8:
      silence_connections(
          std::chrono::duration<double>(between(milliseconds(200), seconds(1))).count());
      break;
    case 9:
      forget_history(seconds(1));
      break;
    default:
      slow_store(span);
      break;
  }
}

void configuration_model::run_random_day() {
  constexpr duration day = seconds(26);
  for (duration at = duration::zero(); at < day; at += between(milliseconds(300), seconds(4))) {
    timers_.post(at, [this] { write_version(); });
  }
  timers_.post(random_.up_to(day), [this] {
    write_series(between(seconds(3), seconds(5)), between(milliseconds(160), milliseconds(400)));
  });
  const std::size_t faults = 2 + random_.index(5);
  for (std::size_t i = 0; i < faults; ++i) {
    timers_.post(random_.up_to(day), [this] { inject_fault(); });
  }
  // All faults are over at the end, so the last versions must be everywhere.
  run_for(day + seconds(30));
  write_version();
  run_for(seconds(4));
}

/// Whether a new version can reach an instance: from the store, or over a link from another one.
bool configuration_model::has_way(std::size_t instance) const {
  const auto served = [&](std::size_t one) {
    return store_.access(processes_[one]->name()) == store_access::open;
  };
  if (served(instance)) {
    return true;
  }
  for (std::size_t other = 0; other < size(); ++other) {
    if (other != instance && reachable(instance) && reachable(other) && served(other)) {
      return true;
    }
  }
  return false;
}

void configuration_model::check() {
  const time_point now = timers_.now();
  for (std::size_t i = 0; i < size(); ++i) {
    if (!has_way(i)) {
      disturb(i, duration::zero());
    }
  }
  if (late_.has_value() || now < store_disturbed_until_) {
    return;
  }
  const duration bound =
      apply_time + (now < history_lost_until_ ? extra_time_without_history : duration::zero());
  const std::uint64_t acknowledged = store_.version_acknowledged_by(now - bound);
  for (std::size_t i = 0; i < size(); ++i) {
    const model_process& one = *processes_[i];
    const std::uint64_t expected = std::max(acknowledged, one.highest_version());
    if (one.running() && now >= disturbed_until_[i] && one.version() < expected) {
      late_ = late_version{one.name(), one.version(), expected, now - time_point{}};
    }
  }
}

}  // namespace crocusdoor
