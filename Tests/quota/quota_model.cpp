#include "quota_model.h"

#include <cmath>

namespace crocusdoor {

namespace {

constexpr quota_bounds bounds{std::chrono::seconds(5), 0.1, 20};
constexpr duration time_step = std::chrono::milliseconds(5);
constexpr duration wait_limit = std::chrono::milliseconds(100);
constexpr duration silence_limit = std::chrono::milliseconds(800);

}  // namespace

quota_model::quota_model(std::size_t daemons, std::vector<mesh_workspace> workspaces,
                         std::uint64_t seed)
    : random(seed), nodes_(daemons) {
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    indices_[name_of(daemon)] = daemon;
  }
  workspaces_ = std::move(workspaces);
  for (const mesh_workspace& workspace : workspaces_) {
    limits_.push_back(window_limit(workspace, bounds));
  }
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    start(daemon);
  }
  choose_coordinators();
}

instance_name quota_model::name_of(std::size_t daemon) {
  return instance_name("d" + std::to_string(daemon));
}

void quota_model::configure(std::vector<mesh_workspace> workspaces, duration spread) {
  workspaces_ = std::move(workspaces);
  ++version_;
  for (std::size_t i = 0; i < workspaces_.size(); ++i) {
    limits_[i] = window_limit(workspaces_[i], bounds);
  }
  limits_from_ = now + spread;
  for (node& self : nodes_) {
    events_.emplace(now + random.up_to(spread), [this, &self] { adopt(self); });
  }
}

void quota_model::adopt(node& self) {
  mesh_configuration configuration;
  configuration.workspaces = workspaces_;
  const quota_limits limits = limits_of(configuration, bounds);
  self.version = version_;
  self.account->set_limits(limits, version_);
  self.pool->set_limits(limits);
}

void quota_model::start(std::size_t daemon) {
  node& self = nodes_[daemon];
  self.alive = true;
  self.process = ++processes_;
  self.account = std::make_unique<quota_account>(self.process);
  self.pool = std::make_unique<quota_pool>();
  self.account->set_daemons(nodes_.size());
  self.pool->set_daemons(nodes_.size());
  adopt(self);
  events_.emplace(now + silence_limit, [this] { choose_coordinators(); });
}

void quota_model::kill(std::size_t daemon) {
  nodes_[daemon].alive = false;
  nodes_[daemon].process = 0;
  nodes_[daemon].waiting.clear();
  events_.emplace(now + silence_limit, [this] { choose_coordinators(); });
}

void quota_model::set_group(std::size_t daemon, int group) {
  nodes_[daemon].group = group;
  events_.emplace(now + silence_limit, [this] { choose_coordinators(); });
}

void quota_model::choose_coordinators() {
  std::map<int, std::vector<instance_name>> groups;
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    if (nodes_[daemon].alive) {
      groups[nodes_[daemon].group].push_back(name_of(daemon));
    }
  }
  std::map<int, std::vector<instance_name>> chosen;
  for (const auto& [group, members] : groups) {
    for (std::int32_t part = 0; part < quota_parts; ++part) {
      chosen[group].push_back(quota_coordinator(part, members));
    }
  }
  for (node& self : nodes_) {
    self.coordinators = chosen[self.group];
  }
}

void quota_model::send(std::size_t from, std::size_t to, std::function<void(node&)> deliver) {
  ++messages;
  if (nodes_[from].group != nodes_[to].group || random.fraction() < loss) {
    return;
  }
  const duration transit = from == to ? duration::zero() : delay + random.up_to(jitter);
  events_.emplace(now + transit,
                  [this, to, process = nodes_[to].process, action = std::move(deliver)] {
                    if (nodes_[to].alive && nodes_[to].process == process) {
                      action(nodes_[to]);
                    }
                  });
}

void quota_model::report(std::size_t daemon) {
  node& self = nodes_[daemon];
  for (std::int32_t part = 0; part < quota_parts && self.alive && !self.coordinators.empty();
       ++part) {
    const auto due =
        self.account->next_report(part, self.coordinators[static_cast<std::size_t>(part)], now);
    if (!due.has_value()) {
      continue;
    }
    const std::size_t to = indices_.at(due->to);
    send(daemon, to, [this, daemon, to, content = due->report](node& coordinator) {
      const auto grant = coordinator.pool->receive(name_of(daemon), content, now);
      if (!grant.has_value()) {
        return;
      }
      send(to, daemon,
           [this, daemon, to, content = *grant, version = coordinator.version](node& receiver) {
             receiver.account->receive(name_of(to), content, version);
             serve_waiting(receiver);
             report(daemon);
           });
    });
  }
}

void quota_model::serve_waiting(node& self) {
  std::deque<waiting_request> left;
  for (const waiting_request& waiting : self.waiting) {
    const workspace_name& name = workspaces_[waiting.workspace].name;
    if (self.account->take_for_waiting(name, now)) {
      admitted(waiting.workspace);
    } else if (now >= waiting.until || !self.account->may_wait(name, now)) {
      self.account->stop_waiting(name);
    } else {
      left.push_back(waiting);
    }
  }
  self.waiting = std::move(left);
}

void quota_model::request(std::size_t daemon, std::size_t workspace) {
  node& self = nodes_[daemon];
  ++results[workspace].requests;
  const quota_answer answer = self.account->take(workspaces_[workspace].name, now);
  if (answer == quota_answer::admitted) {
    admitted(workspace);
  } else if (answer == quota_answer::wait) {
    self.waiting.push_back({workspace, now + wait_limit});
  }
  report(daemon);
}

void quota_model::admitted(std::size_t workspace) {
  ++results[workspace].admitted;
  std::deque<time_point>& times = admitted_[workspace];
  times.push_back(now);
  while (times.front() <= now - bounds.window || times.front() < limits_from_) {
    times.pop_front();
    if (times.empty()) {
      return;
    }
  }
  if (static_cast<double>(times.size()) > limits_[workspace]) {
    ++over_limit;
  }
}

void quota_model::run(duration span, const std::vector<demand>& demands,
                      const std::function<void()>& disturb) {
  const double step_s = std::chrono::duration<double>(time_step).count();
  int steps = 0;
  for (const time_point end = now + span; now < end; now += time_step) {
    while (!events_.empty() && events_.begin()->first <= now) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    if (disturb && ++steps % 20 == 0) {
      disturb();
    }
    for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
      if (nodes_[daemon].alive) {
        nodes_[daemon].pool->tick(now);
        serve_waiting(nodes_[daemon]);
        report(daemon);
      }
    }
    for (const demand& wanted : demands) {
      // The number of requests in a step is a sum of independent chances.
      double expected = wanted.rate_per_s * step_s * static_cast<double>(wanted.daemons);
      for (expected += random.fraction(); expected >= 1; --expected) {
        const std::size_t daemon = random.index(wanted.daemons);
        if (nodes_[daemon].alive) {
          request(daemon, wanted.workspace);
        }
      }
    }
  }
}

}  // namespace crocusdoor
