#pragma once

#include <functional>

#include "daemon/daemon_context.h"
#include "transport/http_client.h"
#include "wire/message.h"

namespace crocusdoor {

/// HTTP client for this daemon's own target.
class target_client {
 public:
  /// Gets the response without its request id and load, and whether the connection to the target
  /// was lost while the request ran.
  using callback = std::function<void(wire::call_answer response, bool connection_lost)>;

  explicit target_client(const daemon_context& shared);

  /// Sends a request with the given deadline. Without a complete response by then the outcome is
  /// "may have run", unless nothing was written to the target.
  http_call send(const wire::call& request, time_point deadline, callback done);
  void cancel(const http_call& call) { client_.cancel(call); }

  /// Sends a request to the health path; `done` gets whether the target responded with a status
  /// below 400.
  void probe(std::function<void(bool healthy)> done);

 private:
  const daemon_context& shared_;
  std::uint64_t exchanges_ = 0;  ///< Requests sent so far, which gives each of them its id.
  http_client client_;
  http_client probe_client_;
};

}  // namespace crocusdoor
