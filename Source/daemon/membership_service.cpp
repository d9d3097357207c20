#include "daemon/membership_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "daemon/event_log.h"
#include "membership/topology.h"

namespace crocusdoor {

namespace {

const std::string announcement_kind = "instances";

constexpr duration tick_interval = std::chrono::milliseconds(100);
/// Mean time between two comparisons of directories with a random neighbour.
constexpr duration comparison_mean = std::chrono::seconds(10);
/// Mean time between two searches for peers while none is linked.
constexpr duration search_mean = std::chrono::milliseconds(500);
/// Mean time between two attempts to connect to instances that are recorded as dead. They detect
/// the end of a partition.
constexpr duration healing_mean = std::chrono::seconds(20);
constexpr duration announcement_retry_mean = std::chrono::seconds(2);
constexpr std::size_t contacts_per_search = 3;
/// Maximum number of instances listed by one search; more than the contacts that a starting
/// instance needs.
constexpr std::size_t search_page_size = 64;

/// Reads per second that all daemons together may use.
double shared_read_rate(const platform_settings& options) {
  return static_cast<double>(options.read_capacity_per_s) * options.read_share_percent / 100.0;
}

}  // namespace

membership_service::membership_service(const daemon_context& shared, peer_mesh& mesh,
                                       platform_client& platform, const instance_record& self,
                                       std::function<void()> changed)
    : shared_(shared),
      mesh_(mesh),
      platform_(platform),
      changed_(std::move(changed)),
      directory_(self, directory_limits{.suspicion = shared.options.timing.suspicion_timeout_ms}),
      budget_(
          platform_budget_limits{.reads_per_second = shared_read_rate(shared.options.platform)}) {
  message_dispatcher& dispatcher = mesh_.dispatcher();
  dispatcher.on<wire::records>([this](const auto& from, const wire::records& content) {
    for (const instance_record& record : content.changed) {
      merge(record, from);
    }
  });
  dispatcher.on<wire::heartbeat>(
      [this](const auto& from, const auto&) { heartbeat_received(from); });
  dispatcher.on<wire::heartbeat_answer>(
      [this](const auto& from, const auto&) { heartbeat_received(from); });
  dispatcher.on<wire::records_request>(
      [this](const auto& from, const auto& content) { respond_to_comparison(from, content); });
}

bool membership_service::is_watcher() const {
  return crocusdoor::is_watcher(directory_);
}

std::optional<ip_endpoint> membership_service::find_endpoint(const instance_name& name) const {
  const instance_record* record = directory_.find(name);
  if (record == nullptr) {
    return std::nullopt;
  }
  return ip_endpoint{record->address, record->peer_port};
}

std::map<instance_name, failure_domain> membership_service::peers() const {
  std::map<instance_name, failure_domain> result;
  for (const instance_record& record : directory_.live()) {
    if (record.name != directory_.self().name) {
      result.emplace(record.name, record.domain);
    }
  }
  return result;
}

void membership_service::start() {
  for (const ip_endpoint& seed : shared_.options.peers.seeds) {
    mesh_.dial(seed);
  }
  announce();
  timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
}

void membership_service::announce() {
  if (announced_ || announcing_ || withdrawn_ || shared_.loop.now() < next_announcement_) {
    return;
  }
  announcing_ = true;
  const instance_record& self = directory_.self();
  platform_.put(announcement_kind, self.name.str(), encode_value(self).dump(),
                [this](const platform_result& result) {
                  announcing_ = false;
                  announced_ = result.outcome == platform_outcome::ok;
                  next_announcement_ =
                      shared_.loop.now() + shared_.random.exponential(announcement_retry_mean);
                });
}

void membership_service::withdraw(std::function<void()> done) {
  withdrawn_ = true;
  platform_.remove(announcement_kind, directory_.self().name.str(),
                   [done = std::move(done)](const platform_result&) { done(); });
}

void membership_service::set_self_state(instance_state state) {
  if (const auto record = directory_.set_self_state(state, shared_.loop.now())) {
    record_change(*record, {});
    gossip();
  }
}

void membership_service::peer_established(const instance_name& peer, const wire::hello& greeting) {
  merge(greeting.self, peer);
  const auto stored_record =
      directory_.neighbour_seen(peer, greeting.self.incarnation, shared_.loop.now());
  if (stored_record.has_value()) {
    mesh_.send(peer, wire::records{{*stored_record}});
  }
  compare_with(peer, false);
}

void membership_service::heartbeat_received(const instance_name& peer) {
  const auto stored_record =
      directory_.neighbour_seen(peer, mesh_.incarnation_of(peer), shared_.loop.now());
  if (stored_record.has_value()) {
    mesh_.send(peer, wire::records{{*stored_record}});
  }
}

void membership_service::peer_lost(const instance_name& peer) {
  compared_neighbours_.erase(peer);
  unlinked_since_[peer] = shared_.loop.now();
}

void membership_service::merge(const instance_record& record, const instance_name& from) {
  const bool changed = directory_.merge(record, shared_.loop.now());
  const instance_record* stored_record = directory_.find(record.name);
  if (changed && stored_record != nullptr) {
    record_change(*stored_record, from);
  }
}

void membership_service::record_change(const instance_record& record, const instance_name& from) {
  queue_.push(record, from);
  LOG_EVENT(INFO, "instance_changed")
      << field("instance", record.name) << field("state", to_string(record.state));
}

void membership_service::tick() {
  const time_point now = shared_.loop.now();
  for (const instance_record& record : directory_.tick(now)) {
    record_change(record, {});
  }
  review_neighbours();
  announce();
  gossip();
  compare_directories();
  find_peers();
}

void membership_service::review_neighbours() {
  const time_point now = shared_.loop.now();
  if (directory_.revision() != reviewed_revision_) {
    reviewed_revision_ = directory_.revision();
    neighbours_ = control_neighbours(directory_);
    queue_.set_links(neighbours_);
    mesh_.set_permanent_peers({neighbours_.begin(), neighbours_.end()});
    changed_();
  }
  for (const instance_name& neighbour : neighbours_) {
    if (mesh_.linked(neighbour)) {
      unlinked_since_.erase(neighbour);
      // Changes recorded before this instance became a neighbour were not queued for it.
      if (compared_neighbours_.insert(neighbour).second) {
        compare_with(neighbour, false);
      }
      continue;
    }
    const auto [since, added] = unlinked_since_.emplace(neighbour, now);
    const instance_record* record = directory_.find(neighbour);
    const bool unlinked_too_long =
        now - since->second >
        std::chrono::milliseconds(shared_.options.timing.heartbeat_timeout_ms);
    if (record != nullptr && unlinked_too_long) {
      if (const auto suspicion = directory_.neighbour_lost(neighbour, record->incarnation, now)) {
        record_change(*suspicion, {});
      }
    }
  }
  const auto is_neighbour = [&](const instance_name& name) {
    return std::find(neighbours_.begin(), neighbours_.end(), name) != neighbours_.end();
  };
  std::erase_if(unlinked_since_, [&](const auto& entry) { return !is_neighbour(entry.first); });
  std::erase_if(compared_neighbours_, [&](const auto& name) { return !is_neighbour(name); });
}

void membership_service::gossip() {
  for (const instance_name& neighbour : neighbours_) {
    if (!mesh_.linked(neighbour)) {
      continue;
    }
    std::vector<instance_record> batch = queue_.next_batch(neighbour);
    if (!batch.empty()) {
      mesh_.send(neighbour, wire::records{std::move(batch)});
    }
  }
}

void membership_service::compare_directories() {
  const time_point now = shared_.loop.now();
  if (now < next_comparison_ || neighbours_.empty()) {
    return;
  }
  next_comparison_ = now + shared_.random.exponential(comparison_mean);
  const instance_name& neighbour = neighbours_[shared_.random.index(neighbours_.size())];
  compare_with(neighbour, false);
}

void membership_service::compare_with(const instance_name& peer, bool reply) {
  mesh_.send(peer, wire::records_request{directory_.bucket_fingerprints(), reply});
}

void membership_service::respond_to_comparison(const instance_name& from,
                                               const wire::records_request& request) {
  if (request.fingerprints == directory_.bucket_fingerprints()) {
    return;
  }
  std::vector<instance_record> differing = directory_.differing(request.fingerprints);
  if (!differing.empty()) {
    mesh_.send(from, wire::records{std::move(differing)});
  }
  if (!request.reply) {
    compare_with(from, true);
  }
}

void membership_service::find_peers() {
  const time_point now = shared_.loop.now();
  if (now < next_search_) {
    return;
  }
  const bool without_peers = mesh_.linked_peers().empty();
  next_search_ = now + shared_.random.exponential(without_peers ? search_mean : healing_mean);
  for (const instance_record& contact : directory_.contacts(contacts_per_search, shared_.random)) {
    mesh_.dial({contact.address, contact.peer_port});
    directory_.contact_failed(contact.name);
  }
  if (!without_peers) {
    return;
  }
  for (const ip_endpoint& seed : shared_.options.peers.seeds) {
    mesh_.dial(seed);
  }
  if (listing_ || !budget_.take(directory_.live_count(), now, shared_.random)) {
    return;
  }
  listing_ = true;
  // The listing starts at this instance's name or at the first name, at random, so that starting
  // instances do not all connect to the same ones.
  const std::string start = shared_.random.fraction() < 0.5 ? directory_.self().name.str() : "";
  platform_.list(announcement_kind, "", start, search_page_size,
                 [this](const platform_listing& listing) {
                   listing_ = false;
                   for (const platform_object& object : listing.objects) {
                     record_decoder decoder(unknown_keys::ignored);
                     instance_record record;
                     decoder.decode(json::parse(object.value, nullptr, false), record);
                     if (decoder.ok()) {
                       directory_.add_hint(record);
                     }
                   }
                 });
}

}  // namespace crocusdoor
