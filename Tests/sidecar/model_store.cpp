#include "model_store.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration call_timeout = std::chrono::seconds(1);
constexpr duration watch_grace = std::chrono::milliseconds(500);
/// A connection that has been idle for longer is not used again.
constexpr duration idle_limit = std::chrono::milliseconds(4'500);
constexpr duration poll_interval = std::chrono::milliseconds(20);

configuration_reading without_content(store_outcome outcome) {
  configuration_reading reading;
  reading.outcome = outcome;
  return reading;
}

/// A configuration whose route changes with each version.
mesh_configuration content_of(std::uint64_t version) {
  mesh_route route;
  route.name = route_name("r");
  route.host = "h";
  route.path_prefix = "/";
  route.services = {{service_name("s" + std::to_string(version % 3)), 1}};
  mesh_configuration content;
  content.version = version;
  content.routes = {route};
  return content;
}

}  // namespace

void model_store::write(std::uint64_t version) {
  ++revision_;
  versions_.push_back({version, clock_.now()});
}

std::uint64_t model_store::version_acknowledged_by(time_point when) const {
  std::uint64_t newest = 0;
  for (const written_version& one : versions_) {
    if (one.acknowledged_at <= when) {
      newest = one.version;
    }
  }
  return newest;
}

store_access model_store::access(const instance_name& instance) const {
  const auto found = access_.find(instance);
  return found == access_.end() ? store_access::open : found->second;
}

void model_store::set_access(const instance_name& instance, store_access access) {
  access_[instance] = access;
}

void model_store::compact_after(duration span) {
  mute_until_ = clock_.now() + span;
  clock_.post(span, [this] {
    oldest_known_revision_ = revision_;
    ++compactions_;
  });
}

configuration_reading model_store::newest() const {
  configuration_reading reading;
  reading.outcome = versions_.empty() ? store_outcome::not_found : store_outcome::done;
  reading.revision = revision_;
  if (!versions_.empty()) {
    reading.configuration = content_of(versions_.back().version);
  }
  return reading;
}

struct model_store_client::watch {
  std::uint64_t revision = 0;
  time_point end{};
  configuration_callback done;
  bool begun = false;
  bool silent = false;
  bool finished = false;
  int compactions = 0;
};

void model_store_client::answer(const configuration_callback& done,
                                const configuration_reading& reading, duration delay) {
  timers_.post(delay, [done, reading] { done(reading); });
}

void model_store_client::read_configuration(configuration_callback done) {
  const store_access access = store_.access(self_);
  const bool reused = timers_.now() - last_call_at_ < idle_limit;
  last_call_at_ = timers_.now();
  const bool lost = std::exchange(call_connection_silent_, false) && reused;
  if (lost || access == store_access::silent) {
    answer(done, without_content(store_outcome::unknown), call_timeout);
  } else if (access == store_access::refused) {
    answer(done, without_content(store_outcome::refused), store_.latency_);
  } else {
    // The answer tells what the store holds half-way.
    const auto reading = std::make_shared<configuration_reading>();
    timers_.clock().post(store_.latency_ / 2,
                         [reading, &store = store_] { *reading = store.newest(); });
    timers_.post(store_.latency_, [done, reading] { done(*reading); });
  }
}

void model_store_client::watch_configuration(std::uint64_t revision, duration wait,
                                             configuration_callback done) {
  const auto one = std::make_shared<watch>();
  one->revision = revision;
  one->end = timers_.now() + wait;
  one->done = std::move(done);
  store_.overlapping_watches_ += watches_.empty() ? 0 : 1;
  watches_.push_back(one);
  timers_.post(wait + watch_grace, [this, one] {
    finish(one, without_content(one->begun ? store_outcome::unknown : store_outcome::refused));
  });
  if (watches_.size() == 1) {
    begin(one);
  }
}

void model_store_client::begin(const watch_pointer& one) {
  one->begun = true;
  one->compactions = store_.compactions_;
  timers_.post(store_.latency_ / 2, [this, one] { poll(one); });
}

void model_store_client::poll(const watch_pointer& one) {
  if (one->finished || one->silent) {
    return;
  }
  configuration_reading reading;
  reading.outcome = store_outcome::done;
  reading.revision = store_.revision_;
  const store_access access = store_.access(self_);
  const bool mute = timers_.now() < store_.mute_until_;
  if (access == store_access::silent) {
    one->silent = true;
    return;
  }
  if (access == store_access::refused) {
    reading = without_content(store_outcome::refused);
  } else if (one->compactions != store_.compactions_) {
    reading = without_content(store_outcome::unknown);
  } else if (one->revision < store_.oldest_known_revision_) {
    reading = without_content(store_outcome::history_gone);
  } else if (store_.revision_ > one->revision && !mute) {
    reading = store_.newest();
  } else if (timers_.now() < one->end) {
    timers_.post(poll_interval, [this, one] { poll(one); });
    return;
  }
  timers_.post(store_.latency_ / 2, [this, one, reading] { finish(one, reading); });
}

void model_store_client::finish(const watch_pointer& one, const configuration_reading& reading) {
  if (std::exchange(one->finished, true)) {
    return;
  }
  if (one->silent) {
    // The real client trusts no idle connection after this.
    call_connection_silent_ = false;
  }
  std::erase(watches_, one);
  if (!watches_.empty() && !watches_.front()->begun) {
    begin(watches_.front());
  }
  one->done(reading);
}

void model_store_client::silence_connections() {
  call_connection_silent_ = true;
  if (!watches_.empty()) {
    watches_.front()->silent = true;
  }
}

}  // namespace crocusdoor
