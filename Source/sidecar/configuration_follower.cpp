#include "sidecar/configuration_follower.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

/// Pause between a change and the next watch, so that one call returns several changes of a series.
constexpr duration settle_time = std::chrono::milliseconds(500);
constexpr duration first_retry_delay = std::chrono::milliseconds(200);
constexpr duration maximum_retry_delay = std::chrono::seconds(2);
constexpr int doubling_limit = 4;
/// In the whole fleet a watch ends about once in this time, so that some daemon soon notices a
/// change even if the connections of outstanding watches no longer respond.
constexpr duration fleet_watch_spacing = std::chrono::milliseconds(400);
constexpr duration minimum_watch_duration = std::chrono::milliseconds(2'500);
constexpr duration maximum_watch_duration = std::chrono::seconds(20);
/// The same where proofs of the configuration are needed: few watchers wait for a shorter time.
constexpr duration proof_watch_spacing = std::chrono::milliseconds(500);
constexpr duration minimum_proof_watch_duration = std::chrono::seconds(1);
/// A daemon that is not a watcher reads from the store at about this interval, in case it has
/// missed a change.
constexpr duration check_interval = std::chrono::seconds(20);
/// More than the largest number of daemons that hold a version at the same time.
constexpr std::size_t catch_up_seeds = 1'000'000;

}  // namespace

configuration_follower::configuration_follower(const configuration_context& shared,
                                               mesh_store& store, handlers callbacks)
    : shared_(shared),
      store_(store),
      callbacks_(std::move(callbacks)),
      catch_up_(shared.random.index(catch_up_seeds)) {}

void configuration_follower::start() {
  read();
}

void configuration_follower::read() {
  if (read_outstanding_) {
    return;
  }
  read_outstanding_ = true;
  read_scheduled_ = false;
  next_call_ = nullptr;
  store_.read_configuration(
      [this, sent = shared_.proof_time()](const configuration_read_result& result) {
        report_proof(result, sent, duration::zero());
        read_ended(result);
      });
}

void configuration_follower::read_ended(const configuration_read_result& result) {
  read_outstanding_ = false;
  log_problem(result);
  if (result.outcome != store_outcome::done) {
    call_failed(result.outcome);
    return;
  }
  if (std::exchange(revision_void_, false)) {
    revision_ = 0;
  }
  call_succeeded(result);
  // A read during an outstanding watch is a single call and must not start a second series of
  // calls.
  if (!watch_outstanding_) {
    next_call_ = shared_.timers.after(settle_time, [this] { follow(); });
  }
}

duration configuration_follower::watch_duration() const {
  const auto watchers = static_cast<duration::rep>(callbacks_.watcher_count());
  duration wait =
      std::clamp(fleet_watch_spacing * watchers, minimum_watch_duration, maximum_watch_duration);
  if (callbacks_.needs_proofs()) {
    wait = std::min(wait, std::max(proof_watch_spacing * watchers, minimum_proof_watch_duration));
  }
  return wait / 2 + shared_.random.up_to(wait / 2);
}

/// Starts a watch or, if this daemon is not a watcher, schedules the next read. It is a read
/// because a watch from the last own revision would return the changes again that the watchers have
/// sent meanwhile.
void configuration_follower::follow() {
  read_scheduled_ = !callbacks_.is_watcher();
  if (read_scheduled_) {
    const duration pause = check_interval / 2 + shared_.random.up_to(check_interval);
    next_call_ = shared_.timers.after(pause, [this] { read(); });
  } else if (revision_void_) {
    read();
  } else {
    watch();
  }
}

void configuration_follower::watchers_changed() {
  if (read_scheduled_ && callbacks_.is_watcher()) {
    read();
  }
}

/// Revisions that are assigned again hide changes from a watch that began before, so it is replaced
/// by a read. A daemon that does not watch reads before it begins to.
void configuration_follower::store_era_changed() {
  revision_void_ = true;
  stored_version_.reset();
  if (watch_outstanding_) {
    store_.cancel_watch();
    watch_outstanding_ = false;
    ++watches_;
    read();
  }
}

void configuration_follower::watch() {
  watch_outstanding_ = true;
  const duration wait = watch_duration();
  store_.watch_configuration(revision_, wait,
                             [this, wait, sent = shared_.proof_time(),
                              watch = ++watches_](const configuration_read_result& result) {
                               if (watch == watches_) {
                                 report_proof(result, sent, wait);
                                 watch_ended(result);
                               }
                             });
}

void configuration_follower::watch_ended(const configuration_read_result& result) {
  watch_outstanding_ = false;
  log_problem(result);
  if (result.outcome == store_outcome::history_gone) {
    history_gone();
    return;
  }
  gone_in_a_row_ = 0;
  if (result.outcome != store_outcome::done) {
    call_failed(result.outcome);
    if (result.outcome == store_outcome::unknown && failures_ == 1) {
      // The connection of the watch may have stopped responding long ago, so this daemon may be the
      // last one to receive a new version.
      read();
    }
    return;
  }
  call_succeeded(result);
  if (result.configuration.has_value()) {
    next_call_ = shared_.timers.after(settle_time, [this] { follow(); });
  } else {
    follow();
  }
}

/// The store may have gone back without stating an era, so the next read may return a lower
/// revision. If the history after the revision of that read is gone too, the reads become rarer.
void configuration_follower::history_gone() {
  revision_void_ = true;
  const int repeats = std::min(gone_in_a_row_++, doubling_limit);
  if (repeats == 0) {
    read();
  } else {
    next_call_ = shared_.timers.after(
        std::min<duration>(first_retry_delay * (1 << repeats), maximum_retry_delay),
        [this] { read(); });
  }
}

void configuration_follower::report_proof(const configuration_read_result& result, time_point sent,
                                          duration wait) {
  if (!result.problem.empty()) {
    stored_version_.reset();
  }
  if (result.outcome != store_outcome::done || !result.problem.empty()) {
    return;
  }
  time_point at = sent;
  if (result.configuration.has_value()) {
    stored_version_ = result.configuration->version;
  } else if (shared_.proof_time() - sent >= wait) {
    at += wait;
  }
  if (stored_version_.has_value()) {
    callbacks_.proved(*stored_version_, at);
  }
}

void configuration_follower::log_problem(const configuration_read_result& result) {
  if (!result.problem.empty()) {
    shared_.log.error("configuration_unreadable", {{"peer", "store"}, {"reason", result.problem}});
  }
  for (const std::string& unknown : result.unknown_values) {
    shared_.log.warning("configuration_value_unknown", {{"peer", "store"}, {"reason", unknown}});
  }
}

void configuration_follower::call_failed(store_outcome outcome) {
  if (failures_++ == 0) {
    shared_.counters.platform_reachable().Set(0);
    shared_.log.warning("store_lost",
                        {{"outcome", std::string(to_string(outcome))}, {"version", version()}});
  }
  if (watch_outstanding_) {
    return;
  }
  const int doublings = std::min(failures_, doubling_limit);
  const duration maximum_delay =
      std::min(first_retry_delay * (1 << doublings), maximum_retry_delay);
  next_call_ = shared_.timers.after(first_retry_delay + shared_.random.up_to(maximum_delay),
                                    [this] { read(); });
}

void configuration_follower::call_succeeded(const configuration_read_result& result) {
  if (std::exchange(failures_, 0) > 0) {
    shared_.log.info("store_regained", {{"version", version()}});
  }
  shared_.counters.platform_reachable().Set(1);
  revision_ = std::max(revision_, result.revision);
  if (result.configuration.has_value()) {
    adopt_from_store(*result.configuration);
  }
}

void configuration_follower::adopt_from_store(mesh_configuration configuration) {
  const route_table_pointer previous = current_;
  adopt(std::move(configuration), "store");
  if (current_ == previous) {
    return;
  }
  if (previous == nullptr) {
    callbacks_.distribute(nullptr);
  } else if (callbacks_.is_watcher()) {
    const configuration_change change = change_between(previous->content(), current_->content());
    callbacks_.distribute(&change);
  }
}

void configuration_follower::adopt(mesh_configuration configuration, const std::string& origin) {
  if (configuration.version <= version()) {
    return;
  }
  const std::uint64_t previous_version = version();
  current_ = std::make_shared<const route_table>(std::move(configuration), shared_.key_seed);
  const duration lag = catch_up_.set_current_version(version(), shared_.timers.now());
  schedule_catch_up();
  shared_.counters.observe_configuration_lag(lag);
  shared_.counters.configuration_version().Set(static_cast<double>(version()));
  shared_.counters.count_configuration_offer("adopted");
  shared_.log.info("configuration_adopted", {{"version", version()},
                                             {"replaces", previous_version},
                                             {"origin", origin},
                                             {"behind_ms", to_ms(lag)},
                                             {"routes", current_->content().routes.size()}});
  callbacks_.adopted(current_);
}

void configuration_follower::version_seen(const instance_name& peer, bool same_domain,
                                          std::uint64_t version) {
  if (!catch_up_.peer_reported(peer, same_domain, version, shared_.timers.now())) {
    return;
  }
  shared_.log.info("version_heard",
                   {{"peer", peer.str()}, {"version", version}, {"held", this->version()}});
  schedule_catch_up();
}

void configuration_follower::schedule_catch_up() {
  const std::optional<time_point> due = catch_up_.due();
  if (due == catch_up_due_) {
    return;
  }
  catch_up_due_ = due;
  catch_up_timer_ = nullptr;
  if (due.has_value()) {
    const duration wait = std::max(*due - shared_.timers.now(), duration::zero());
    catch_up_timer_ = shared_.timers.after(wait, [this] { catch_up(); });
  }
}

void configuration_follower::catch_up() {
  const catch_up_step step = catch_up_.take_step(failures_ == 0, shared_.timers.now());
  shared_.counters.count_catch_up(step.peer.has_value() ? "peer" : "store");
  shared_.log.info("configuration_catch_up",
                   {{"source", step.peer.has_value() ? step.peer->str() : "store"},
                    {"version", catch_up_.newest()},
                    {"held", version()},
                    {"store_failures", failures_},
                    {"read_outstanding", read_outstanding_}});
  schedule_catch_up();
  if (step.peer.has_value()) {
    callbacks_.request_configuration(*step.peer);
  } else {
    // The connection that should have returned the version may no longer respond.
    store_.close_idle_connections();
    read();
  }
}

void configuration_follower::configuration_received(const instance_name& peer,
                                                    const mesh_configuration& content) {
  adopt(content, peer.str());
}

void configuration_follower::change_received(const instance_name& peer,
                                             const configuration_change& change) {
  if (change.version <= version()) {
    return;
  }
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            content,
            apply_change(current_ == nullptr ? mesh_configuration() : current_->content(), change));
        adopt(std::move(content), peer.str());
        return {};
      },
      [&](const failure& error) {
        // A change between the current version and this one has not arrived.
        shared_.log.warning("configuration_change_refused", {{"peer", peer.str()},
                                                             {"base", change.base_version},
                                                             {"version", change.version},
                                                             {"held", version()},
                                                             {"reason", error.message}});
        read();
      });
}

}  // namespace crocusdoor
