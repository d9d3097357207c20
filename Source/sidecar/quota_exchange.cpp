#include "sidecar/quota_exchange.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

/// Time for which a request waits for a grant.
constexpr duration wait_limit = std::chrono::milliseconds(100);
/// The exchange is updated at least this often while quotas are used; `quota_pool::tick` needs it.
constexpr duration longest_interval = std::chrono::milliseconds(400);
constexpr duration shortest_interval = std::chrono::milliseconds(10);
/// A daemon that the store turns away takes part after this time, with the peers that it knows.
constexpr duration unlisted_start_time = std::chrono::seconds(5);

}  // namespace

quota_exchange::quota_exchange(const sidecar_context& shared, handlers callbacks)
    : shared_(shared),
      callbacks_(std::move(callbacks)),
      account_(shared.self.incarnation),
      started_at_(shared.loop.now()) {}

void quota_exchange::connect(message_dispatcher& dispatcher) {
  dispatcher.on<wire::quota_report>(
      [this](const instance_name& from, const auto& report) { report_received(from, report); });
  dispatcher.on<wire::quota_grant>([this](const instance_name& from, const auto& grant) {
    grant_received(from, grant, versions_[from]);
  });
}

void quota_exchange::configure(const mesh_configuration& configuration) {
  const sidecar_bounds& bounds = shared_.options.bounds;
  const quota_limits limits =
      limits_of(configuration, {bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack});
  version_ = configuration.version;
  account_.set_limits(limits, version_);
  pool_.set_limits(limits);
  if (used_ != !limits.empty()) {
    used_ = !limits.empty();
    shared_.log.info("quotas_configured", {{"workspaces", limits.size()}, {"version", version_}});
  }
  if (used_) {
    update();
  } else {
    timer_ = nullptr;
    scheduled_for_ = time_point::max();
    serve_waiting();
  }
}

void quota_exchange::set_peer(const instance_name& peer, bool stopping) {
  const auto [found, added] = stopping_.try_emplace(peer, stopping);
  if (added || found->second != stopping) {
    found->second = stopping;
    coordinators_.clear();
  }
}

void quota_exchange::peer_lost(const instance_name& peer) {
  stopping_.erase(peer);
  coordinators_.clear();
}

/// A daemon that has just started may know few of the others, and its share would be too large.
bool quota_exchange::joined() {
  if (joined_) {
    return true;
  }
  const std::size_t linked = callbacks_.linked_peers().size() + 1;
  const std::size_t known = callbacks_.daemon_count();
  const bool unlisted_too_long =
      linked > 1 && shared_.loop.now() - started_at_ >= unlisted_start_time;
  joined_ = (callbacks_.listed() || unlisted_too_long) && linked * 2 > known;
  return joined_;
}

void quota_exchange::choose_coordinators() {
  std::vector<instance_name> daemons{shared_.self.name};
  for (const auto& [peer, stopping] : stopping_) {
    if (!stopping) {
      daemons.push_back(peer);
    }
  }
  for (std::int32_t part = 0; part < quota_parts; ++part) {
    coordinators_.push_back(quota_coordinator(part, daemons));
  }
}

void quota_exchange::update() {
  const time_point now = shared_.loop.now();
  pool_.tick(now);
  serve_waiting();
  if (joined()) {
    const std::size_t daemons = callbacks_.daemon_count();
    account_.set_daemons(daemons);
    pool_.set_daemons(daemons);
    send_reports();
  }
  scheduled_for_ = time_point::max();
  schedule();
}

/// Sets the timer to the next report or the end of a wait.
void quota_exchange::schedule() {
  const time_point now = shared_.loop.now();
  time_point due = now + longest_interval;
  if (joined_) {
    due = std::min(due, account_.next_due());
  }
  if (!waiting_.empty()) {
    due = std::min(due, waiting_.front().until);
  }
  due = std::max(due, now + shortest_interval);
  if (due < scheduled_for_) {
    scheduled_for_ = due;
    timer_ = shared_.loop.after(due - now, [this] { update(); });
  }
}

void quota_exchange::send_reports() {
  if (coordinators_.empty()) {
    choose_coordinators();
  }
  for (std::int32_t part = 0; part < quota_parts; ++part) {
    const auto due = account_.next_report(part, coordinators_[static_cast<std::size_t>(part)],
                                          shared_.loop.now());
    if (!due.has_value()) {
      continue;
    }
    shared_.counters.count_quota_message("report");
    if (due->to == shared_.self.name) {
      report_received(due->to, due->report);
    } else {
      callbacks_.send(due->to, due->report);
    }
  }
}

void quota_exchange::report_received(const instance_name& from, const wire::quota_report& report) {
  if (used_) {
    // After a pause of the process, a report may be read before the timer has run.
    pool_.tick(shared_.loop.now());
  }
  const auto grant = pool_.receive(from, report, shared_.loop.now());
  if (!grant.has_value()) {
    return;
  }
  shared_.counters.count_quota_message("grant");
  if (from == shared_.self.name) {
    grant_received(from, *grant, version_);
  } else {
    callbacks_.send(from, *grant);
  }
}

void quota_exchange::grant_received(const instance_name& from, const wire::quota_grant& grant,
                                    std::uint64_t version) {
  const double received = account_.receive(from, grant, version);
  shared_.counters.count_quota_tokens(from == shared_.self.name ? "own" : "peer", received);
  serve_waiting();
  if (used_) {
    schedule();
  }
}

void quota_exchange::decide(const workspace_name& workspace, decision_handler done) {
  const time_point now = shared_.loop.now();
  const quota_answer answer = account_.take(workspace, now);
  if (answer == quota_answer::wait) {
    waiting_.push_back({workspace, std::move(done), now + wait_limit});
    if (account_.next_due() <= now) {
      update();
      return;
    }
  } else {
    done(answer == quota_answer::admitted, account_.retry_after(workspace));
  }
  if (used_) {
    schedule();
  }
}

void quota_exchange::serve_waiting() {
  const time_point now = shared_.loop.now();
  std::list<waiting_request> decided;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const auto next = std::next(entry);
    const bool admitted = account_.take_for_waiting(entry->workspace, now);
    if (!admitted && (now >= entry->until || !account_.may_wait(entry->workspace, now))) {
      account_.stop_waiting(entry->workspace);
      entry->until = time_point::min();
    }
    if (admitted) {
      entry->until = time_point::max();
    }
    if (admitted || entry->until == time_point::min()) {
      decided.splice(decided.end(), waiting_, entry);
    }
    entry = next;
  }
  for (const waiting_request& request : decided) {
    request.done(request.until == time_point::max(), account_.retry_after(request.workspace));
  }
}

void quota_exchange::count_repeat(const workspace_name& workspace) {
  if (account_.take(workspace, shared_.loop.now()) == quota_answer::wait) {
    account_.stop_waiting(workspace);
  }
}

void quota_exchange::give_back(const workspace_name& workspace) {
  account_.give_back(workspace, shared_.loop.now());
}

}  // namespace crocusdoor
