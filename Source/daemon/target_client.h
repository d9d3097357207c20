#pragma once

#include <functional>

#include "daemon/daemon_context.h"
#include "transport/http_client.h"
#include "wire/message.h"

namespace crocusdoor {

/// HTTP client of the target beside this daemon.
class target_client {
 public:
  /// The answer without its request id and load; whether the target lost its connection while the
  /// request ran.
  using callback = std::function<void(wire::call_answer answer, bool connection_lost)>;

  explicit target_client(const daemon_context& shared);

  /// Sends a request with the given deadline. Without a whole answer by then the outcome is "may
  /// have run", unless nothing was written to the target.
  http_call send(const wire::call& request, time_point deadline, callback done);
  void cancel(const http_call& call) { client_.cancel(call); }

  /// Asks the health path; `done` gets whether the target answered with a status below 400.
  void probe(std::function<void(bool healthy)> done);

 private:
  const daemon_context& shared_;
  http_client client_;
  http_client prober_;
};

}  // namespace crocusdoor
