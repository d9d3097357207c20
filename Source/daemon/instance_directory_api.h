#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon_context.h"
#include "membership/instance_record.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// Answer of one instance to a request that was passed on to it.
struct instance_answer {
  instance_record instance;
  http_result result;
};

/// Sends API requests to other instances and collects their answers.
class instance_directory_api {
 public:
  using callback = std::function<void(std::vector<instance_answer>)>;

  explicit instance_directory_api(const daemon_context& shared) : shared_(shared) {}

  /// Asks all given instances the same; `done` is called once all have answered or timed out.
  void ask_all(const std::vector<instance_record>& instances, const http_request& request,
               callback done);

 private:
  const daemon_context& shared_;
};

}  // namespace crocusdoor
