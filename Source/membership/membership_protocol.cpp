#include "membership/membership_protocol.h"

#include <algorithm>
#include <utility>

#include "membership/topology.h"

namespace crocusdoor {

namespace {

// Records are split over several messages, because a directory of 20,000 records would exceed the
// maximum size of a message.
constexpr std::size_t response_bytes_limit = wire::message_size_limit_bytes / 2;
// Minimum time between two `hello` messages to a peer, so that both ends send one `hello` each on a
// new link.
constexpr duration hello_interval = std::chrono::milliseconds(900);
// Minimum time between two comparisons. A daemon that joins sends `hello` to several others at
// once; a comparison with all of them would transfer the whole directory from each.
constexpr duration comparison_spacing = std::chrono::seconds(1);

}  // namespace

membership_protocol::membership_protocol(const instance_record& self, const random_source& random,
                                         const membership_protocol_limits& limits)
    : limits_(limits), directory_(self, limits.directory), queue_(limits.gossip), random_(random) {}

void membership_protocol::set_state(instance_state state, time_point now) {
  if (const auto changed = directory_.set_self_state(state, now)) {
    queue_.push(*changed);
  }
}

std::vector<outgoing_message> membership_protocol::tick(time_point now) {
  messages out;
  for (const instance_record& changed : directory_.tick(now)) {
    queue_.push(changed);
  }
  if (links_revision_ != directory_.revision()) {
    update_links(now);
  }
  for (auto& [peer, link] : links_) {
    check_link(peer, link, now, out);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + limits_.gossip_interval;
    send_gossip(out);
  }
  if (now >= next_comparison_) {
    compare_with_random_neighbour(now, out);
  }
  if (now >= next_contact_) {
    contact_candidates(now, out);
  }
  return out;
}

void membership_protocol::update_links(time_point now) {
  links_revision_ = directory_.revision();
  const std::vector<instance_name> chosen = control_neighbours(directory_);
  queue_.set_links(chosen);
  std::erase_if(links_, [&](const auto& entry) {
    return std::find(chosen.begin(), chosen.end(), entry.first) == chosen.end();
  });
  for (const instance_name& peer : chosen) {
    links_.try_emplace(peer, control_link{heartbeat_monitor(now, limits_.heartbeats), 0});
  }
}

void membership_protocol::check_link(const instance_name& peer, control_link& link, time_point now,
                                     messages& out) {
  if (const auto sequence = link.monitor.tick(now)) {
    if (link.incarnation != 0) {
      out.push_back({peer, wire::heartbeat{*sequence, {}}});
    } else {
      send_hello(peer, now, out);
    }
  }
  if (link.monitor.condition(now) != link_condition::silent) {
    return;
  }
  if (const instance_record* current = directory_.find(peer)) {
    if (const auto suspected = directory_.neighbour_lost(peer, current->incarnation, now)) {
      queue_.push(*suspected);
    }
  }
  link = {heartbeat_monitor(now, limits_.heartbeats), 0};
}

void membership_protocol::send_gossip(messages& out) {
  for (const auto& [peer, link] : links_) {
    std::vector<instance_record> batch = queue_.next_batch(peer);
    if (!batch.empty()) {
      out.push_back({peer, wire::records{std::move(batch)}});
    }
  }
}

void membership_protocol::compare_with_random_neighbour(time_point now, messages& out) {
  // The first comparison is at a random time, so that daemons started together do not compare at
  // the same time.
  const bool first = next_comparison_ == time_point{};
  next_comparison_ =
      now + (first ? random_.up_to(limits_.comparison_interval) : limits_.comparison_interval);
  if (first || links_.empty()) {
    return;
  }
  const auto chosen =
      std::next(links_.begin(), static_cast<std::ptrdiff_t>(random_.index(links_.size())));
  request_comparison(chosen->first, now, out);
}

void membership_protocol::contact_candidates(time_point now, messages& out) {
  next_contact_ = now + limits_.contact_interval / 2 + random_.up_to(limits_.contact_interval);
  for (const instance_record& candidate : directory_.contacts(limits_.contacts_at_once, random_)) {
    send_hello(candidate.name, now, out);
  }
}

void membership_protocol::send_hello(const instance_name& peer, time_point now, messages& out) {
  std::erase_if(hello_sent_at_,
                [&](const auto& sent) { return now - sent.second >= hello_interval; });
  if (hello_sent_at_.emplace(peer, now).second) {
    out.push_back({peer, wire::hello{directory_.self(), {}, 0}});
  }
}

std::vector<outgoing_message> membership_protocol::receive(const instance_name& from,
                                                           std::uint64_t incarnation,
                                                           const wire::message& content,
                                                           time_point now) {
  messages out;
  if (const auto* hello = std::get_if<wire::hello>(&content)) {
    on(*hello, from, incarnation, now, out);
  } else if (const auto* heartbeat = std::get_if<wire::heartbeat>(&content)) {
    out.push_back({from, wire::heartbeat_answer{heartbeat->sequence, {}}});
  } else if (const auto* answer = std::get_if<wire::heartbeat_answer>(&content)) {
    on(*answer, from, incarnation, now, out);
  } else if (const auto* request = std::get_if<wire::records_request>(&content)) {
    on(*request, from, out);
  } else if (const auto* records = std::get_if<wire::records>(&content)) {
    merge_records(from, records->changed, now);
  }
  return out;
}

void membership_protocol::on(const wire::hello& hello, const instance_name& from,
                             std::uint64_t incarnation, time_point now, messages& out) {
  if (hello.self.name != from || hello.self.incarnation != incarnation) {
    return;
  }
  merge_records(from, {hello.self}, now);
  peer_seen(from, incarnation, now, out);
  send_hello(from, now, out);
  const auto link = links_.find(from);
  if (link != links_.end() && link->second.incarnation != incarnation) {
    link->second = {heartbeat_monitor(now, limits_.heartbeats), incarnation};
  }
  request_comparison(from, now, out);
}

void membership_protocol::request_comparison(const instance_name& peer, time_point now,
                                             messages& out) {
  if (now < comparison_allowed_) {
    next_comparison_ = std::min(next_comparison_, comparison_allowed_);
    return;
  }
  comparison_allowed_ = now + comparison_spacing;
  out.push_back({peer, wire::records_request{directory_.bucket_fingerprints(), false}});
}

void membership_protocol::on(const wire::heartbeat_answer& answer, const instance_name& from,
                             std::uint64_t incarnation, time_point now, messages& out) {
  const auto link = links_.find(from);
  if (link != links_.end() && link->second.incarnation == incarnation &&
      link->second.monitor.answered(answer.sequence, now)) {
    peer_seen(from, incarnation, now, out);
  }
}

void membership_protocol::on(const wire::records_request& request, const instance_name& from,
                             messages& out) const {
  std::vector<instance_record> part;
  std::size_t bytes = 0;
  for (instance_record& record : directory_.differing(request.fingerprints)) {
    bytes += encoded_size(record);
    part.push_back(std::move(record));
    if (bytes >= response_bytes_limit) {
      out.push_back({from, wire::records{std::exchange(part, {})}});
      bytes = 0;
    }
  }
  if (!part.empty()) {
    out.push_back({from, wire::records{std::move(part)}});
  }
}

void membership_protocol::peer_seen(const instance_name& peer, std::uint64_t incarnation,
                                    time_point now, messages& out) {
  if (const auto refutable = directory_.neighbour_seen(peer, incarnation, now)) {
    out.push_back({peer, wire::records{{*refutable}}});
  }
}

void membership_protocol::merge_records(const instance_name& from,
                                        const std::vector<instance_record>& changed,
                                        time_point now) {
  for (const instance_record& record : changed) {
    queue_.known_by(from, record);
    if (directory_.merge(record, now)) {
      const instance_record& current = *directory_.find(record.name);
      queue_.push(current, current == record ? from : instance_name());
    }
  }
}

void membership_protocol::link_closed(const instance_name& peer) {
  const auto link = links_.find(peer);
  if (link != links_.end()) {
    link->second.incarnation = 0;
  }
}

std::vector<instance_name> membership_protocol::neighbours() const {
  std::vector<instance_name> names;
  names.reserve(links_.size());
  for (const auto& [name, link] : links_) {
    names.push_back(name);
  }
  return names;
}

std::optional<duration> membership_protocol::round_trip(const instance_name& peer) const {
  const auto link = links_.find(peer);
  return link == links_.end() ? std::nullopt : link->second.monitor.round_trip();
}

}  // namespace crocusdoor
