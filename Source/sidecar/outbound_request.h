#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sidecar/outbound_services.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// One request of a caller, from its arrival to its answer. It keeps itself alive while an attempt
/// is outstanding.
class outbound_request : public std::enable_shared_from_this<outbound_request> {
 public:
  outbound_request(outbound_services& services, std::shared_ptr<http_exchange> exchange);

  void start();

 private:
  struct attempt {
    wire::request_id id = 0;
    instance_name instance;
    time_point sent_at;
    bool finished = false;
  };

  [[nodiscard]] bool find_route();
  void prepare_call();
  void set_deadline();
  void send_attempt();
  void end_unplaced(const placement& place);
  void attempt_ended(std::size_t index, const call_outcome& outcome);
  void note_quality(const attempt& ended, const call_outcome& outcome);
  [[nodiscard]] bool worth_repeating(const call_outcome& outcome) const;
  void repeat_or_end(const call_outcome& outcome);
  [[nodiscard]] bool may_repeat(const call_outcome& outcome);
  [[nodiscard]] bool outstanding() const;
  void deadline_passed();
  void caller_gone();
  void cancel_attempts();
  void deliver(const wire::call_answer& answer);
  void refuse(const std::string& reason, duration retry_after);
  void fail(int status, const std::string& reason);
  void log_attempt(std::size_t index, const call_outcome& outcome) const;
  void log_end(int status, verdict outcome, const std::string& reason, duration took) const;
  void finish(const http_response& response, verdict outcome, const std::string& reason);

  outbound_services& services_;
  const sidecar_context& shared_;
  std::shared_ptr<http_exchange> exchange_;
  std::string attempt_id_;
  time_point arrived_at_;
  time_point deadline_;
  std::uint64_t version_ = 0;  ///< Of the configuration that routed the request.
  mesh_route route_;
  service_name service_;
  wire::call call_;
  std::vector<attempt> attempts_;
  std::vector<instance_name> tried_;
  int arrivals_ = 0;  ///< Upstreams that may have received the request.
  verdict outcome_so_far_ = verdict::not_run;
  std::optional<wire::call_answer> failure_answer_;  ///< Of an upstream, while another is tried.
  duration retry_after_{0};
  duration expected_{0};  ///< Time until the answer that the latest placement expects.
  bool finished_ = false;
  timer_handle deadline_timer_;
};

}  // namespace crocusdoor
