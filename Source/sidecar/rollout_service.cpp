#include "sidecar/rollout_service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "wire/message_fields.h"

namespace crocusdoor {

namespace {

constexpr duration check_interval = std::chrono::milliseconds(100);
/// Bounds the time until a new order is known if the connection of a watch no longer responds.
constexpr duration watch_duration = std::chrono::seconds(5);
constexpr duration first_retry_delay = std::chrono::milliseconds(200);
constexpr duration maximum_retry_delay = std::chrono::seconds(2);
/// Smaller changes of a share are not logged.
constexpr std::int32_t logged_change_permille = 10;

}  // namespace

rollout_service::rollout_service(const sidecar_context& shared,
                                 std::unique_ptr<rollout_store> store, rollout_table& table,
                                 const upstream_pool& upstreams, handlers callbacks)
    : shared_(shared),
      store_(std::move(store)),
      table_(table),
      upstreams_(upstreams),
      callbacks_(std::move(callbacks)),
      decider_({shared.options.bounds.exposure_share, shared.options.bounds.exposure_slack}) {}

bool rollout_service::enabled() const {
  return store_ != nullptr && shared_.options.bounds.exposure_share > 0;
}

void rollout_service::start() {
  if (enabled()) {
    check_timer_ = shared_.loop.every(check_interval, [this] { check(); });
  }
}

void rollout_service::connect(message_dispatcher& dispatcher) {
  if (!enabled()) {
    return;
  }
  dispatcher.on<wire::rollout_state>(
      [this](const instance_name& from, const auto& state) { state_received(from, state); });
  dispatcher.on<wire::rollout_evidence>([this](const instance_name& from, const auto& report) {
    decider_.evidence_received(from, report, shared_.loop.now());
  });
}

void rollout_service::peer_established(const instance_name& peer) {
  if (!enabled()) {
    return;
  }
  for (const wire::rollout_state& state : table_.states(shared_.loop.now())) {
    callbacks_.send(peer, state);
  }
}

void rollout_service::state_received(const instance_name& from, const wire::rollout_state& state) {
  const time_point now = shared_.loop.now();
  if (table_.receive(from, state, now)) {
    log_phase(state);
  }
  const wire::rollout_evidence report = table_.evidence(state.service, now);
  if (from == shared_.self.name) {
    decider_.evidence_received(from, report, now);
  } else if (state.valid_ms.count() > 0) {
    callbacks_.send(from, report);
  }
}

void rollout_service::log_phase(const wire::rollout_state& state) {
  shared_.log.info("rollout_state", {{"service", state.service.str()},
                                     {"target_version", state.target_version},
                                     {"order", state.order},
                                     {"phase", std::string(to_string(state.phase))},
                                     {"left_ms", state.left_ms.count()}});
}

void rollout_service::check() {
  const std::vector<instance_name> peers = callbacks_.linked_peers();
  const bool decides =
      callbacks_.may_decide() &&
      rollout_decider::decides(shared_.self.name, peers, callbacks_.known_daemons());
  if (decides != std::exchange(deciding_, decides)) {
    shared_.log.info("rollout_decider", {{"decides", decides}, {"links", peers.size()}});
    if (decides) {
      list();
    } else {
      end_deciding();
    }
  }
  if (!deciding_ || decider_.empty()) {
    return;
  }
  const time_point now = shared_.loop.now();
  rollout_decider::surroundings seen;
  seen.daemons = peers;
  seen.daemons.push_back(shared_.self.name);
  seen.capacity = [&](const service_name& service, const std::string& version) {
    return rollout_capacity{upstreams_.warm_slots(service, version, true, now),
                            upstreams_.warm_slots(service, version, false, now)};
  };
  const rollout_decider::actions actions = decider_.decide(seen, now);
  for (const wire::rollout_state& state : actions.states) {
    rollout_run* run = decider_.find(state.service);
    std::int32_t& logged = logged_permille_[state.service];
    if (std::abs(state.permille - logged) >= logged_change_permille ||
        (state.permille == 0) != (logged == 0)) {
      logged = state.permille;
      shared_.log.info(
          "rollout_share",
          {{"service", state.service.str()},
           {"target_version", state.target_version},
           {"permille", state.permille},
           {"left_ms", state.left_ms.count()},
           {"exposure", run->evidence().exposure()},
           {"requests", run->evidence().requests()},
           {"bad_responses", run->evidence().bad_responses()},
           {"quality", run->judgement().quality == version_quality::bad    ? "bad"
                       : run->judgement().quality == version_quality::good ? "good"
                                                                           : "unknown"},
           {"reason", run->judgement().reason},
           {"work_class", run->judgement().work_class}});
    }
    callbacks_.send_to_all(state);
    state_received(shared_.self.name, state);
  }
  for (const rollout_status_write& request : actions.writes) {
    write(request);
  }
}

void rollout_service::end_deciding() {
  ++round_;
  ++reads_;
  retry_timer_ = nullptr;
  store_->end_watch();
  decider_.clear();
}

void rollout_service::store_era_changed(std::uint64_t era) {
  era_ = std::max(era_, era);
  if (deciding_) {
    store_->end_watch();
    retry_timer_ = nullptr;
    list();
  }
}

bool rollout_service::is_outdated(const rollout_listing& listing) const {
  return listing.era != 0 && listing.era < era_;
}

void rollout_service::list() {
  store_->list_orders(
      [this, read = ++reads_](const rollout_listing& listing) { read_ended(read, listing, true); });
}

void rollout_service::watch() {
  store_->watch_orders(revision_, watch_duration,
                       [this, read = ++reads_](const rollout_listing& listing) {
                         read_ended(read, listing, false);
                       });
}

void rollout_service::read_ended(std::uint64_t read, const rollout_listing& listing, bool listed) {
  if (read != reads_ || !deciding_) {
    return;
  }
  if (listing.outcome != store_outcome::done || is_outdated(listing)) {
    retry_delay_ = std::clamp(retry_delay_ * 2, first_retry_delay, maximum_retry_delay);
    retry_timer_ = shared_.loop.after(retry_delay_, [this] { list(); });
    return;
  }
  retry_delay_ = duration::zero();
  const bool new_era = listing.era > era_;
  era_ = std::max(era_, listing.era);
  if (new_era && !listed) {
    // Revisions that are assigned again hide changes from a watch.
    list();
    return;
  }
  revision_ = listing.revision;
  if (listing.unreadable_orders > 0) {
    shared_.log.warning("rollouts_unreadable", {{"orders", listing.unreadable_orders}});
  }
  const time_point now = shared_.loop.now();
  for (const rollout_order& order : listing.orders) {
    decider_.order_read(order, listing.era, table_.find(order.service), now);
  }
  watch();
}

void rollout_service::write(const rollout_status_write& request) {
  store_->write_status(request, [this, round = round_,
                                 request](const rollout_write_result& result) {
    shared_.log.info("rollout_status_written",
                     {{"service", request.service.str()},
                      {"target_version", request.status.target_version},
                      {"phase", std::string(to_string(request.status.phase))},
                      {"outcome", std::string(to_string(result.outcome))}});
    if (round != round_) {
      return;
    }
    // An order that was removed needs no status.
    const bool written =
        result.outcome == store_outcome::done || result.outcome == store_outcome::not_found;
    decider_.status_written(request, written, result.revision);
    if (written) {
      check();  // The old version may stop now, so all daemons have to know the end at once.
    }
    if (result.outcome == store_outcome::conflict || result.outcome == store_outcome::unknown) {
      // The object has changed, or the write may have been executed: the single read below returns
      // what it is now, while the watch goes on.
      store_->list_orders([this, round](const rollout_listing& listing) {
        if (round == round_ && listing.outcome == store_outcome::done && !is_outdated(listing)) {
          for (const rollout_order& order : listing.orders) {
            decider_.order_read(order, listing.era, table_.find(order.service), shared_.loop.now());
          }
        }
      });
    }
  });
}

void rollout_service::update_metrics() {
  if (!enabled()) {
    return;
  }
  shared_.counters.total("crocusdoor_rollout_decides", "1 if this instance decides on rollouts")
      .Set(deciding_ ? 1 : 0);
  for (const wire::rollout_state& state : table_.states(shared_.loop.now())) {
    const wire::rollout_evidence report = table_.evidence(state.service, shared_.loop.now());
    const prometheus::Labels labels = {{"service", state.service.str()}};
    shared_.counters
        .total("crocusdoor_rollout_share_permille",
               "Share of the requests that the version of the latest rollout gets", labels)
        .Set(report.permille);
    shared_.counters
        .total("crocusdoor_rollout_requests",
               "Requests that this instance has sent to the version of the latest rollout", labels)
        .Set(static_cast<double>(report.sent));
  }
}

}  // namespace crocusdoor
