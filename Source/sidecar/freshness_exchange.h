#pragma once

#include <functional>
#include <vector>

#include "core/random_source.h"
#include "daemon/message_dispatcher.h"
#include "mesh/freshness.h"
#include "mesh/watcher_group.h"
#include "sidecar/decision_log.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// Keeps the proof of the current configuration recent: asks peers and, if they cannot help, the
/// platform's store, and answers the questions of peers. It asks only while the configuration has
/// workspaces.
class freshness_exchange {
 public:
  struct handlers {
    /// Reads a clock that counts suspension.
    std::function<time_point()> now;
    std::function<void(const instance_name&, const wire::message&)> send;
    std::function<void()> read_store;
  };

  freshness_exchange(timer_service& timers, random_source& random, decision_log& log,
                     const freshness_limits& limits, const watcher_group& group,
                     handlers callbacks);

  void connect(message_dispatcher& dispatcher);
  void configuration_adopted(const route_table& configuration);
  void version_reported(const instance_name& peer, std::uint64_t version);
  void proved_by_store(std::uint64_t version, time_point at);
  /// The store has been restored from an older copy.
  void distrust_store();

  /// Whether the configuration has workspaces, so that proofs are needed.
  [[nodiscard]] bool enabled() const noexcept { return timer_ != nullptr; }
  [[nodiscard]] configuration_proof proof() const { return proof_.proof(callbacks_.now()); }
  [[nodiscard]] std::optional<duration> age() const { return proof_.age(callbacks_.now()); }
  /// Calls `action` once when the proof or the configuration has changed, and asks for a proof.
  /// Returns whether there was room for it.
  bool await_change(std::function<void()> action);

 private:
  struct question {
    std::uint64_t sequence = 0;
    instance_name peer;
    time_point sent_at{};
    bool answered = true;
  };

  void step();
  void ask();
  void read_store();
  [[nodiscard]] std::optional<instance_name> next_source();
  void answered(const instance_name& from, const wire::freshness_answer& answer);
  void changed();
  void log_admission();

  timer_service& timers_;
  random_source& random_;
  decision_log& log_;
  const watcher_group& group_;
  handlers callbacks_;
  freshness proof_;
  question question_;
  /// Questions in a row without an answer that was recent enough.
  std::size_t misses_ = 0;
  instance_name reporting_peer_;  ///< Sender of the message that is being handled, and its version.
  std::uint64_t reported_version_ = 0;
  std::optional<time_point> last_read_at_;
  time_point distrusted_at_;
  bool admitted_ = false;
  std::vector<std::function<void()>> waiting_;
  timer_handle timer_;
};

}  // namespace crocusdoor
