#include "sidecar/freshness_exchange.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration step_interval = std::chrono::milliseconds(250);
/// A proof that is older than this is renewed.
constexpr duration renewal_age = std::chrono::milliseconds(700);
/// While proofs are recent, a daemon asks about once in this time.
constexpr duration question_interval = std::chrono::milliseconds(950);
/// A question without an answer counts as failed after this time.
constexpr duration answer_limit = std::chrono::milliseconds(400);
/// If the answer of a peer leaves the proof older than this, another peer is asked.
constexpr duration sufficient_age = std::chrono::seconds(2);
/// A daemon whose peers have no proof more recent than this reads from the store, at a random time
/// so that not all daemons do.
constexpr duration store_age = std::chrono::milliseconds(2'500);
constexpr duration certain_store_age = std::chrono::milliseconds(3'500);
constexpr std::size_t store_read_odds = 8;
constexpr duration store_read_interval = std::chrono::seconds(1);
/// While requests wait for a proof, the store is read at most once in this time.
constexpr duration urgent_read_interval = std::chrono::milliseconds(500);
/// A daemon that no peer has answered for this long cannot reach any.
constexpr duration no_peer_limit = std::chrono::seconds(2);
constexpr std::size_t waiting_limit = 256;

}  // namespace

freshness_exchange::freshness_exchange(timer_service& timers, random_source& random,
                                       decision_log& log, const freshness_limits& limits,
                                       const watcher_group& group, handlers callbacks)
    : timers_(timers),
      random_(random),
      log_(log),
      group_(group),
      callbacks_(std::move(callbacks)),
      proof_(limits),
      distrusted_at_(callbacks_.now()) {}

void freshness_exchange::connect(message_dispatcher& dispatcher) {
  dispatcher.on<wire::freshness_request>([this](const instance_name& from, const auto& request) {
    wire::freshness_answer answer{request.sequence, std::nullopt};
    if (const std::optional<duration> proof_age = age()) {
      answer.proof_age_ms = std::chrono::ceil<std::chrono::milliseconds>(*proof_age);
    }
    callbacks_.send(from, answer);
  });
  dispatcher.on<wire::freshness_answer>(
      [this](const instance_name& from, const auto& answer) { answered(from, answer); });
}

void freshness_exchange::configuration_adopted(const route_table& configuration) {
  proof_.set_current_version(configuration.version());
  const bool needed = !configuration.content().workspaces.empty();
  if (needed && !enabled()) {
    timer_ = timers_.every(step_interval, [this] { step(); });
    timers_.post([alive = std::weak_ptr(timer_), this] {
      if (!alive.expired()) {
        step();
      }
    });
  } else if (!needed) {
    timer_ = nullptr;
  }
  changed();
}

void freshness_exchange::version_reported(const instance_name& peer, std::uint64_t version) {
  reporting_peer_ = peer;
  reported_version_ = version;
  proof_.version_reported(version);
}

void freshness_exchange::proved_by_store(std::uint64_t version, time_point at) {
  const bool trusted = proof_.trusts_store();
  proof_.proved_by_store(version, at);
  if (trusted && !proof_.trusts_store()) {
    // Peers get the same time to answer as after the start before the store counts without them.
    distrusted_at_ = callbacks_.now();
  }
  changed();
}

void freshness_exchange::distrust_store() {
  proof_.distrust_store();
  distrusted_at_ = callbacks_.now();
}

bool freshness_exchange::await_change(std::function<void()> action) {
  if (waiting_.size() >= waiting_limit) {
    return false;
  }
  waiting_.push_back(std::move(action));
  const time_point now = callbacks_.now();
  const bool outstanding = !question_.answered && now - question_.sent_at < answer_limit;
  if (!outstanding && now - question_.sent_at >= step_interval) {
    ask();
  }
  return true;
}

void freshness_exchange::step() {
  const time_point now = callbacks_.now();
  if (!proof_.trusts_store() && now - distrusted_at_ >= no_peer_limit) {
    proof_.trust_store();
  }
  changed();
  const std::optional<duration> proof_age = proof_.age(now);
  const bool old = !proof_age.has_value() || *proof_age >= renewal_age;
  if (!old && proof_.trusts_store()) {
    return;
  }
  const duration since_question = now - question_.sent_at;
  if (!question_.answered && since_question < answer_limit) {
    return;
  }
  if (!question_.answered) {
    ++misses_;
  }
  const bool urgent = misses_ > 0 || !proof_.trusts_store() || !waiting_.empty();
  if (urgent || since_question >= question_interval) {
    ask();
  }
  const bool certain = proof_age.has_value() && *proof_age >= certain_store_age;
  const bool due = !proof_age.has_value() || *proof_age >= store_age;
  if (certain || (due && random_.index(store_read_odds) == 0)) {
    read_store();
  }
}

void freshness_exchange::read_store() {
  const time_point now = callbacks_.now();
  const duration interval = waiting_.empty() ? store_read_interval : urgent_read_interval;
  if (!last_read_at_.has_value() || now - *last_read_at_ >= interval) {
    last_read_at_ = now;
    callbacks_.read_store();
  }
}

/// The watchers of the own failure domain have the most recent proofs. If they do not answer, or
/// the store does not answer them, any other daemon may have one.
std::optional<instance_name> freshness_exchange::next_source() {
  std::vector<instance_name> watchers = group_.watchers();
  std::erase_if(watchers, [this](const instance_name& watcher) {
    return !group_.members().contains(watcher);
  });
  if (misses_ < watchers.size()) {
    return watchers[misses_];
  }
  if (group_.members().empty()) {
    return std::nullopt;
  }
  const auto index = static_cast<std::ptrdiff_t>(random_.index(group_.members().size()));
  return std::next(group_.members().begin(), index)->first;
}

void freshness_exchange::ask() {
  const std::optional<instance_name> peer = next_source();
  if (!peer.has_value()) {
    if (!waiting_.empty()) {
      read_store();
    }
    return;
  }
  question_ = {question_.sequence + 1, *peer, callbacks_.now(), false};
  callbacks_.send(*peer, wire::freshness_request{question_.sequence});
}

void freshness_exchange::answered(const instance_name& from, const wire::freshness_answer& answer) {
  const bool expected = from == question_.peer && answer.sequence == question_.sequence &&
                        !question_.answered && from == reporting_peer_;
  if (!expected) {
    return;
  }
  question_.answered = true;
  std::optional<time_point> at;
  if (answer.proof_age_ms.has_value()) {
    at = question_.sent_at - std::max<duration>(*answer.proof_age_ms, duration::zero());
  }
  proof_.proved_by_peer(reported_version_, at);
  const std::optional<duration> proof_age = age();
  misses_ = proof_age.has_value() && *proof_age < sufficient_age ? 0 : misses_ + 1;
  changed();
  if (!waiting_.empty()) {
    read_store();
  }
}

/// Lets the waiting requests check again. Those that still wait register again.
void freshness_exchange::changed() {
  log_admission();
  for (const auto& action : std::exchange(waiting_, {})) {
    action();
  }
}

void freshness_exchange::log_admission() {
  const bool admits = proof().admits;
  if (!enabled() || std::exchange(admitted_, admits) == admits) {
    return;
  }
  const std::optional<duration> proof_age = age();
  log_.info(admits ? "proof_gained" : "proof_lost",
            {{"age_ms", proof_age.has_value() ? to_ms(*proof_age) : -1}});
}

}  // namespace crocusdoor
