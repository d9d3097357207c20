#pragma once

#include <cstdint>

#include "daemon/message_dispatcher.h"
#include "wire/message.h"

namespace crocusdoor {

/// Interface of the links to other daemons for classes that send and receive messages.
class peer_links {
 public:
  peer_links() = default;
  virtual ~peer_links() = default;
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  [[nodiscard]] virtual message_dispatcher& dispatcher() noexcept = 0;
  /// Sends over an open link. Returns false if there is none; the message was then not written.
  virtual bool send(const instance_name& peer, const wire::message& content) = 0;
  /// Opens a link to an instance unless one is open or being opened.
  virtual void ensure_link(const instance_name& peer) = 0;
  [[nodiscard]] virtual bool linked(const instance_name& peer) const = 0;
  /// Incarnation of the peer's process in the latest `hello` from that instance; 0 if there was
  /// none.
  [[nodiscard]] virtual std::uint64_t incarnation_of(const instance_name& peer) const = 0;

  /// Incarnation of the process that sent the cancelled call, which may have ended since.
  [[nodiscard]] std::uint64_t call_sender_incarnation(const instance_name& from,
                                                      const wire::call_cancel& content) const {
    return content.sender_incarnation != 0 ? content.sender_incarnation : incarnation_of(from);
  }
};

}  // namespace crocusdoor
