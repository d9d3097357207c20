#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon_context.h"
#include "membership/instance_record.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// Response of one instance to a forwarded request.
struct instance_response {
  instance_record instance;
  http_result result;
};

/// Sends API requests to other instances and collects their responses.
class instance_directory_api {
 public:
  using callback = std::function<void(std::vector<instance_response>)>;

  explicit instance_directory_api(const daemon_context& shared) : shared_(shared) {}

  /// Sends a request to all given instances. `done` is called once each has responded or timed out.
  void send_to_all(const std::vector<instance_record>& instances, const http_request& request,
                   callback done);

 private:
  const daemon_context& shared_;
};

}  // namespace crocusdoor
