#include "daemon/peer_mesh.h"

#include <algorithm>
#include <utility>

#include "daemon/event_log.h"

namespace crocusdoor {

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(200);
constexpr int doubling_limit = 6;

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
      loop_, settings_.self, [this] { return intervals(); }, callbacks_.make_hello,
      std::make_shared<std::uint64_t>(0), callbacks_.configuration_version,
      callbacks_.configuration_digest, callbacks_.load, settings_.answer_heartbeats,
      while_alive([this](const auto& session, const wire::hello& greeting) {
        session_established(session, greeting);
      }),
      while_alive([this](const auto& session, const wire::envelope& value) {
        callbacks_.version_reported(session->peer(), value.configuration_version);
        dispatcher_.dispatch(session->peer(), value.content);
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
  maintenance_ = loop_.every(maintenance_interval, [this] { maintain_permanent_links(); });
}

peer_mesh::~peer_mesh() {
  const session_list open = all_sessions();
  alive_ = nullptr;
  for (const auto& session : open) {
    session->close("this daemon ends");
  }
}

peer_mesh::session_list peer_mesh::all_sessions() const {
  session_list all(anonymous_.begin(), anonymous_.end());
  for (const auto& [peer, list] : sessions_) {
    all.insert(all.end(), list.begin(), list.end());
  }
  for (const auto& [peer, session] : dialling_) {
    all.push_back(session);
  }
  return all;
}

heartbeat_intervals peer_mesh::intervals() const {
  const auto links = static_cast<duration::rep>(sessions_.size());
  return {settings_.heartbeat_interval,
          std::max(settings_.heartbeat_interval, settings_.idle_interval_per_link * links),
          settings_.heartbeat_timeout};
}

void peer_mesh::check_heartbeats() {
  for (const auto& [peer, list] : sessions_) {
    for (const auto& session : list) {
      session->check_heartbeat();
    }
  }
}

void peer_mesh::connection_accepted(std::intptr_t descriptor) {
  anonymous_.insert(peer_session::accept(context_, descriptor));
}

void peer_mesh::dial(const ip_endpoint& remote) {
  anonymous_.insert(peer_session::connect(context_, remote, instance_name()));
}

void peer_mesh::ensure_link(const instance_name& peer) {
  const bool needless = peer == settings_.self || linked(peer) || dialling_.contains(peer);
  if (needless) {
    return;
  }
  const auto endpoint = callbacks_.find_endpoint(peer);
  if (endpoint.has_value()) {
    dialling_[peer] = peer_session::connect(context_, *endpoint, peer);
  }
}

void peer_mesh::set_permanent_peers(std::set<instance_name> peers) {
  permanent_ = std::move(peers);
  maintain_permanent_links();
}

void peer_mesh::maintain_permanent_links() {
  const time_point now = loop_.now();
  for (const instance_name& peer : permanent_) {
    if (linked(peer)) {
      continue;
    }
    const duration wait = peer < settings_.self ? settings_.passive_delay : duration::zero();
    const auto due = next_attempt_.try_emplace(peer, now + wait).first;
    if (due->second <= now) {
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
    session->link()->read_arrived();
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
  const wire::shared_message once(content);
  for (const instance_name& peer : linked_peers()) {
    if (peer != except) {
      send(peer, once);
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
  for (const auto& [peer, list] : sessions_) {
    peers.push_back(peer);
  }
  return peers;
}

void peer_mesh::session_established(const std::shared_ptr<peer_session>& session,
                                    const wire::hello& greeting) {
  const instance_name peer = session->peer();
  anonymous_.erase(session);
  const auto dialled = dialling_.find(peer);
  if (dialled != dialling_.end() && dialled->second == session) {
    dialling_.erase(dialled);
  }
  if (peer == settings_.self) {
    session->close("connected to itself");
    return;
  }
  sessions_[peer].push_back(session);
  incarnations_[peer] = greeting.self.incarnation;
  failed_attempts_.erase(peer);
  next_attempt_.erase(peer);
  LOG_EVENT(INFO, "peer_linked") << field("peer", peer);
  callbacks_.peer_established(peer, greeting);
}

void peer_mesh::session_ended(const std::shared_ptr<peer_session>& session,
                              const std::string& reason) {
  closed_bytes_sent_ += session->link()->bytes_sent();
  closed_bytes_received_ += session->link()->bytes_received();
  closed_refused_messages_ += session->link()->refused_messages();
  anonymous_.erase(session);
  const instance_name peer = session->peer();
  const auto dialled = dialling_.find(peer);
  if (dialled != dialling_.end() && dialled->second == session) {
    dialling_.erase(dialled);
    const int failures = std::min(++failed_attempts_[peer], doubling_limit);
    const duration ceiling =
        std::min(settings_.first_retry_delay * (1 << failures), settings_.longest_retry_delay);
    next_attempt_[peer] = loop_.now() + random_.up_to(ceiling);
    callbacks_.dial_failed(peer);
  }
  const auto found = sessions_.find(peer);
  if (found == sessions_.end()) {
    return;
  }
  const bool was_listed = std::erase(found->second, session) > 0;
  if (was_listed && callbacks_.link_lost) {
    callbacks_.link_lost(peer, session->number());
  }
  if (found->second.empty()) {
    sessions_.erase(found);
    LOG_EVENT(INFO, "peer_lost") << field("peer", peer) << field("reason", reason);
    callbacks_.peer_lost(peer, reason);
  } else if (was_listed && callbacks_.session_replaced) {
    callbacks_.session_replaced(peer);
  }
}

std::uint64_t peer_mesh::total_of(std::uint64_t closed_links, link_counter counter) const {
  std::uint64_t total = closed_links;
  for (const auto& [peer, list] : sessions_) {
    for (const auto& session : list) {
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

std::uint64_t peer_mesh::refused_messages() const {
  return total_of(closed_refused_messages_, &peer_link::refused_messages);
}

}  // namespace crocusdoor
