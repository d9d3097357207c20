#pragma once

#include <map>
#include <memory>

#include "request_model.h"

namespace crocusdoor {

/// One daemon with its target, over its restarts.
struct request_model::process {
  instance_name name;
  int starts = 0;
  time_point frozen_until{};
  metrics counters;
  std::unique_ptr<process_timers> timers;
  std::unique_ptr<decision_log> log;
  std::unique_ptr<links> connections;
  std::unique_ptr<call_router> router;
  std::unique_ptr<inbound_work> work;
  std::map<std::uint64_t, run> runs;  ///< Requests that run at the target, by ticket.

  [[nodiscard]] bool up() const { return work != nullptr; }
};

/// The connections of one process.
class request_model::links : public peer_links {
 public:
  links(request_model& model, std::size_t self) : model_(model), self_(self) {}

  [[nodiscard]] message_dispatcher& dispatcher() noexcept override { return dispatcher_; }

  bool send(const instance_name& peer, const wire::message& content) override {
    const session_pointer session = session_to(model_.positions_.at(peer));
    if (session == nullptr) {
      return false;
    }
    model_.deliver(session, self_, content);
    return true;
  }

  void ensure_link(const instance_name&) override {}

  [[nodiscard]] bool linked(const instance_name& peer) const override {
    return session_to(model_.positions_.at(peer)) != nullptr;
  }

  [[nodiscard]] std::uint64_t incarnation_of(const instance_name& peer) const override {
    const auto found = incarnations_.find(peer);
    return found == incarnations_.end() ? 0 : found->second;
  }

  void greet(const instance_name& peer, std::uint64_t incarnation) {
    incarnations_[peer] = incarnation;
  }

  /// The newest connection to a process that is open at this end.
  [[nodiscard]] session_pointer session_to(std::size_t peer) const {
    for (auto session = model_.sessions_.rbegin(); session != model_.sessions_.rend(); ++session) {
      if ((*session)->connects(self_, peer) && (*session)->of(self_).open()) {
        return *session;
      }
    }
    return nullptr;
  }

 private:
  request_model& model_;
  std::size_t self_;
  message_dispatcher dispatcher_;
  std::map<instance_name, std::uint64_t> incarnations_;
};

}  // namespace crocusdoor
