#include "daemon/peer_mesh.h"

#include <algorithm>
#include <utility>

#include "daemon/event_log.h"

namespace crocusdoor {

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(200);
constexpr int max_doublings = 6;

/// The kernel repeats the first packet of a connection only after a second, and later with growing
/// pauses, so a peer that was without power when it was dialled would be found seconds after its
/// return. A new attempt sends a packet at once.
constexpr duration first_connect_timeout = std::chrono::milliseconds(250);
constexpr duration maximum_connect_timeout = std::chrono::milliseconds(1'000);

}  // namespace

template <typename Action>
auto peer_mesh::while_alive(Action action) const {
  return [alive = std::weak_ptr(alive_), action](const auto&... arguments) {
    if (!alive.expired()) {
      action(arguments...);
    }
  };
}

peer_mesh::peer_mesh(event_loop& loop, random_source& random, configuration settings,
                     handlers callbacks)
    : loop_(loop),
      random_(random),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)) {
  context_ = std::make_shared<const peer_session::context>(peer_session::context{
      loop_, settings_.self, settings_.domain, [this] { return intervals(); },
      callbacks_.make_hello, std::make_shared<std::uint64_t>(0), std::make_shared<link_traffic>(),
      std::make_shared<const wire::compact_codec>(settings_.frequent_texts),
      callbacks_.configuration_version, callbacks_.configuration_digest, callbacks_.load,
      callbacks_.store_era, settings_.respond_to_heartbeats,
      while_alive([this](const auto& session, const wire::hello& greeting) {
        session_established(session, greeting);
      }),
      while_alive([this](const auto& session, const wire::envelope& message) {
        callbacks_.version_reported(session->peer(), message.configuration_version);
        dispatcher_.dispatch(session->peer(), message.content);
      }),
      while_alive([this](const auto& session, const std::string& reason) {
        session_ended(session, reason);
      }),
      while_alive([this](const instance_name& dialled) {
        if (callbacks_.peer_replaced) {
          callbacks_.peer_replaced(dialled);
        }
      })});
  listener_ = std::make_unique<tcp_listener>(
      loop_, settings_.listen,
      [this](std::intptr_t descriptor) { connection_accepted(descriptor); });
  heartbeat_timer_ = loop_.every(settings_.heartbeat_interval, [this] { check_heartbeats(); });
  maintenance_timer_ = loop_.every(maintenance_interval, [this] { maintain_permanent_links(); });
}

peer_mesh::~peer_mesh() {
  const session_list open = all_sessions();
  alive_ = nullptr;
  for (const auto& session : open) {
    session->close("this daemon is shutting down");
  }
}

peer_mesh::session_list peer_mesh::all_sessions() const {
  session_list result(unidentified_sessions_.begin(), unidentified_sessions_.end());
  for (const auto& [peer, sessions] : sessions_) {
    result.insert(result.end(), sessions.begin(), sessions.end());
  }
  for (const auto& [peer, session] : dialled_sessions_) {
    result.push_back(session);
  }
  return result;
}

heartbeat_intervals peer_mesh::intervals() const {
  const auto links = static_cast<duration::rep>(sessions_.size());
  return {settings_.heartbeat_interval,
          std::max(settings_.heartbeat_interval, settings_.idle_interval_per_link * links),
          settings_.heartbeat_timeout};
}

void peer_mesh::check_heartbeats() {
  for (const auto& [peer, sessions] : sessions_) {
    for (const auto& session : sessions) {
      session->check_heartbeat();
    }
  }
}

void peer_mesh::connection_accepted(std::intptr_t descriptor) {
  unidentified_sessions_.insert(peer_session::accept(context_, descriptor));
}

void peer_mesh::dial(const ip_endpoint& remote) {
  unidentified_sessions_.insert(
      peer_session::connect(context_, remote, instance_name(), maximum_connect_timeout));
}

void peer_mesh::ensure_link(const instance_name& peer) {
  const bool unnecessary =
      peer == settings_.self || linked(peer) || dialled_sessions_.contains(peer);
  if (unnecessary) {
    return;
  }
  const auto endpoint = callbacks_.find_endpoint(peer);
  if (endpoint.has_value()) {
    dialled_sessions_[peer] =
        peer_session::connect(context_, *endpoint, peer, connect_timeout(peer));
  }
}

duration peer_mesh::connect_timeout(const instance_name& peer) const {
  const auto failures = failed_dials_.find(peer);
  const int doublings = failures == failed_dials_.end() ? 0 : failures->second;
  return std::min<duration>(first_connect_timeout * (1 << doublings), maximum_connect_timeout);
}

void peer_mesh::set_permanent_peers(std::set<instance_name> peers) {
  permanent_peers_ = std::move(peers);
  maintain_permanent_links();
}

void peer_mesh::maintain_permanent_links() {
  const time_point now = loop_.now();
  for (const instance_name& peer : permanent_peers_) {
    if (linked(peer)) {
      continue;
    }
    const duration wait = peer < settings_.self ? settings_.passive_delay : duration::zero();
    const auto next_dial = next_dial_.try_emplace(peer, now + wait).first;
    if (next_dial->second <= now) {
      ensure_link(peer);
    }
  }
}

std::shared_ptr<peer_session> peer_mesh::best_session(const instance_name& peer) const {
  const auto found = sessions_.find(peer);
  if (found == sessions_.end()) {
    return nullptr;
  }
  std::shared_ptr<peer_session> best;
  for (const auto& session : found->second) {
    const bool better = best == nullptr || session->silence() < best->silence();
    if (session->link()->is_open() && better) {
      best = session;
    }
  }
  return best;
}

bool peer_mesh::send(const instance_name& peer, const wire::message& content) {
  const std::shared_ptr<peer_session> session = best_session(peer);
  return session != nullptr && session->send(content);
}

bool peer_mesh::read_received_data(const instance_name& peer, std::uint64_t link) {
  const auto found = sessions_.find(peer);
  const session_list sessions = found == sessions_.end() ? session_list() : found->second;
  for (const auto& session : sessions) {
    session->link()->read_pending();
  }
  return std::any_of(sessions.begin(), sessions.end(), [link](const auto& session) {
    return session->number() == link && session->link()->is_open();
  });
}

bool peer_mesh::send(const instance_name& peer, const wire::shared_message& content) {
  const std::shared_ptr<peer_session> session = best_session(peer);
  return session != nullptr && session->send(content);
}

void peer_mesh::send_to_all(const wire::message& content, const instance_name& except) {
  const wire::shared_message shared_content(content);
  for (const instance_name& peer : linked_peers()) {
    if (peer != except) {
      send(peer, shared_content);
    }
  }
}

void peer_mesh::announce_version() {
  for (const instance_name& peer : linked_peers()) {
    announce_version(peer);
  }
}

void peer_mesh::announce_version(const instance_name& peer) {
  if (const auto session = best_session(peer)) {
    session->announce_version();
  }
}

bool peer_mesh::linked(const instance_name& peer) const {
  return best_session(peer) != nullptr;
}

std::uint64_t peer_mesh::incarnation_of(const instance_name& peer) const {
  const auto found = incarnations_.find(peer);
  return found == incarnations_.end() ? 0 : found->second;
}

std::vector<instance_name> peer_mesh::linked_peers() const {
  std::vector<instance_name> peers;
  peers.reserve(sessions_.size());
  for (const auto& [peer, sessions] : sessions_) {
    peers.push_back(peer);
  }
  return peers;
}

void peer_mesh::session_established(const std::shared_ptr<peer_session>& session,
                                    const wire::hello& greeting) {
  const instance_name peer = session->peer();
  unidentified_sessions_.erase(session);
  const auto dialled = dialled_sessions_.find(peer);
  if (dialled != dialled_sessions_.end() && dialled->second == session) {
    dialled_sessions_.erase(dialled);
  }
  if (peer == settings_.self) {
    session->close("the hello message of the peer carries this daemon's own instance name");
    return;
  }
  sessions_[peer].push_back(session);
  incarnations_[peer] = greeting.self.incarnation;
  failed_dials_.erase(peer);
  next_dial_.erase(peer);
  LOG_EVENT(INFO, "peer_linked") << field("peer", peer);
  callbacks_.peer_established(peer, greeting);
}

void peer_mesh::session_ended(const std::shared_ptr<peer_session>& session,
                              const std::string& reason) {
  closed_bytes_sent_ += session->link()->bytes_sent();
  closed_bytes_received_ += session->link()->bytes_received();
  closed_refused_messages_ += session->link()->refused_messages();
  unidentified_sessions_.erase(session);
  const instance_name peer = session->peer();
  const auto dialled = dialled_sessions_.find(peer);
  if (dialled != dialled_sessions_.end() && dialled->second == session) {
    dialled_sessions_.erase(dialled);
    const int failures = std::min(++failed_dials_[peer], max_doublings);
    const duration ceiling =
        std::min(settings_.first_retry_delay * (1 << failures), settings_.max_retry_delay);
    next_dial_[peer] = loop_.now() + random_.up_to(ceiling);
    callbacks_.dial_failed(peer);
  }
  const auto found = sessions_.find(peer);
  if (found == sessions_.end()) {
    return;
  }
  const bool was_established = std::erase(found->second, session) > 0;
  if (was_established && callbacks_.responses_unsent && session->holds_response()) {
    callbacks_.responses_unsent(peer, reason);
  }
  if (was_established && callbacks_.link_lost) {
    callbacks_.link_lost(peer, session->number());
  }
  if (found->second.empty()) {
    sessions_.erase(found);
    LOG_EVENT(INFO, "peer_lost") << field("peer", peer) << field("reason", reason);
    callbacks_.peer_lost(peer, reason);
  } else if (was_established && callbacks_.session_replaced) {
    callbacks_.session_replaced(peer);
  }
}

std::uint64_t peer_mesh::total_of(std::uint64_t closed_links, link_counter counter) const {
  std::uint64_t total = closed_links;
  for (const auto& [peer, sessions] : sessions_) {
    for (const auto& session : sessions) {
      total += (*session->link().*counter)();
    }
  }
  return total;
}

std::uint64_t peer_mesh::bytes_sent() const {
  return total_of(closed_bytes_sent_, &peer_link::bytes_sent);
}

std::uint64_t peer_mesh::bytes_received() const {
  return total_of(closed_bytes_received_, &peer_link::bytes_received);
}

std::size_t peer_mesh::unsent_output() const {
  std::size_t bytes = 0;
  for (const auto& session : all_sessions()) {
    bytes += session->link()->unsent_output();
  }
  return bytes;
}

std::size_t peer_mesh::links_with_responses() const {
  std::size_t count = 0;
  for (const auto& [peer, sessions] : sessions_) {
    for (const auto& session : sessions) {
      count += session->holds_response() ? 1 : 0;
    }
  }
  return count;
}

std::uint64_t peer_mesh::refused_messages() const {
  return total_of(closed_refused_messages_, &peer_link::refused_messages);
}

}  // namespace crocusdoor
