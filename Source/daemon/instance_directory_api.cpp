#include "daemon/instance_directory_api.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration instance_timeout = std::chrono::seconds(2);

/// Collects the answers of one round; its HTTP clients live as long as the round.
struct question_round {
  std::vector<instance_answer> answers;
  std::vector<std::unique_ptr<http_client>> clients;
  std::size_t outstanding = 0;
  instance_directory_api::callback done;
};

}  // namespace

void instance_directory_api::ask_all(const std::vector<instance_record>& instances,
                                     const http_request& request, callback done) {
  if (instances.empty()) {
    done({});
    return;
  }
  auto round = std::make_shared<question_round>();
  round->outstanding = instances.size();
  round->done = std::move(done);
  round->answers.resize(instances.size());
  for (std::size_t i = 0; i < instances.size(); ++i) {
    round->answers[i].instance = instances[i];
    const ip_endpoint remote{instances[i].address, instances[i].api_port};
    round->clients.push_back(
        std::make_unique<http_client>(shared_.loop, remote, http_client_options{}));
    round->clients.back()->send(request, instance_timeout,
                                [this, round, i](const http_result& result) {
                                  round->answers[i].result = result;
                                  if (--round->outstanding > 0) {
                                    return;
                                  }
                                  round->done(std::move(round->answers));
                                  // The clients are freed outside of their own callbacks.
                                  shared_.loop.post([round] { round->clients.clear(); });
                                });
  }
}

}  // namespace crocusdoor
