#pragma once

#include <functional>
#include <string>

#include "sidecar/inbound_gateway.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// HTTP server that receives the heartbeats and the withdrawal of the target beside this daemon.
class registration_server {
 public:
  registration_server(const sidecar_context& shared, inbound_gateway& gateway);

 private:
  void receive(http_exchange& exchange);
  [[nodiscard]] announcement_result take(const target_announcement& announcement);
  [[nodiscard]] announcement_result take(const target_withdrawal& withdrawal);

  const sidecar_context& shared_;
  inbound_gateway& gateway_;
  std::string own_address_;
  http_server server_;
};

}  // namespace crocusdoor
