#include "model_store.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration call_timeout = std::chrono::seconds(1);
constexpr duration watch_grace = std::chrono::milliseconds(500);
/// A connection that has been idle for longer than this is not reused.
constexpr duration idle_limit = std::chrono::milliseconds(4'500);
constexpr duration poll_interval = std::chrono::milliseconds(20);

configuration_read_result without_content(store_outcome outcome) {
  configuration_read_result result;
  result.outcome = outcome;
  return result;
}

/// A configuration whose route changes with each version.
mesh_configuration content_of(std::uint64_t version, bool workspaces) {
  mesh_route route;
  route.name = route_name("r");
  route.host = "h";
  route.path_prefix = "/";
  route.services = {{service_name("s" + std::to_string(version % 3)), 1}};
  mesh_configuration content;
  content.version = version;
  content.routes = {route};
  if (workspaces) {
    content.workspaces = {{workspace_name("w"), {"key-" + std::to_string(version)}, 0, 0, 0}};
  }
  return content;
}

}  // namespace

void model_store::write(std::uint64_t version) {
  ++revision_;
  versions_.push_back({version, revision_, clock_.now()});
  newest_lost_ = false;
}

std::vector<std::uint64_t> model_store::go_back(std::size_t lost, bool interrupts_watches) {
  std::vector<std::uint64_t> lost_versions;
  for (; lost > 0 && versions_.size() > 1; --lost) {
    lost_versions.insert(lost_versions.begin(), versions_.back().version);
    versions_.pop_back();
  }
  revision_ = versions_.back().revision;
  oldest_known_revision_ = std::min(oldest_known_revision_, revision_);
  ++era_;
  compactions_ += interrupts_watches ? 1 : 0;
  return lost_versions;
}

void model_store::restore_older_copy() {
  ++revision_;
  newest_lost_ = true;
}

std::uint64_t model_store::version_acknowledged_by(time_point when) const {
  std::uint64_t newest = 0;
  for (const written_version& written : versions_) {
    if (written.acknowledged_at <= when) {
      newest = written.version;
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
  silent_until_ = clock_.now() + span;
  clock_.post(span, [this] {
    oldest_known_revision_ = revision_;
    ++compactions_;
  });
}

configuration_read_result model_store::newest() const {
  configuration_read_result result;
  result.outcome = versions_.empty() ? store_outcome::not_found : store_outcome::done;
  result.revision = revision_;
  if (!versions_.empty()) {
    const std::size_t position = versions_.size() - (newest_lost_ ? 2 : 1);
    result.configuration = content_of(versions_.at(position).version, workspaces_);
  }
  return result;
}

struct model_store_client::watch {
  std::uint64_t revision = 0;
  time_point end{};
  configuration_callback done;
  bool started = false;
  bool silent = false;
  bool finished = false;
  int compactions = 0;
  std::optional<std::uint64_t> era;  ///< Stated by the response.
};

void model_store_client::respond(const configuration_callback& done,
                                 const configuration_read_result& result, duration delay) {
  timers_.post(delay, [done, result] { done(result); });
}

void model_store_client::deliver(const configuration_callback& done,
                                 configuration_read_result result,
                                 std::optional<std::uint64_t> era) {
  const bool responded = result.outcome != store_outcome::unknown;
  if (responded && !response_is_current(era)) {
    result = without_content(store_outcome::unknown);
  }
  done(result);
}

void model_store_client::read_configuration(configuration_callback done) {
  ++store_.calls_;
  const store_access access = store_.access(self_);
  const bool reused = timers_.now() - last_call_at_ < idle_limit;
  last_call_at_ = timers_.now();
  const bool connection_silent = std::exchange(call_connection_silent_, false) && reused;
  if (connection_silent || access == store_access::silent) {
    respond(done, without_content(store_outcome::unknown), call_timeout);
  } else if (access == store_access::refused) {
    respond(done, without_content(store_outcome::refused), store_.latency_);
  } else {
    // The response contains the state of the store after half of the latency.
    const auto result = std::make_shared<configuration_read_result>();
    const auto era = std::make_shared<std::optional<std::uint64_t>>();
    timers_.clock().post(store_.latency_ / 2, [result, era, &store = store_] {
      *result = store.newest();
      *era = store.stated_era();
    });
    timers_.post(store_.latency_, [this, done, result, era] { deliver(done, *result, *era); });
  }
}

void model_store_client::watch_configuration(std::uint64_t revision, duration wait,
                                             configuration_callback done) {
  ++store_.calls_;
  const auto pending = std::make_shared<watch>();
  pending->revision = revision;
  pending->end = timers_.now() + wait;
  pending->done = std::move(done);
  store_.overlapping_watches_ += watches_.empty() ? 0 : 1;
  watches_.push_back(pending);
  timers_.post(wait + watch_grace, [this, pending] {
    finish(pending,
           without_content(pending->started ? store_outcome::unknown : store_outcome::refused));
  });
  if (watches_.size() == 1) {
    start(pending);
  }
}

void model_store_client::start(const watch_pointer& pending) {
  pending->started = true;
  pending->compactions = store_.compactions_;
  timers_.post(store_.latency_ / 2, [this, pending] { poll(pending); });
}

void model_store_client::poll(const watch_pointer& pending) {
  if (pending->finished || pending->silent) {
    return;
  }
  configuration_read_result result;
  result.outcome = store_outcome::done;
  result.revision = store_.revision_;
  const store_access access = store_.access(self_);
  const bool changes_withheld = timers_.now() < store_.silent_until_;
  if (access == store_access::silent) {
    pending->silent = true;
    return;
  }
  if (access == store_access::refused) {
    result = without_content(store_outcome::refused);
  } else if (pending->compactions != store_.compactions_) {
    result = without_content(store_outcome::unknown);
  } else if (pending->revision < store_.oldest_known_revision_ ||
             pending->revision > store_.revision_) {
    result = without_content(store_outcome::history_gone);
  } else if (store_.versions_.back().revision > pending->revision && !changes_withheld) {
    result = store_.newest();
  } else if (timers_.now() < pending->end) {
    timers_.post(poll_interval, [this, pending] { poll(pending); });
    return;
  }
  pending->era = store_.stated_era();
  timers_.post(store_.latency_ / 2, [this, pending, result] { finish(pending, result); });
}

void model_store_client::cancel_watch() {
  for (const watch_pointer& pending : std::exchange(watches_, {})) {
    pending->finished = true;
  }
}

void model_store_client::finish(const watch_pointer& pending,
                                const configuration_read_result& result) {
  if (std::exchange(pending->finished, true)) {
    return;
  }
  if (pending->silent) {
    // The production client closes its idle connections after a timeout.
    call_connection_silent_ = false;
  }
  std::erase(watches_, pending);
  if (!watches_.empty() && !watches_.front()->started) {
    start(watches_.front());
  }
  deliver(pending->done, result, pending->era);
}

void model_store_client::silence_connections() {
  call_connection_silent_ = true;
  if (!watches_.empty()) {
    watches_.front()->silent = true;
  }
}

}  // namespace crocusdoor
