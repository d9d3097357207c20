#include "daemon/peer_session.h"

#include <utility>

#include "wire/message_codec.h"

namespace crocusdoor {

namespace {

template <typename... Kinds>
bool is_one_of(const wire::message& content) {
  return (std::holds_alternative<Kinds>(content) || ...);
}

/// Whether a caller may be waiting for what a message leads to. Only then a silent link must be
/// noticed soon. In a fleet of hundreds, each change of an instance is sent over all links.
bool belongs_to_request(const wire::message& content) {
  return is_one_of<wire::call, wire::call_answer, wire::call_cancel, wire::call_status,
                   wire::call_status_answer, wire::claim_request, wire::claim_answer,
                   wire::claim_complete, wire::claim_complete_answer, wire::body_request,
                   wire::body_part>(content);
}

/// Whether a message tells the peer the outcome of something that it has asked for.
bool is_response(const wire::message& content) {
  return is_one_of<wire::call_answer, wire::call_status_answer, wire::claim_answer,
                   wire::claim_complete_answer>(content);
}

}  // namespace

std::shared_ptr<peer_session> peer_session::connect(const std::shared_ptr<const context>& shared,
                                                    const ip_endpoint& remote,
                                                    const instance_name& expected,
                                                    duration timeout) {
  std::shared_ptr<peer_session> session(new peer_session(shared));
  session->peer_ = expected;
  session->link_ = peer_link::connect(shared->loop, remote, timeout, session->make_handlers());
  session->start_hello_timeout();
  return session;
}

std::shared_ptr<peer_session> peer_session::accept(const std::shared_ptr<const context>& shared,
                                                   std::intptr_t descriptor) {
  std::shared_ptr<peer_session> session(new peer_session(shared));
  session->link_ = peer_link::accept(shared->loop, descriptor, session->make_handlers());
  session->start_hello_timeout();
  return session;
}

peer_link::handlers peer_session::make_handlers() {
  // The link owns these handlers, and with them the session, until it has closed.
  const std::shared_ptr<peer_session> self = shared_from_this();
  return {
      [self](peer_link&) { self->link_opened(); },
      [self](peer_link&, wire::envelope message) { self->message_received(std::move(message)); },
      [self](peer_link&, const std::string& reason) { self->link_closed(reason); },
      [codec = shared_->codec](std::string_view payload) {
        return wire::compact_codec::is_compact(payload) ? codec->decode(payload)
                                                        : wire::decode(payload);
      }};
}

bool peer_session::send(wire::message content) {
  if (belongs_to_request(content)) {
    schedule_.used(shared_->loop.now());
  }
  const wire::envelope message{shared_->configuration_version(), std::move(content),
                               event_loop::since_boot()};
  return send_encoded(message.content,
                      sends_compact_ ? shared_->codec->encode(message) : wire::encode(message));
}

bool peer_session::send(const wire::shared_message& content) {
  const version_number version = shared_->configuration_version();
  const std::chrono::microseconds sent_at = event_loop::since_boot();
  // A large body is deflated once for all links instead of once for each of them.
  const bool compact = sends_compact_ && content.deflated_body().empty();
  return send_encoded(content.content(),
                      compact ? shared_->codec->encode(version, content, sent_at)
                              : wire::encode(version, content, peer_reads_deflated_, sent_at));
}

bool peer_session::send_encoded(const wire::message& content, const std::string& payload) {
  const bool accepted = link_->send_encoded(payload);
  if (accepted) {
    shared_->traffic->count(scope_, wire::kind_of(content), payload.size());
    if (is_response(content)) {
      responses_end_ = link_->bytes_sent();
    }
  }
  return accepted;
}

bool peer_session::holds_response() {
  const bool acknowledged =
      responses_end_ == 0 || link_->bytes_sent() - link_->unacknowledged_bytes() >= responses_end_;
  if (acknowledged) {
    responses_end_ = 0;  // Saves asking the kernel again.
  }
  return !acknowledged;
}

void peer_session::close(const std::string& reason) {
  link_->close(reason);
}

void peer_session::announce_version() {
  send(wire::heartbeat{++heartbeat_sequence_, shared_->configuration_digest(),
                       shared_->load ? shared_->load() : std::nullopt,
                       shared_->store_era ? shared_->store_era() : std::nullopt});
}

void peer_session::link_opened() {
  schedule_.received(shared_->loop.now());
  wire::hello greeting = shared_->make_hello(peer_);
  greeting.reads_deflated = true;
  greeting.dictionary = shared_->codec->dictionary_id();
  if (!peer_.empty()) {
    greeting.to = peer_;
  }
  send(greeting);
}

void peer_session::start_hello_timeout() {
  // The kernel also accepts connections for a process that hangs, so an open connection alone does
  // not show that the other daemon responds.
  std::weak_ptr<peer_session> weak = weak_from_this();
  hello_timer_ = shared_->loop.after(shared_->intervals().silence_limit, [weak] {
    const auto session = weak.lock();
    if (session != nullptr && !session->established_) {
      session->close("no hello message received from the peer within the silence limit");
    }
  });
}

void peer_session::check_heartbeat() {
  const heartbeat_intervals intervals = shared_->intervals();
  const time_point now = shared_->loop.now();
  if (schedule_.is_silent(intervals, now)) {
    close("heartbeat timed out");
  } else if (schedule_.due(intervals, now)) {
    announce_version();
  }
}

void peer_session::message_received(wire::envelope message) {
  const time_point now = shared_->loop.now();
  schedule_.received(now);
  if (const auto* greeting = std::get_if<wire::hello>(&message.content)) {
    accept_hello(message, *greeting);
    return;
  }
  if (!established_) {
    close("peer sent another message before its hello message");
    return;
  }
  if (belongs_to_request(message.content)) {
    schedule_.used(now);
  }
  const auto* heartbeat = std::get_if<wire::heartbeat>(&message.content);
  if (heartbeat != nullptr && shared_->respond_to_heartbeats) {
    send(wire::heartbeat_answer{heartbeat->sequence, shared_->configuration_digest()});
  }
  const duration transit = message.sent_at.count() > 0
                               ? transit_.observe(message.sent_at, event_loop::since_boot())
                               : duration::zero();
  if (auto* request = std::get_if<wire::call>(&message.content)) {
    request->transit = transit;
    request->link = number_;
  }
  shared_->received(shared_from_this(), message);
}

void peer_session::accept_hello(const wire::envelope& message, const wire::hello& greeting) {
  if (!peer_.empty() && peer_ != greeting.self.name) {
    close("expected instance " + peer_.str() + ", found " + greeting.self.name.str());
    shared_->peer_replaced(peer_);
    return;
  }
  if (greeting.to.value_or(shared_->self) != shared_->self) {
    close("the hello message of the peer is addressed to instance " + greeting.to->str());
    return;
  }
  peer_ = greeting.self.name;
  peer_reads_deflated_ = greeting.reads_deflated;
  scope_ =
      greeting.self.domain == shared_->domain ? link_scope::same_domain : link_scope::other_domain;
  // Within a failure domain bytes are cheaper than the processor time for compact messages.
  sends_compact_ =
      scope_ == link_scope::other_domain && greeting.dictionary == shared_->codec->dictionary_id();
  const bool first_hello = !established_;
  established_ = true;
  shared_->received(shared_from_this(), message);
  if (first_hello) {
    shared_->established(shared_from_this(), greeting);
  }
}

void peer_session::link_closed(const std::string& reason) {
  hello_timer_ = nullptr;
  shared_->ended(shared_from_this(), reason);
}

}  // namespace crocusdoor
