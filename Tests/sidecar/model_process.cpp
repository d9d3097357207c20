#include "model_process.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

#include "model_log.h"

namespace crocusdoor {

model_process::model_process(environment context, instance_name name, failure_domain domain,
                             std::uint64_t seed)
    : environment_(std::move(context)),
      name_(std::move(name)),
      domain_(std::move(domain)),
      random_(seed) {}

void model_process::start() {
  end();
  ++starts_;
  stopping = false;
  highest_version_ = 0;
  timers_ = std::make_unique<process_timers>(environment_.timers, random_);
  log_ = std::make_unique<decision_log>(*timers_, name_.str(), model_log_settings(), STDOUT_FILENO);
  store_client_ = std::make_unique<model_store_client>(environment_.store, *timers_, name_);
  dispatcher_ = std::make_unique<message_dispatcher>();
  exchange_ = std::make_unique<configuration_exchange>(
      configuration_context{
          *timers_, random_, *log_, counters_, 0, {admission_limit, std::chrono::seconds(1)}},
      *store_client_, watcher_group(name_, domain_),
      configuration_exchange::handlers{[this](const route_table_pointer& table) {
                                         highest_version_ =
                                             std::max(highest_version_, table->version());
                                       },
                                       [this](const auto& to, const wire::shared_message& message) {
                                         environment_.send(to, message.content());
                                       },
                                       environment_.announce_version});
  reported_era_ = 0;
  store_client_->on_new_era([this](const era_change& change) {
    reported_era_ = change.era;
    exchange_->store_era_changed();
  });
  exchange_->connect(*dispatcher_);
  exchange_->start();
}

void model_process::end() {
  exchange_ = nullptr;
  dispatcher_ = nullptr;
  store_client_ = nullptr;
  log_ = nullptr;
  timers_ = nullptr;
}

void model_process::freeze_until(time_point when) {
  if (running()) {
    timers_->freeze_until(when);
  }
}

void model_process::set_lateness(duration maximum) {
  if (running()) {
    timers_->set_lateness(maximum);
  }
}

void model_process::run_after(duration delay, std::function<void()> action) {
  if (running()) {
    timers_->post(delay, std::move(action));
  }
}

void model_process::receive(const instance_name& from, std::uint64_t version, std::uint64_t era,
                            const wire::message* content) {
  store_client_->peer_reported_era(era == 0 ? std::nullopt : std::optional(era));
  exchange_->version_seen(from, version);
  if (content != nullptr) {
    dispatcher_->dispatch(from, *content);
  }
}

void model_process::silence_store_connections() {
  if (running()) {
    store_client_->silence_connections();
  }
}

}  // namespace crocusdoor
