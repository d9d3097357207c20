#include "daemon/configuration_distributor.h"

#include <algorithm>
#include <utility>

#include "configuration/snapshot_diff.h"
#include "daemon/event_log.h"

namespace crocusdoor {

namespace {

const std::string head_kind = "configuration";
const std::string head_name = "head";

constexpr duration review_interval = std::chrono::milliseconds(200);
/// Mean delay before a failed watch or read is repeated. The delay is random so that the instances
/// do not all retry at the same moment after an outage.
constexpr duration platform_retry_mean = std::chrono::seconds(1);
/// A daemon that has received nothing from its peers for this long reads the head itself. Reads
/// that follow each other are a random delay apart.
constexpr duration isolation_timeout = std::chrono::seconds(3);
/// After this time without a response, the configuration may be requested from another peer.
constexpr duration request_timeout = std::chrono::milliseconds(500);
/// A watcher adopts a version once this many peers have reported it, or after the timeout below. A
/// version that the watcher has served then survives its crash, even while the platform is down.
constexpr std::size_t required_acknowledgements = 2;
constexpr duration acknowledgement_timeout = std::chrono::milliseconds(200);

}  // namespace

configuration_distributor::configuration_distributor(const daemon_context& shared, peer_mesh& mesh,
                                                     platform_client& platform, handlers callbacks)
    : shared_(shared), mesh_(mesh), platform_(platform), callbacks_(std::move(callbacks)) {
  message_dispatcher& dispatcher = mesh_.dispatcher();
  dispatcher.on<wire::configuration_request>(
      [this](const auto& from, const auto& content) { respond_to_request(from, content); });
  dispatcher.on<configuration_delta>(
      [this](const auto& from, const auto& content) { accept_delta(from, content); });
  dispatcher.on<wire::configuration_snapshot>(
      [this](const auto& from, const auto& content) { accept_snapshot(from, content); });
  last_peer_message_at_ = shared_.loop.now();
  review_timer_ = shared_.loop.every(review_interval, [this] { review_sources(); });
}

void configuration_distributor::peer_established(const instance_name& peer,
                                                 const failure_domain& domain,
                                                 const wire::hello& greeting) {
  floor_estimator_.peer_reported(peer, domain, reported_version_of(peer), greeting.seen_version);
  update_floor();
  if (reported_version_of(peer) > current()->version) {
    request_from(peer);
  }
}

void configuration_distributor::version_reported(const instance_name& peer,
                                                 version_number version) {
  version_number& reported = reported_versions_[peer];
  reported = std::max(reported, version);
  last_peer_message_at_ = shared_.loop.now();
  if (version > current()->version) {
    request_from(peer);
  }
  if (candidate_.has_value() && version >= candidate_->content.version) {
    review_candidate();
  }
}

version_number configuration_distributor::reported_version_of(const instance_name& peer) const {
  const auto found = reported_versions_.find(peer);
  return found == reported_versions_.end() ? 0 : found->second;
}

void configuration_distributor::request_from(const instance_name& peer) {
  const time_point now = shared_.loop.now();
  if (request_sent_at_.has_value() && now - *request_sent_at_ < request_timeout) {
    return;
  }
  if (mesh_.send(peer, wire::configuration_request{current()->version})) {
    request_sent_at_ = now;
  }
}

void configuration_distributor::respond_to_request(const instance_name& from,
                                                   const wire::configuration_request& request) {
  if (request.held >= current()->version) {
    return;
  }
  if (const auto delta = holder_.delta_since(request.held)) {
    mesh_.send(from, *delta);
  } else {
    mesh_.send(from, wire::configuration_snapshot{*current(), holder_.current_digest()});
  }
}

void configuration_distributor::accept_delta(const instance_name& from,
                                             const configuration_delta& delta) {
  const adoption_result result = holder_.offer(delta);
  request_sent_at_.reset();
  if (result.outcome == adoption::base_unknown) {
    // Version 0 is in no peer's history of versions, so this requests the whole snapshot.
    mesh_.send(from, wire::configuration_request{0});
  }
  record_adoption_result(result, from.str());
}

void configuration_distributor::accept_snapshot(const instance_name& from,
                                                const wire::configuration_snapshot& offered) {
  request_sent_at_.reset();
  record_adoption_result(holder_.offer(offered.content, offered.content_digest), from.str());
}

void configuration_distributor::record_adoption_result(const adoption_result& result,
                                                       const std::string& source) {
  shared_.counters.count_configuration_offer(std::string(to_string(result.outcome)));
  if (result.outcome == adoption::adopted) {
    LOG_EVENT(INFO, "configuration_adopted")
        << field("version", current()->version) << field("source", source);
    version_adopted();
  } else if (result.outcome == adoption::invalid || result.outcome == adoption::digest_mismatch) {
    LOG_EVENT(WARNING, "configuration_refused")
        << field("source", source) << field("reason", result.message);
  }
}

void configuration_distributor::version_adopted() {
  if (candidate_.has_value() && candidate_->content.version <= current()->version) {
    candidate_.reset();
    candidate_timer_ = nullptr;
  }
  update_floor();
  shared_.counters.configuration_version().Set(static_cast<double>(current()->version));
  mesh_.announce_version();
  std::vector<std::shared_ptr<waiter>> satisfied;
  std::erase_if(waiters_, [&](const std::shared_ptr<waiter>& pending_waiter) {
    const bool reached = pending_waiter->version <= current()->version;
    if (reached) {
      satisfied.push_back(pending_waiter);
    }
    return reached;
  });
  for (const auto& pending_waiter : satisfied) {
    pending_waiter->done(true);
  }
  callbacks_.adopted();
}

void configuration_distributor::when_caught_up(version_number version, duration limit,
                                               std::function<void(bool)> done) {
  if (version <= current()->version) {
    done(true);
    return;
  }
  auto pending_waiter = std::make_shared<waiter>();
  pending_waiter->version = version;
  pending_waiter->done = std::move(done);
  pending_waiter->timeout =
      shared_.loop.after(limit, [this, weak = std::weak_ptr<waiter>(pending_waiter)] {
        if (const auto expired_waiter = weak.lock()) {
          std::erase(waiters_, expired_waiter);
          expired_waiter->done(false);
        }
      });
  waiters_.push_back(std::move(pending_waiter));
}

void configuration_distributor::offer_head(const head_document& head, object_version object) {
  head_ = head;
  head_object_version_ = std::max(head_object_version_, object);
  floor_estimator_.platform_responded(head.content.version);
  const bool newer = head.content.version > current()->version;
  const bool floor_unknown = !floor_known_;
  if (newer && !floor_unknown && !mesh_.linked_peers().empty()) {
    stage_candidate(head);
    return;
  }
  if (newer) {
    record_adoption_result(holder_.offer(head.content, head.content_digest), "platform");
  }
  update_floor();
}

void configuration_distributor::stage_candidate(const head_document& head) {
  if (candidate_.has_value() && candidate_->content.version >= head.content.version) {
    return;
  }
  candidate_ = head;
  mesh_.send_to_all(delta_between(*current(), head.content, head.content_digest));
  // A newer candidate does not restart the timeout, so that a series of versions cannot delay the
  // adoption without limit.
  if (candidate_timer_ == nullptr) {
    candidate_timer_ = shared_.loop.after(acknowledgement_timeout, [this] { adopt_candidate(); });
  }
}

void configuration_distributor::review_candidate() {
  const auto has_candidate = [&](const auto& entry) {
    return entry.second >= candidate_->content.version;
  };
  const auto acknowledgements = static_cast<std::size_t>(
      std::count_if(reported_versions_.begin(), reported_versions_.end(), has_candidate));
  if (acknowledgements >= std::min(required_acknowledgements, mesh_.linked_peers().size())) {
    adopt_candidate();
  }
}

void configuration_distributor::adopt_candidate() {
  if (!candidate_.has_value()) {
    return;
  }
  const head_document head = std::move(*candidate_);
  candidate_.reset();
  candidate_timer_ = nullptr;
  record_adoption_result(holder_.offer(head.content, head.content_digest), "platform");
}

void configuration_distributor::update_floor() {
  const auto peers = callbacks_.known_peers();
  std::set<failure_domain> domains;
  for (const auto& [name, domain] : peers) {
    domains.insert(domain);
  }
  floor_estimator_.set_known_peers(peers.size(), domains.size());
  if (const auto floor = floor_estimator_.floor()) {
    holder_.raise_floor(*floor);
  }
  if (!floor_known_ && holder_.ready()) {
    floor_known_ = true;
    LOG_EVENT(INFO, "configuration_ready") << field("version", current()->version);
    callbacks_.adopted();
  }
}

void configuration_distributor::review_sources() {
  const time_point now = shared_.loop.now();
  update_floor();
  if (callbacks_.is_watcher() && !watching_ && now >= next_watch_) {
    start_watch();
  }
  const bool isolated = now - last_peer_message_at_ > isolation_timeout;
  const bool needs_head = !floor_known_ || isolated;
  if (needs_head && !reading_head_ && !watching_ && now >= next_head_read_) {
    next_head_read_ = now + platform_retry_mean + shared_.random.exponential(platform_retry_mean);
    read_head([](platform_outcome, const std::optional<head_document>&, object_version,
                 const std::string&) {});
  }
}

void configuration_distributor::start_watch() {
  watching_ = true;
  platform_.watch(head_kind, head_name, head_object_version_,
                  shared_.options.platform.watch_wait_ms,
                  [this](const platform_result& result) { watch_ended(result); });
}

void configuration_distributor::watch_ended(const platform_result& result) {
  watching_ = false;
  if (result.outcome == platform_outcome::ok) {
    accept_head_object(result);
  } else if (result.outcome != platform_outcome::absent) {
    next_watch_ = shared_.loop.now() + shared_.random.exponential(platform_retry_mean);
    return;
  }
  if (callbacks_.is_watcher()) {
    start_watch();
  }
}

std::string configuration_distributor::accept_head_object(const platform_result& result) {
  return handle_failure(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(head, parse_head(result.object.value));
        offer_head(head, result.object.version);
        return std::string();
      },
      [&](const failure& error) {
        // The version of the invalid object is recorded, so that the next watch does not return the
        // same object at once.
        head_object_version_ = std::max(head_object_version_, result.object.version);
        shared_.counters.count_configuration_offer("invalid");
        LOG_EVENT(ERROR, "head_refused") << field("reason", error.message);
        return error.message;
      });
}

void configuration_distributor::read_head(head_callback done) {
  reading_head_ = true;
  platform_.read(
      head_kind, head_name, [this, done = std::move(done)](const platform_result& result) {
        reading_head_ = false;
        if (result.outcome == platform_outcome::ok) {
          const std::string problem = accept_head_object(result);
          const bool valid = problem.empty();
          done(platform_outcome::ok, valid ? head_ : std::nullopt, result.object.version, problem);
        } else if (result.outcome == platform_outcome::absent) {
          floor_estimator_.platform_responded(0);
          update_floor();
          done(platform_outcome::absent, std::nullopt, 0, "");
        } else {
          done(result.outcome, std::nullopt, 0, "the platform does not answer");
        }
      });
}

}  // namespace crocusdoor
