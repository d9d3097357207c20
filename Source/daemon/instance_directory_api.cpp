#include "daemon/instance_directory_api.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration instance_timeout = std::chrono::seconds(2);

/// The responses to one request, and the HTTP clients that it was sent with.
struct request_round {
  std::vector<instance_response> responses;
  std::vector<std::unique_ptr<http_client>> clients;
  std::size_t outstanding = 0;
  instance_directory_api::callback done;
};

}  // namespace

void instance_directory_api::send_to_all(const std::vector<instance_record>& instances,
                                         const http_request& request, callback done) {
  if (instances.empty()) {
    done({});
    return;
  }
  auto round = std::make_shared<request_round>();
  round->outstanding = instances.size();
  round->done = std::move(done);
  round->responses.resize(instances.size());
  for (std::size_t i = 0; i < instances.size(); ++i) {
    round->responses[i].instance = instances[i];
    const ip_endpoint remote{instances[i].address, instances[i].api_port};
    round->clients.push_back(
        std::make_unique<http_client>(shared_.loop, remote, http_client_options{}));
    round->clients.back()->send(request, instance_timeout,
                                [this, round, i](const http_result& result) {
                                  round->responses[i].result = result;
                                  if (--round->outstanding > 0) {
                                    return;
                                  }
                                  round->done(std::move(round->responses));
                                  // Destroyed in a later iteration of the event loop, since a
                                  // client must not be destroyed in its own callback.
                                  shared_.loop.post([round] { round->clients.clear(); });
                                });
  }
}

}  // namespace crocusdoor
