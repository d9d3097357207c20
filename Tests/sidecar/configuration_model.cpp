#include "configuration_model.h"

#include <algorithm>
#include <numeric>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t domain_count = 3;
/// Time without faults after which an instance must have each version in time.
constexpr duration settling_time = seconds(3);
/// Limit on the time from the acknowledgement of a version by the store until it is current.
constexpr duration adoption_limit = seconds(2);
constexpr duration extra_limit_without_history = seconds(5);
/// Limit on the time until a version that only daemons still hold has reached another daemon.
constexpr duration peer_adoption_limit = seconds(4);
/// Limit on the time from the acknowledgement of a version by the store until no key that it
/// removes is admitted any more.
constexpr duration revocation_limit = seconds(5);
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

configuration_model::configuration_model(std::uint64_t seed, fleet_options options)
    : random_(seed) {
  const std::size_t random_size = 3 + random_.index(3);
  const std::size_t per_domain = options.per_domain == 0 ? random_size : options.per_domain;
  if (options.workspaces) {
    store_.use_workspaces();
  }
  for (std::size_t domain = 0; domain < domain_count; ++domain) {
    for (std::size_t number = 0; number < per_domain; ++number) {
      add_instance(domain, number);
    }
  }
  for (std::size_t first = 0; first < size(); ++first) {
    for (std::size_t second = first + 1; second < size(); ++second) {
      links_[{first, second}] = {};
    }
  }
  periodic_.push_back(timers_.every(heartbeat_interval, [this] { send_heartbeats(); }));
  periodic_.push_back(timers_.every(link_check_interval, [this] { update_links(); }));
  periodic_.push_back(timers_.every(check_interval, [this] { check(); }));
  write_version();
  for (std::size_t instance = 0; instance < size(); ++instance) {
    disturb(instance, duration::zero());
    processes_[instance]->start();
  }
  run_for(settling_time + seconds(2));
}

configuration_model::~configuration_model() = default;

void configuration_model::add_instance(std::size_t domain, std::size_t number) {
  const std::size_t position = processes_.size();
  const instance_name name(domain_name(domain).str() + "-" + std::to_string(number) + "-" +
                           random_.identifier().substr(0, 4));
  processes_.push_back(std::make_unique<model_process>(
      model_process::environment{
          timers_, store_,
          [this, position](const instance_name& to, const wire::message& content) {
            deliver(position, to, &content);
          },
          [this, position](const instance_name& to) { deliver(position, to, nullptr); }},
      name, domain_name(domain), random_.index(1'000'000'000)));
  positions_[name] = position;
  isolated_until_.emplace_back();
  disturbed_until_.emplace_back();
  adoptions_.emplace_back();
}

configuration_model::ends configuration_model::ends_of(std::size_t first, std::size_t second) {
  return {std::min(first, second), std::max(first, second)};
}

bool configuration_model::reachable(std::size_t instance) const {
  return processes_[instance]->running() && isolated_until_[instance] <= timers_.now();
}

void configuration_model::deliver(std::size_t from, const instance_name& to,
                                  const wire::message* content) {
  const std::size_t receiver = positions_.at(to);
  const ends link_ends = ends_of(from, receiver);
  link& connection = links_.at(link_ends);
  if (!connection.open || connection.silent || !reachable(from) || !reachable(receiver)) {
    return;
  }
  const model_process& sender = *processes_[from];
  const bool same_domain = sender.domain() == processes_[receiver]->domain();
  const auto copy = content == nullptr ? nullptr : std::make_shared<const wire::message>(*content);
  const std::uint64_t version = sender.version();
  const std::uint64_t era = sender.reported_era();
  processes_[receiver]->run_after(
      same_domain ? own_domain_delay : other_domain_delay,
      [this, &connection, link_ends, receiver, name = sender.name(), version, era, copy] {
        if (connection.open) {
          connection.last_received_at.at(receiver == link_ends.first ? 0 : 1) = timers_.now();
          processes_[receiver]->receive(name, version, era, copy.get());
        }
      });
}

void configuration_model::send_heartbeats() {
  for (std::size_t from = 0; from < size(); ++from) {
    if (!processes_[from]->running()) {
      continue;
    }
    // A frozen process sends its heartbeats when it continues.
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
  const model_process& sender = *processes_[peer];
  processes_[to]->run_after(duration::zero(), [this, peer, to, version = sender.version()] {
    const model_process& peer_process = *processes_[peer];
    processes_[to]->exchange().set_peer(peer_process.name(),
                                        {peer_process.domain(), peer_process.stopping});
    processes_[to]->exchange().version_seen(peer_process.name(), version);
  });
}

void configuration_model::open(const ends& link_ends, link& connection) {
  connection.open = true;
  connection.opened_at = timers_.now();
  connection.silent = false;
  connection.last_received_at = {timers_.now(), timers_.now()};
  connection.starts = {processes_[link_ends.first]->starts(),
                       processes_[link_ends.second]->starts()};
  introduce(link_ends.first, link_ends.second);
  introduce(link_ends.second, link_ends.first);
}

void configuration_model::close(const ends& link_ends, link& connection) {
  connection.open = false;
  connection.opens_at = timers_.now() + random_.up_to(milliseconds(100));
  for (const auto& [end, peer] : {link_ends, ends{link_ends.second, link_ends.first}}) {
    processes_[end]->run_after(duration::zero(), [this, end = end, peer = peer] {
      processes_[end]->exchange().peer_lost(processes_[peer]->name());
    });
  }
}

void configuration_model::update_link(const ends& link_ends, link& connection) {
  const bool both_reachable = reachable(link_ends.first) && reachable(link_ends.second);
  const std::array<int, 2> starts = {processes_[link_ends.first]->starts(),
                                     processes_[link_ends.second]->starts()};
  const bool replaced = connection.open && starts != connection.starts;
  const bool due = !connection.open && connection.opens_at <= timers_.now();
  const bool silent =
      timers_.now() - std::min(connection.last_received_at[0], connection.last_received_at[1]) >
      silence_limit;
  if (both_reachable && (replaced || due)) {
    open(link_ends, connection);
  } else if (connection.open && silent) {
    close(link_ends, connection);
  }
}

void configuration_model::update_links() {
  for (auto& [link_ends, connection] : links_) {
    update_link(link_ends, connection);
  }
}

void configuration_model::disturb(std::size_t instance, duration span) {
  disturbed_until_[instance] =
      std::max(disturbed_until_[instance], timers_.now() + span + settling_time);
}

void configuration_model::disturb_all(duration span) {
  for (std::size_t instance = 0; instance < size(); ++instance) {
    disturb(instance, span);
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

void configuration_model::restrict_access(std::vector<std::size_t> instances, store_access access,
                                          duration span) {
  faults_.push_back("the store restricts " + std::to_string(instances.size()) + " instances");
  for (const std::size_t instance : instances) {
    store_.set_access(processes_[instance]->name(), access);
  }
  timers_.post(span, [this, instances = std::move(instances)] {
    for (const std::size_t instance : instances) {
      store_.set_access(processes_[instance]->name(), store_access::open);
    }
  });
}

void configuration_model::isolate(std::size_t instance, duration span) {
  faults_.push_back("isolate " + processes_[instance]->name().str());
  isolated_until_[instance] = std::max(isolated_until_[instance], timers_.now() + span);
}

void configuration_model::kill(std::size_t instance, duration down, bool without_power) {
  faults_.push_back("kill " + processes_[instance]->name().str());
  disturb(instance, down);
  processes_[instance]->end();
  for (auto& [link_ends, connection] : links_) {
    const bool affected = link_ends.first == instance || link_ends.second == instance;
    if (affected && connection.open && !without_power) {
      close(link_ends, connection);
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
  for (const auto& [link_ends, connection] : links_) {
    if (connection.open && link_ends.first == instance) {
      introduce(instance, link_ends.second);
    } else if (connection.open && link_ends.second == instance) {
      introduce(instance, link_ends.first);
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
  faults_.emplace_back("connections stop receiving");
  disturb_all(duration::zero());
  for (auto& [link_ends, connection] : links_) {
    connection.silent = connection.silent || random_.fraction() < share;
  }
  for (const auto& process : processes_) {
    if (random_.fraction() < share) {
      process->silence_store_connections();
    }
  }
}

void configuration_model::forget_history(duration silent_time) {
  faults_.emplace_back("the store discards its history");
  store_.compact_after(silent_time);
  history_lost_until_ = std::max(history_lost_until_, timers_.now() + silent_time + settling_time);
}

void configuration_model::slow_store(duration span) {
  faults_.emplace_back("the store is slow");
  store_.set_latency(milliseconds(200));
  store_disturbed_until_ = std::max(store_disturbed_until_, timers_.now() + span + settling_time);
  timers_.post(span, [this] { store_.set_latency(milliseconds(4)); });
}

void configuration_model::go_back(std::size_t lost, bool interrupts_watches,
                                  duration repeat_after) {
  faults_.emplace_back("the store goes back");
  if (!interrupts_watches) {
    // Daemons hear of the new era only when the first watch ends.
    history_lost_until_ = std::max(history_lost_until_, timers_.now() + settling_time);
  }
  const std::vector<std::uint64_t> versions = store_.go_back(lost, interrupts_watches);
  for (const duration at : {milliseconds(100), milliseconds(400), milliseconds(1'500)}) {
    timers_.post(at, [this] { store_.write_others(1 + random_.index(6)); });
  }
  timers_.post(repeat_after, [this, versions] {
    for (const std::uint64_t version : versions) {
      if (version > store_.version_acknowledged_by(timers_.now())) {
        store_.write(version);
      }
    }
  });
}

void configuration_model::restore_older_copy(duration span) {
  faults_.emplace_back("the store is restored from an older copy");
  store_.restore_older_copy();
  timers_.post(span, [this] { store_.write(version_); });
}

std::size_t configuration_model::admitting() const {
  return static_cast<std::size_t>(std::count_if(
      processes_.begin(), processes_.end(), [](const auto& process) { return process->admits(); }));
}

std::vector<std::size_t> configuration_model::domain(std::size_t index) const {
  std::vector<std::size_t> found;
  for (std::size_t instance = 0; instance < size(); ++instance) {
    if (processes_[instance]->domain() == domain_name(index)) {
      found.push_back(instance);
    }
  }
  return found;
}

std::vector<std::size_t> configuration_model::watchers_of(std::size_t index) const {
  std::vector<std::size_t> found = domain(index);
  std::erase_if(found, [this](std::size_t instance) {
    return !processes_[instance]->running() || !processes_[instance]->exchange().is_watcher();
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

duration configuration_model::random_duration(duration minimum, duration maximum) {
  return minimum + random_.up_to(maximum - minimum);
}

void configuration_model::inject_fault() {
  const duration span = random_duration(seconds(2), seconds(9));
  switch (random_.index(12)) {
    case 0:
      write_series(random_duration(seconds(3), seconds(5)),
                   random_duration(milliseconds(160), milliseconds(400)));
      break;
    case 1:
      restrict_access(some_instances(1 + random_.index(size() / 2)),
                      random_.index(2) == 0 ? store_access::refused : store_access::silent, span);
      break;
    case 2:
      for (const std::size_t instance : some_instances(1 + random_.index(3))) {
        isolate(instance, span);
      }
      break;
    case 3:
      kill(any_instance(), random_duration(milliseconds(300), seconds(3)), random_.index(2) == 0);
      break;
    case 4: {
      const duration down = random_duration(milliseconds(300), seconds(3));
      for (const std::size_t instance : some_instances(size() / 2)) {
        kill(instance, down, false);
      }
      break;
    }
    case 5: {
      duration at = duration::zero();
      for (const std::size_t instance : some_instances(1 + random_.index(size()))) {
        timers_.post(at, [this, instance] { restart(instance); });
        at += random_duration(seconds(1), seconds(2));
      }
      break;
    }
    case 6:
      for (const std::size_t instance : some_instances(1 + random_.index(2))) {
        freeze(instance, random_duration(seconds(1), seconds(4)));
      }
      break;
    case 7:
      for (const std::size_t instance : some_instances(1 + random_.index(3))) {
        slow_down(instance, span);
      }
      break;
    case 8:
      silence_connections(
          std::chrono::duration<double>(random_duration(milliseconds(200), seconds(1))).count());
      break;
    case 9:
      forget_history(seconds(1));
      break;
    case 10:
      go_back(1 + random_.index(8), random_.index(2) == 0, random_duration(seconds(1), seconds(6)));
      break;
    default:
      slow_store(span);
      break;
  }
}

void configuration_model::run_random_scenario() {
  constexpr duration scenario_time = seconds(26);
  for (duration at = duration::zero(); at < scenario_time;
       at += random_duration(milliseconds(300), seconds(4))) {
    timers_.post(at, [this] { write_version(); });
  }
  timers_.post(random_.up_to(scenario_time), [this] {
    write_series(random_duration(seconds(3), seconds(5)),
                 random_duration(milliseconds(160), milliseconds(400)));
  });
  const std::size_t faults = 2 + random_.index(5);
  for (std::size_t i = 0; i < faults; ++i) {
    timers_.post(random_.up_to(scenario_time), [this] { inject_fault(); });
  }
  // All faults have ended by then, so the last versions must be current on every instance.
  run_for(scenario_time + seconds(30));
  write_version();
  run_for(seconds(4));
}

/// Whether a new version can reach an instance, from the store or over a link from another
/// instance.
bool configuration_model::can_receive_versions(std::size_t instance) const {
  const auto can_access_store = [&](std::size_t position) {
    return store_.access(processes_[position]->name()) == store_access::open;
  };
  if (can_access_store(instance)) {
    return true;
  }
  for (std::size_t other = 0; other < size(); ++other) {
    if (other != instance && reachable(instance) && reachable(other) && can_access_store(other)) {
      return true;
    }
  }
  return false;
}

void configuration_model::record_versions() {
  for (std::size_t i = 0; i < size(); ++i) {
    auto& adoptions = adoptions_[i];
    const std::uint64_t version = processes_[i]->version();
    if (!adoptions.empty() && version < adoptions.back().second) {
      adoptions.clear();  // The process has ended.
    }
    if (version > 0 && (adoptions.empty() || adoptions.back().second < version)) {
      adoptions.emplace_back(timers_.now(), version);
    }
  }
}

void configuration_model::check_keys() {
  const std::uint64_t required = store_.version_acknowledged_by(timers_.now() - revocation_limit);
  for (const auto& process : processes_) {
    if (!revoked_.has_value() && process->admits() && process->version() < required) {
      revoked_ =
          late_version{process->name(), process->version(), required, timers_.now() - time_point{}};
    }
  }
}

std::uint64_t configuration_model::version_of_peers(std::size_t instance) const {
  const time_point since = timers_.now() - peer_adoption_limit;
  std::uint64_t newest = 0;
  for (std::size_t peer = 0; peer < size(); ++peer) {
    if (peer == instance || timers_.now() < disturbed_until_[peer] || !reachable(peer)) {
      continue;
    }
    const link& connection = links_.at(ends_of(instance, peer));
    const bool carries = connection.open && !connection.silent && connection.opened_at <= since;
    for (const auto& [adopted_at, version] : adoptions_[peer]) {
      newest = carries && adopted_at <= since ? std::max(newest, version) : newest;
    }
  }
  return newest;
}

void configuration_model::check() {
  record_versions();
  const time_point now = timers_.now();
  check_keys();
  for (std::size_t i = 0; i < size(); ++i) {
    if (!can_receive_versions(i)) {
      disturb(i, duration::zero());
    }
  }
  if (late_.has_value() || now < store_disturbed_until_) {
    return;
  }
  const duration bound =
      adoption_limit + (now < history_lost_until_ ? extra_limit_without_history : duration::zero());
  const std::uint64_t acknowledged = store_.version_acknowledged_by(now - bound);
  for (std::size_t i = 0; i < size(); ++i) {
    const model_process& process = *processes_[i];
    const std::uint64_t expected =
        std::max({acknowledged, process.highest_version(), reachable(i) ? version_of_peers(i) : 0});
    if (process.running() && now >= disturbed_until_[i] && process.version() < expected) {
      late_ = late_version{process.name(), process.version(), expected, now - time_point{}};
    }
  }
}

}  // namespace crocusdoor
