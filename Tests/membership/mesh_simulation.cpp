#include "mesh_simulation.h"

#include <algorithm>

#include "membership/record_order.h"
#include "membership/topology.h"

namespace crocusdoor {

namespace {

bool is_due(time_point now, std::size_t index, duration period) {
  const auto phase = static_cast<duration::rep>(index) * mesh_simulation::step.count();
  return (now.time_since_epoch().count() + phase) % period.count() == 0;
}

}  // namespace

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
    nodes[i].known = std::make_unique<directory>(make_record(i, domains));
  }
  for (node& one : nodes) {
    for (std::size_t i = 0; i < count; ++i) {
      one.known->merge(make_record(i, domains), now);
    }
  }
}

void mesh_simulation::start(std::size_t index, std::size_t contact) {
  const std::uint64_t incarnation = nodes[index].incarnation + 1000;
  nodes[index] = node();
  nodes[index].incarnation = incarnation;
  instance_record self = make_record(index, domains_);
  self.incarnation = incarnation;
  nodes[index].known = std::make_unique<directory>(self);
  nodes[index].known->add_hint(make_record(contact, domains_));
}

void mesh_simulation::run(duration time) {
  for (const time_point end = now + time; now < end; now += step) {
    while (!network_.empty() && network_.front().arrives <= now) {
      const transit one = std::move(network_.front());
      network_.pop_front();
      deliver(one);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].known) {
        advance(i);
      }
    }
  }
}

void mesh_simulation::advance(std::size_t index) {
  node& one = nodes[index];
  for (const instance_record& changed : one.known->tick(now)) {
    one.queue.push(changed);
  }
  if (one.seen_revision != one.known->revision()) {
    update_links(index);
  }
  for (auto& [peer, link] : one.links) {
    if (const auto sequence = link.monitor.tick(now)) {
      send(index, peer,
           link.incarnation != 0 ? wire::message(wire::heartbeat{*sequence, {}})
                                 : wire::message(wire::hello{one.known->self(), {}, 0}));
    }
    if (link.monitor.condition(now) == link_condition::silent) {
      const instance_record* held = one.known->find(peer);
      if (const auto suspected = one.known->neighbour_lost(peer, held->incarnation, now)) {
        one.queue.push(*suspected);
      }
      link = {heartbeat_monitor(now), 0};
    }
  }
  send_gossip(index);
}

void mesh_simulation::update_links(std::size_t index) {
  node& one = nodes[index];
  one.seen_revision = one.known->revision();
  const std::vector<instance_name> chosen = control_neighbours(*one.known);
  one.queue.set_links(chosen);
  std::erase_if(one.links, [&](const auto& link) {
    return std::find(chosen.begin(), chosen.end(), link.first) == chosen.end();
  });
  for (const instance_name& peer : chosen) {
    one.links.try_emplace(peer, peer_link{heartbeat_monitor(now), 0});
  }
}

void mesh_simulation::send_gossip(std::size_t index) {
  node& one = nodes[index];
  if (is_due(now, index, std::chrono::milliseconds(200))) {
    for (const auto& [peer, link] : one.links) {
      const std::vector<instance_record> batch = one.queue.next_batch(peer);
      if (!batch.empty()) {
        send(index, peer, wire::records{batch});
      }
    }
  }
  if (is_due(now, index, std::chrono::seconds(10)) && !one.links.empty()) {
    const auto chosen =
        std::next(one.links.begin(), static_cast<std::ptrdiff_t>(random_.index(one.links.size())));
    send(index, chosen->first, wire::records_request{one.known->bucket_fingerprints()});
  }
  if (is_due(now, index, std::chrono::seconds(2))) {
    for (const instance_record& contact : one.known->contacts(1, random_)) {
      send(index, contact.name, wire::hello{one.known->self(), {}, 0});
    }
  }
}

void mesh_simulation::send(std::size_t from, const instance_name& to, wire::message content,
                           bool is_reply) {
  if (const auto* sent = std::get_if<wire::records>(&content)) {
    for (const instance_record& record : sent->changed) {
      nodes[from].record_bytes += encoded_size(record);
    }
  }
  network_.push_back(
      {now + step, from, index_of_.at(to), nodes[from].incarnation, is_reply, std::move(content)});
}

void mesh_simulation::deliver(const transit& one) {
  node& receiver = nodes[one.to];
  if (!receiver.known || !passes(one.from, one.to)) {
    return;
  }
  const instance_name from = make_record(one.from, domains_).name;
  const auto link = receiver.links.find(from);
  if (const auto* greeting = std::get_if<wire::hello>(&one.content)) {
    deliver_records(one.to, from, {greeting->self});
    if (const auto mark = receiver.known->neighbour_heard(from, one.from_incarnation, now)) {
      send(one.to, from, wire::records{{*mark}});
    }
    if (!one.is_reply) {
      send(one.to, from, wire::hello{receiver.known->self(), {}, 0}, true);
    } else if (link != receiver.links.end()) {
      link->second = {heartbeat_monitor(now), one.from_incarnation};
    }
    send(one.to, from, wire::records_request{receiver.known->bucket_fingerprints()});
  } else if (const auto* beat = std::get_if<wire::heartbeat>(&one.content)) {
    send(one.to, from, wire::heartbeat_answer{beat->sequence, {}});
  } else if (const auto* answer = std::get_if<wire::heartbeat_answer>(&one.content)) {
    if (link == receiver.links.end() || link->second.incarnation != one.from_incarnation) {
      return;
    }
    link->second.monitor.answered(answer->sequence, now);
    if (const auto mark = receiver.known->neighbour_heard(from, one.from_incarnation, now)) {
      send(one.to, from, wire::records{{*mark}});
    }
  } else if (const auto* request = std::get_if<wire::records_request>(&one.content)) {
    const std::vector<instance_record> differing = receiver.known->differing(request->buckets);
    if (!differing.empty()) {
      send(one.to, from, wire::records{differing});
    }
  } else if (const auto* records = std::get_if<wire::records>(&one.content)) {
    deliver_records(one.to, from, records->changed);
  }
}

void mesh_simulation::deliver_records(std::size_t index, const instance_name& from,
                                      const std::vector<instance_record>& changed) {
  node& receiver = nodes[index];
  for (const instance_record& record : changed) {
    receiver.queue.known_by(from, record);
    if (receiver.known->merge(record, now)) {
      const instance_record& held = *receiver.known->find(record.name);
      receiver.queue.push(held, held == record ? from : instance_name());
    }
  }
}

std::size_t mesh_simulation::holding(std::size_t subject, instance_state state) const {
  const instance_name name = make_record(subject, domains_).name;
  return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const node& one) {
    if (!one.known) {
      return false;
    }
    const instance_record* held = one.known->find(name);
    return held == nullptr ? state == instance_state::dead : held->state == state;
  }));
}

std::size_t mesh_simulation::running() const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [](const node& one) { return bool(one.known); }));
}

bool mesh_simulation::converged() const {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const bool runs = bool(nodes[i].known);
    if (holding(i, runs ? instance_state::ready : instance_state::dead) != running()) {
      return false;
    }
  }
  return true;
}

}  // namespace crocusdoor
