#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/caller_services.h"
#include "daemon/hop_span.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// One request of a caller, from its arrival to its response. The callbacks of outstanding claims
/// and attempts own the object, so it outlives the caller's connection until they have completed.
class caller_request : public std::enable_shared_from_this<caller_request> {
 public:
  caller_request(const caller_services& services, std::shared_ptr<http_exchange> exchange);

  void start();

 private:
  struct attempt {
    wire::request_id id = 0;
    instance_name instance;
    time_point sent_at;
    bool finished = false;
  };

  [[nodiscard]] bool prepare_call();
  void set_deadline(const route& matched);
  void request_claim(const run_once_action& action);
  void claim_decided(const claim_response& response);
  void send_attempt();
  void arm_hedge();
  void send_hedge();
  void attempt_ended(std::size_t index, const call_outcome& outcome);
  void retry_or_fail(const call_outcome& outcome);
  void cancel_attempts();
  void caller_disconnected();
  [[nodiscard]] bool attempts_outstanding() const;

  void respond_with_recorded_result(const recorded_response& recorded);
  void respond_with_target_response(const wire::call_answer& target_response);
  void fail(int status, verdict outcome, const std::string& code, const std::string& message,
            duration retry_after = duration::zero());
  void finish(http_response response, verdict outcome);
  void release_claim(verdict outcome);

  const caller_services& services_;
  std::shared_ptr<http_exchange> exchange_;
  snapshot_pointer configuration_;
  wire::call call_;
  hop_span span_;
  time_point started_at_;
  time_point deadline_;
  std::int32_t retries_left_ = 0;
  std::vector<attempt> attempts_;
  std::vector<instance_name> attempted_instances_;
  verdict combined_verdict_ = verdict::not_run;
  timer_handle hedge_timer_;
  bool hedged_ = false;
  bool finished_ = false;
};

}  // namespace crocusdoor
