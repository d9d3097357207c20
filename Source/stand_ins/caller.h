#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "stand_ins/caller_plan.h"
#include "stand_ins/delayed_actions.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace crocusdoor::stand_ins {

/// Counts of the requests of a plan and their results.
struct caller_statistics {
  std::uint64_t sent = 0;      ///< Requests; one that is sent again counts once.
  std::uint64_t attempts = 0;  ///< Sends, including repeated ones.
  std::map<call_result, std::uint64_t> results;
  std::map<std::string, std::uint64_t> reasons;  ///< Requests not answered, by reason.
  std::vector<duration> latencies;               ///< Of each answered request, over all attempts.
};

/// The statistics as JSON: sent, attempts, one count for each result, reasons, and percentiles of
/// the latency in milliseconds.
[[nodiscard]] json to_json(const caller_statistics& statistics);

/// Classifies the outcome of one attempt. A request has not run if the response says so
/// (`X-Crocusdoor-Verdict: not_run` or `X-Not-Run: true`) or if it was never written to a
/// connection.
[[nodiscard]] call_result classify(const prepared_request& sent, const http_result& received);

/// Sends the requests of a plan, at most `concurrency` of them at the same time.
class caller {
 public:
  /// The plan must name at least one daemon and one kind of request.
  caller(event_loop& loop, caller_plan plan, std::function<void(const caller_statistics&)> done);

  void start();

 private:
  struct request_state;

  void start_next();
  void send(const std::shared_ptr<request_state>& request);
  void send_to(const std::shared_ptr<request_state>& request, http_client& daemon);
  void receive(const std::shared_ptr<request_state>& request, const http_result& received);
  void finish(const request_state& request);
  const planned_request& pick();

  event_loop& loop_;
  caller_plan plan_;
  std::function<void(const caller_statistics&)> done_;
  random_source random_;
  delayed_actions delayed_;
  std::vector<std::unique_ptr<http_client>> daemons_;
  std::size_t next_daemon_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t finished_ = 0;
  caller_statistics statistics_;
};

}  // namespace crocusdoor::stand_ins
