#include "sidecar/configuration_follower.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

/// Pause between a change and the next watch: a series of changes costs one call for several.
constexpr duration settle_time = std::chrono::milliseconds(500);
constexpr duration first_retry_delay = std::chrono::milliseconds(200);
constexpr duration longest_retry_delay = std::chrono::seconds(2);
constexpr int doubling_limit = 4;
/// A version that a peer holds and the own watch has not brought after this time is fetched.
constexpr duration catch_up_delay = std::chrono::milliseconds(700);
/// The watches of the fleet end one after the other, one in about this time, so that a change is
/// seen soon by some daemon even if waiting watches have gone silent.
constexpr duration fleet_watch_spacing = std::chrono::milliseconds(400);
constexpr duration shortest_watch = std::chrono::milliseconds(2'500);
constexpr duration longest_watch = std::chrono::seconds(20);

}  // namespace

configuration_follower::configuration_follower(const sidecar_context& shared, mesh_store& store,
                                               handlers callbacks)
    : shared_(shared), store_(store), callbacks_(std::move(callbacks)) {}

void configuration_follower::start() {
  read();
}

void configuration_follower::read() {
  if (reading_) {
    return;
  }
  reading_ = true;
  next_call_ = nullptr;
  store_.read_configuration(
      [this](const configuration_reading& reading) { reading_ended(reading); });
}

void configuration_follower::reading_ended(const configuration_reading& reading) {
  reading_ = false;
  if (reading.outcome != store_outcome::done) {
    call_failed(reading.outcome);
    return;
  }
  call_answered(reading);
  next_call_ = shared_.loop.after(settle_time, [this] { watch(); });
}

duration configuration_follower::watch_time() const {
  const auto daemons = static_cast<duration::rep>(callbacks_.daemon_count());
  const duration wait = std::clamp(fleet_watch_spacing * daemons, shortest_watch, longest_watch);
  return wait / 2 + shared_.random.up_to(wait / 2);
}

void configuration_follower::watch() {
  store_.watch_configuration(revision_, watch_time(), [this](const configuration_reading& reading) {
    watch_ended(reading);
  });
}

void configuration_follower::watch_ended(const configuration_reading& reading) {
  if (reading.outcome == store_outcome::history_gone) {
    read();
    return;
  }
  if (reading.outcome != store_outcome::done) {
    call_failed(reading.outcome);
    return;
  }
  call_answered(reading);
  if (reading.configuration.has_value()) {
    next_call_ = shared_.loop.after(settle_time, [this] { watch(); });
  } else {
    watch();
  }
}

void configuration_follower::call_failed(store_outcome outcome) {
  if (failures_++ == 0) {
    shared_.counters.platform_reachable().Set(0);
    shared_.log.warning("store_lost",
                        {{"outcome", std::string(to_string(outcome))}, {"version", version()}});
  }
  const int doublings = std::min(failures_, doubling_limit);
  const duration ceiling = std::min(first_retry_delay * (1 << doublings), longest_retry_delay);
  next_call_ =
      shared_.loop.after(first_retry_delay + shared_.random.up_to(ceiling), [this] { read(); });
}

void configuration_follower::call_answered(const configuration_reading& reading) {
  if (std::exchange(failures_, 0) > 0) {
    shared_.log.info("store_regained", {{"version", version()}});
  }
  shared_.counters.platform_reachable().Set(1);
  revision_ = std::max(revision_, reading.revision);
  if (!reading.problem.empty()) {
    shared_.log.error("configuration_unreadable", {{"peer", "store"}, {"reason", reading.problem}});
  }
  if (reading.configuration.has_value()) {
    adopt(*reading.configuration, "store");
  }
}

void configuration_follower::adopt(const stored_configuration& found, const std::string& origin) {
  if (found.content.version <= version()) {
    return;
  }
  const std::uint64_t before = version();
  current_ = std::make_shared<const route_table>(found.content);
  document_ = found.document;
  shared_.counters.configuration_version().Set(static_cast<double>(version()));
  shared_.counters.count_adoption("adopted");
  shared_.log.info("configuration_adopted", {{"version", version()},
                                             {"replaces", before},
                                             {"origin", origin},
                                             {"routes", found.content.routes.size()}});
  callbacks_.adopted(current_);
}

void configuration_follower::version_seen(const instance_name& peer, std::uint64_t version) {
  if (version <= this->version() || version <= version_at_peer_) {
    return;
  }
  version_at_peer_ = version;
  newer_peer_ = peer;
  if (current_ == nullptr) {
    callbacks_.request_document(peer);
  }
  catch_up_timer_ = shared_.loop.after(catch_up_delay, [this] { catch_up(); });
}

void configuration_follower::catch_up() {
  if (version() >= version_at_peer_) {
    return;
  }
  if (failures_ > 0 || current_ == nullptr) {
    callbacks_.request_document(newer_peer_);
  } else {
    read();
  }
  // The peer may have gone, and the store may have answered with something older.
  catch_up_timer_ = shared_.loop.after(catch_up_delay, [this] { catch_up(); });
}

void configuration_follower::document_received(const instance_name& peer,
                                               const std::string& document) {
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(content, shared_.contract.decode_configuration(document));
        adopt({content, document}, peer.str());
        return {};
      },
      [&](const failure& error) {
        shared_.log.error("configuration_unreadable",
                          {{"peer", peer.str()}, {"reason", error.message}});
      });
}

}  // namespace crocusdoor
