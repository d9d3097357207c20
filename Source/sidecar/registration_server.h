#pragma once

#include <memory>
#include <string>

#include "sidecar/entry_writer.h"
#include "sidecar/inbound_gateway.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// HTTP server that receives the heartbeats and the withdrawal of the target beside this daemon.
///
/// An acknowledgement of a departure binds all daemons, also after all of them have been restarted,
/// so it is sent only when the departure is in the platform's store. Without it the target sends
/// its message again; it gets no new requests in the meantime.
class registration_server {
 public:
  registration_server(const sidecar_context& shared, inbound_gateway& gateway, entry_writer& entry);

  [[nodiscard]] const http_server& server() const noexcept { return server_; }

 private:
  void receive(const std::shared_ptr<http_exchange>& exchange);
  /// Returns whether the message announces a departure.
  leaf::result<bool> take(const target_announcement& announcement);
  leaf::result<bool> take(const target_withdrawal& withdrawal);
  void log_result(const std::string& id, announcement_result result) const;

  const sidecar_context& shared_;
  inbound_gateway& gateway_;
  entry_writer& entry_;
  std::string own_address_;
  http_server server_;
};

}  // namespace crocusdoor
