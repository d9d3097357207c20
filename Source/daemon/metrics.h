#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "core/time.h"
#include "core/verdict.h"
#include "link/link_traffic.h"
#include "transport/buffer_manager.h"
#include "transport/connection_limit.h"

namespace crocusdoor {

/// Metrics of one daemon in Prometheus text format.
class metrics {
 public:
  metrics();

  void count_caller_request(const std::string& service, verdict outcome, int status);
  void observe_caller_latency(const std::string& service, duration latency);
  void count_refusal(const std::string& reason);
  void count_retry() { retries_->Increment(); }
  void count_hedge() { hedges_->Increment(); }
  void count_claim(const std::string& decision);
  void count_unmatched_response() { unmatched_responses_->Increment(); }
  /// Counts a caller that closed its connection before its response; `seen` says in which state of
  /// the request that was noticed.
  void count_departed_caller(const std::string& seen);
  /// Counts a cancellation of a call, at the sender or at the receiver, by its result.
  void count_cancellation(const std::string& result);
  /// Counts requests that had arrived over a link when it was lost, by their state.
  void count_work_of_lost_link(const std::string& state, std::size_t requests);
  /// Counts an end of the target with requests in flight, by what showed it.
  void count_target_crash(const std::string& evidence);
  /// Counts exchanges that were lost with their connection to the target, by what became known of
  /// the target.
  void count_lost_exchanges(const std::string& result, std::size_t exchanges);
  /// Counts a crash count of a request that this daemon has reset, by the cause.
  void count_crash_count_reset(const std::string& cause);
  /// Counts a response whose connection or link ended before the receiver had acknowledged it.
  void count_undelivered_response(const std::string& receiver, const std::string& cause);
  /// Counts a report about quotas or a grant that this daemon has made.
  void count_quota_message(const std::string& kind);
  /// Counts tokens of quotas that this daemon has received, by the coordinator that lent them.
  void count_quota_tokens(const std::string& source, double tokens);
  void count_configuration_offer(const std::string& result);
  /// Counts a step to get a version that a peer has reported and that is newer than the current
  /// one.
  void count_catch_up(const std::string& source);
  /// Time from the first report of a newer version until the current version was at least as new.
  void observe_configuration_lag(duration lag);
  /// Time for which a delayed call of a peer was in transit.
  void observe_call_transit(duration transit);
  /// How late a timer of the event loop ran.
  void observe_loop_delay(duration delay);

  prometheus::Gauge& configuration_version() { return *configuration_version_; }
  prometheus::Gauge& slots_in_use() { return *slots_in_use_; }
  prometheus::Gauge& queue_length() { return *queue_length_; }
  prometheus::Gauge& live_instances() { return *live_instances_; }
  prometheus::Gauge& linked_peers() { return *linked_peers_; }
  prometheus::Gauge& platform_reachable() { return *platform_reachable_; }
  /// Gauge for a total that another object counts; set at the time of the scrape.
  prometheus::Gauge& total(const std::string& name, const std::string& help,
                           const prometheus::Labels& labels = {});
  /// Sets the buffered bytes and the refusals for lack of memory.
  void set_buffers(buffer_manager& buffers);
  /// Sets the connections of callers.
  void set_connections(const connection_counts& counts, std::size_t limit);
  /// Sets the totals of the messages and bytes sent to other daemons.
  void set_link_traffic(const link_traffic& traffic);

  [[nodiscard]] std::string render() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>* caller_requests_;
  prometheus::Family<prometheus::Histogram>* caller_latency_;
  prometheus::Family<prometheus::Counter>* refusals_;
  prometheus::Family<prometheus::Counter>* claims_;
  prometheus::Family<prometheus::Counter>* departed_callers_;
  prometheus::Family<prometheus::Counter>* cancellations_;
  prometheus::Family<prometheus::Counter>* work_of_lost_links_;
  prometheus::Family<prometheus::Counter>* target_crashes_;
  prometheus::Family<prometheus::Counter>* lost_exchanges_;
  prometheus::Family<prometheus::Counter>* crash_count_resets_;
  prometheus::Family<prometheus::Counter>* undelivered_responses_;
  prometheus::Family<prometheus::Counter>* quota_messages_;
  prometheus::Family<prometheus::Counter>* quota_tokens_;
  prometheus::Family<prometheus::Counter>* configuration_offers_;
  prometheus::Family<prometheus::Counter>* catch_ups_;
  prometheus::Histogram* configuration_lag_;
  prometheus::Histogram* call_transit_;
  prometheus::Histogram* loop_delay_;
  prometheus::Counter* retries_;
  prometheus::Counter* hedges_;
  prometheus::Counter* unmatched_responses_;
  prometheus::Gauge* configuration_version_;
  prometheus::Gauge* slots_in_use_;
  prometheus::Gauge* queue_length_;
  prometheus::Gauge* live_instances_;
  prometheus::Gauge* linked_peers_;
  prometheus::Gauge* platform_reachable_;
};

}  // namespace crocusdoor
