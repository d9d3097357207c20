#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "daemon/message_dispatcher.h"
#include "model_store.h"
#include "process_timers.h"
#include "sidecar/configuration_exchange.h"

namespace crocusdoor {

/// Age of a proof up to which requests with keys are admitted.
inline constexpr duration admission_limit = std::chrono::milliseconds(4'700);

/// The part of one daemon that concerns configurations, over its restarts.
class model_process {
 public:
  struct environment {
    virtual_timers& timers;
    model_store& store;
    std::function<void(const instance_name& to, const wire::message&)> send;
    std::function<void(const instance_name& to)> announce_version;
  };

  model_process(environment context, instance_name name, failure_domain domain, std::uint64_t seed);

  void start();
  void end();
  void freeze_until(time_point when);
  /// Delays each callback by a random time up to `maximum`.
  void set_lateness(duration maximum);
  /// Runs `action` in the process after `delay`, unless the process has ended by then.
  void run_after(duration delay, std::function<void()> action);
  /// Receives a message of a peer that reports this version and, unless it is 0, this era of the
  /// store; null if the message has no other content.
  void receive(const instance_name& from, std::uint64_t version, std::uint64_t era,
               const wire::message* content);
  void silence_store_connections();

  [[nodiscard]] const instance_name& name() const { return name_; }
  [[nodiscard]] const failure_domain& domain() const { return domain_; }
  [[nodiscard]] bool running() const { return exchange_ != nullptr; }
  [[nodiscard]] std::uint64_t version() const { return running() ? exchange_->version() : 0; }
  /// Newest version that has been current since the start.
  [[nodiscard]] std::uint64_t highest_version() const { return highest_version_; }
  [[nodiscard]] configuration_exchange& exchange() { return *exchange_; }
  /// Whether requests with the keys of the current version would run.
  [[nodiscard]] bool admits() const {
    return running() && version() > 0 && exchange_->freshness().proof().admits;
  }
  [[nodiscard]] int starts() const { return starts_; }
  /// Era of the store if it has changed since the start; otherwise 0.
  [[nodiscard]] std::uint64_t reported_era() const { return reported_era_; }

  bool stopping = false;

 private:
  environment environment_;
  instance_name name_;
  failure_domain domain_;
  random_source random_;
  metrics counters_;
  std::unique_ptr<process_timers> timers_;
  std::unique_ptr<decision_log> log_;
  std::unique_ptr<model_store_client> store_client_;
  std::unique_ptr<message_dispatcher> dispatcher_;
  std::unique_ptr<configuration_exchange> exchange_;
  std::uint64_t highest_version_ = 0;
  std::uint64_t reported_era_ = 0;
  int starts_ = 0;
};

}  // namespace crocusdoor
