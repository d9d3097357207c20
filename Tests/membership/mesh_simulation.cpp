#include "mesh_simulation.h"

#include <algorithm>

namespace crocusdoor {

instance_record make_record(std::size_t index, std::size_t domains) {
  instance_record record;
  record.name = instance_name("coast-" + std::to_string(index));
  record.incarnation = 1;
  record.state = instance_state::ready;
  record.domain = failure_domain("domain-" + std::to_string(index % domains));
  record.region = region_name("coast");
  record.service = service_name("statements-" + std::to_string(index / 6));
  record.address = "10.0." + std::to_string(index / 256) + "." + std::to_string(index % 256);
  record.peer_port = 7400;
  record.api_port = 7401;
  record.slots = 12;
  return record;
}

mesh_simulation::mesh_simulation(std::size_t count, std::size_t domains, std::uint64_t seed)
    : nodes(count), domains_(domains), random_(seed) {
  for (std::size_t i = 0; i < count; ++i) {
    index_of_[make_record(i, domains).name] = i;
    nodes[i].daemon = std::make_unique<membership_protocol>(make_record(i, domains),
                                                            random_source(seed * count + i));
    for (std::size_t k = 0; k < count; ++k) {
      nodes[i].known().merge(make_record(k, domains), now);
    }
  }
}

void mesh_simulation::start(std::size_t index, std::size_t contact) {
  const std::uint64_t incarnation = nodes[index].incarnation + 1000;
  instance_record self = make_record(index, domains_);
  self.incarnation = incarnation;
  nodes[index] = {std::make_unique<membership_protocol>(self, random_source(incarnation + index)),
                  incarnation, 0};
  nodes[index].known().add_hint(make_record(contact, domains_));
}

void mesh_simulation::run(duration time) {
  for (const time_point end = now + time; now < end; now += step) {
    while (!network_.empty() && network_.begin()->first <= now) {
      const message_in_flight message = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      deliver(message);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].daemon) {
        send(i, nodes[i].daemon->tick(now));
      }
    }
  }
}

void mesh_simulation::send(std::size_t from, const std::vector<outgoing_message>& messages) {
  for (const outgoing_message& message : messages) {
    if (const auto* records = std::get_if<wire::records>(&message.content)) {
      for (const instance_record& record : records->changed) {
        nodes[from].record_bytes += encoded_size(record);
      }
    }
    const std::size_t copies = maximum_delay > duration::zero() && random_.index(4) == 0 ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      network_.emplace(now + step + random_.up_to(maximum_delay),
                       message_in_flight{from, index_of_.at(message.to), nodes[from].incarnation,
                                         message.content});
    }
  }
}

void mesh_simulation::deliver(const message_in_flight& message) {
  if (nodes[message.to].daemon && delivers(message.from, message.to)) {
    send(message.to,
         nodes[message.to].daemon->receive(make_record(message.from, domains_).name,
                                           message.from_incarnation, message.content, now));
  }
}

std::size_t mesh_simulation::count_with_state(std::size_t subject, instance_state state) const {
  const instance_name name = make_record(subject, domains_).name;
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&](const node& candidate) {
        if (!candidate.daemon) {
          return false;
        }
        const instance_record* record = candidate.known().find(name);
        return record == nullptr ? state == instance_state::dead : record->state == state;
      }));
}

std::size_t mesh_simulation::running() const {
  return static_cast<std::size_t>(std::count_if(
      nodes.begin(), nodes.end(), [](const node& candidate) { return bool(candidate.daemon); }));
}

std::uint64_t mesh_simulation::mean_record_bytes() const {
  std::uint64_t bytes = 0;
  for (const node& sender : nodes) {
    bytes += sender.record_bytes;
  }
  return bytes / running();
}

bool mesh_simulation::converged() const {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const bool runs = bool(nodes[i].daemon);
    if (count_with_state(i, runs ? instance_state::ready : instance_state::dead) != running()) {
      return false;
    }
  }
  return true;
}

}  // namespace crocusdoor
