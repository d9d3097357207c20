#include <algorithm>
#include <utility>

#include "request_model_process.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;

constexpr duration network_delay = std::chrono::microseconds(700);
/// Messages that a process reads from one connection before it returns to its event loop.
constexpr std::size_t messages_per_turn = 2;

}  // namespace

void request_model::connect(std::size_t first, std::size_t second) {
  if (!processes_[first]->up() || !processes_[second]->up()) {
    return;
  }
  const auto session = std::make_shared<model_session>();
  session->number = ++connections_;
  session->ends[0].process = first;
  session->ends[0].start = processes_[first]->starts;
  session->ends[1].process = second;
  session->ends[1].start = processes_[second]->starts;
  sessions_.push_back(session);
  for (const auto& [from, to] : {std::pair(first, second), std::pair(second, first)}) {
    wire::hello greeting;
    greeting.self.name = processes_[from]->name;
    greeting.self.incarnation = static_cast<std::uint64_t>(processes_[from]->starts);
    arrive(session, to, {timers_.now(), greeting});
  }
}

void request_model::disconnect(const session_pointer& session) {
  if (!session->carries) {
    return;
  }
  session->carries = false;
  for (const std::size_t index : {session->ends[0].process, session->ends[1].process}) {
    arrive(session, index, {timers_.now(), std::nullopt});
  }
}

void request_model::deliver(const session_pointer& session, std::size_t from,
                            const wire::message& content) {
  timers_.post(network_delay, [this, session, to = session->other(from).process, content,
                               sent_at = timers_.now()] {
    if (session->carries) {
      arrive(session, to, {sent_at, content});
    }
  });
}

void request_model::arrive(const session_pointer& session, std::size_t to,
                           model_session::arrival message) {
  model_session::end& end = session->of(to);
  if (!end.ended) {
    end.unread.push_back(std::move(message));
    schedule_read(session, to);
  }
}

void request_model::schedule_read(const session_pointer& session, std::size_t reader) {
  model_session::end& end = session->of(reader);
  process& daemon = *processes_[reader];
  if (end.read_scheduled || !daemon.up() || daemon.starts != end.start) {
    return;
  }
  end.read_scheduled = true;
  daemon.timers->post([this, session, reader] {
    session->of(reader).read_scheduled = false;
    read(session, reader, messages_per_turn);
    if (!session->of(reader).unread.empty()) {
      schedule_read(session, reader);
    }
  });
}

void request_model::read(const session_pointer& session, std::size_t reader, std::size_t maximum) {
  model_session::end& end = session->of(reader);
  const instance_name from = processes_[session->other(reader).process]->name;
  for (std::size_t count = 0; count < maximum && !end.unread.empty() && !end.ended; ++count) {
    model_session::arrival next = std::move(end.unread.front());
    end.unread.pop_front();
    std::optional<wire::message>& content = next.content;
    if (content.has_value()) {
      if (auto* call = std::get_if<wire::call>(&*content)) {
        call->link = session->number;
        call->transit = std::max(timers_.now() - next.sent_at - network_delay, duration::zero());
      }
      end.greeted = true;
      processes_[reader]->connections->dispatcher().dispatch(from, *content);
    } else {
      end.ended = true;
      processes_[reader]->timers->post([this, session, reader] { session_ended(session, reader); });
    }
  }
}

bool request_model::read_all(std::size_t reader, const instance_name& peer, std::uint64_t link) {
  if (peer == processes_[reader]->name) {
    return true;
  }
  bool open = false;
  for (const session_pointer& session : std::vector<session_pointer>(sessions_)) {
    const model_session::end& end = session->of(reader);
    if (session->connects(reader, positions_.at(peer)) && end.start == processes_[reader]->starts) {
      read(session, reader, end.unread.size());
      open = open || (session->number == link && end.open());
    }
  }
  return open;
}

void request_model::session_ended(const session_pointer& session, std::size_t reader) {
  process& daemon = *processes_[reader];
  const std::size_t peer_index = session->other(reader).process;
  const instance_name& peer = processes_[peer_index]->name;
  daemon.work->link_lost(peer, session->number);
  if (daemon.connections->session_to(peer_index) != nullptr) {
    daemon.router->session_replaced(peer);
  } else {
    daemon.router->peer_lost(peer);
  }
  std::erase_if(sessions_, [](const session_pointer& candidate) {
    const auto is_closed = [](const model_session::end& end) {
      return end.ended && end.unread.empty();
    };
    return is_closed(candidate->ends[0]) && is_closed(candidate->ends[1]);
  });
}

void request_model::reset(std::size_t first, std::size_t second, duration gap) {
  for (const session_pointer& session : std::vector<session_pointer>(sessions_)) {
    if (session->connects(first, second)) {
      disconnect(session);
    }
  }
  timers_.post(gap, [this, first, second] { connect(first, second); });
}

void request_model::silence(std::size_t first, std::size_t second) {
  silenced_at_[std::minmax(first, second)] = timers_.now();
  for (const session_pointer& session : std::vector<session_pointer>(sessions_)) {
    if (session->connects(first, second) && session->carries) {
      session->carries = false;
      for (const std::size_t index : {first, second}) {
        timers_.post(silence_limit, [this, session, index] {
          arrive(session, index, {timers_.now(), std::nullopt});
        });
      }
    }
  }
  timers_.post(silence_limit + milliseconds(50), [this, first, second] { connect(first, second); });
}

}  // namespace crocusdoor
