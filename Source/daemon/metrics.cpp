#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace crocusdoor {

namespace {

prometheus::Counter* make_counter(prometheus::Registry& registry, const std::string& name,
                                  const std::string& help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge* make_gauge(prometheus::Registry& registry, const std::string& name,
                              const std::string& help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Family<prometheus::Counter>* make_family(prometheus::Registry& registry,
                                                     const std::string& name,
                                                     const std::string& help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries latency_boundaries_s = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

prometheus::Histogram* make_histogram(prometheus::Registry& registry, const std::string& name,
                                      const std::string& help) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
      {}, latency_boundaries_s);
}

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

metrics::metrics()
    : caller_requests_(make_family(registry_, "crocusdoor_caller_requests_total",
                                   "Requests of callers that this instance answered")),
      caller_latency_(&prometheus::BuildHistogram()
                           .Name("crocusdoor_caller_request_duration_seconds")
                           .Help("Time from a caller's request to its answer")
                           .Register(registry_)),
      refusals_(make_family(registry_, "crocusdoor_refusals_total",
                            "Requests refused as not run by the target side")),
      claims_(make_family(registry_, "crocusdoor_claims_total",
                          "Claim requests of run-once actions by decision")),
      departed_callers_(
          make_family(registry_, "crocusdoor_departed_callers_total",
                      "Callers that closed before their answer, by when it was seen")),
      cancellations_(make_family(registry_, "crocusdoor_cancellations_total",
                                 "Cancellations of calls, sent and received, by result")),
      work_of_lost_links_(
          make_family(registry_, "crocusdoor_work_of_lost_links_total",
                      "Requests that a link had brought when it was lost, by state")),
      target_crashes_(make_family(registry_, "crocusdoor_target_crashes_total",
                                  "Ends of the target with requests in flight by evidence")),
      lost_exchanges_(
          make_family(registry_, "crocusdoor_lost_exchanges_total",
                      "Exchanges lost with their connection to the target, by what became known")),
      crash_count_resets_(make_family(registry_, "crocusdoor_crash_count_resets_total",
                                      "Crash counts of requests that were reset, by cause")),
      undelivered_responses_(make_family(
          registry_, "crocusdoor_undelivered_responses_total",
          "Responses not acknowledged before their connection or link ended, by receiver")),
      quota_messages_(make_family(registry_, "crocusdoor_quota_messages_total",
                                  "Reports about quotas and grants that this instance made")),
      quota_tokens_(make_family(registry_, "crocusdoor_quota_tokens_total",
                                "Tokens of quotas that this instance received by coordinator")),
      configuration_offers_(
          make_family(registry_, "crocusdoor_configuration_offers_total",
                      "Configuration versions offered to this instance by result")),
      catch_ups_(make_family(registry_, "crocusdoor_configuration_catch_ups_total",
                             "Steps to get a version that a peer has, by source")),
      configuration_lag_(make_histogram(
          registry_, "crocusdoor_configuration_lag_seconds",
          "Time from hearing of a newer version to a version at least as new in use")),
      call_transit_(make_histogram(registry_, "crocusdoor_call_transit_seconds",
                                   "Time that delayed calls of peers were on their way")),
      loop_delay_(make_histogram(registry_, "crocusdoor_loop_delay_seconds",
                                 "How late a timer of the event loop ran")),
      retries_(make_counter(registry_, "crocusdoor_retries_total", "Calls sent again")),
      hedges_(make_counter(registry_, "crocusdoor_hedges_total", "Second copies of slow calls")),
      unmatched_responses_(make_counter(registry_, "crocusdoor_unmatched_answers_total",
                                        "Answers that belong to no waiting call")),
      configuration_version_(make_gauge(registry_, "crocusdoor_configuration_version",
                                        "Configuration version in use")),
      slots_in_use_(
          make_gauge(registry_, "crocusdoor_slots_in_use", "Requests running at the target")),
      queue_length_(
          make_gauge(registry_, "crocusdoor_queue_length", "Requests waiting for a slot")),
      live_instances_(
          make_gauge(registry_, "crocusdoor_live_instances", "Instances known to be alive")),
      linked_peers_(make_gauge(registry_, "crocusdoor_linked_peers", "Instances with a link")),
      platform_reachable_(make_gauge(registry_, "crocusdoor_platform_reachable",
                                     "1 if the latest call of the platform was answered")) {}

void metrics::count_caller_request(const std::string& service, verdict outcome, int status) {
  caller_requests_
      ->Add({{"service", service},
             {"verdict", std::string(to_string(outcome))},
             {"status", std::to_string(status)}})
      .Increment();
}

void metrics::observe_caller_latency(const std::string& service, duration latency) {
  caller_latency_->Add({{"service", service}}, latency_boundaries_s).Observe(seconds(latency));
}

void metrics::count_refusal(const std::string& reason) {
  refusals_->Add({{"reason", reason}}).Increment();
}

void metrics::count_claim(const std::string& decision) {
  claims_->Add({{"decision", decision}}).Increment();
}

void metrics::count_departed_caller(const std::string& seen) {
  departed_callers_->Add({{"seen", seen}}).Increment();
}

void metrics::count_cancellation(const std::string& result) {
  cancellations_->Add({{"result", result}}).Increment();
}

void metrics::count_work_of_lost_link(const std::string& state, std::size_t requests) {
  work_of_lost_links_->Add({{"state", state}}).Increment(static_cast<double>(requests));
}

void metrics::count_target_crash(const std::string& evidence) {
  target_crashes_->Add({{"evidence", evidence}}).Increment();
}

void metrics::count_lost_exchanges(const std::string& result, std::size_t exchanges) {
  lost_exchanges_->Add({{"result", result}}).Increment(static_cast<double>(exchanges));
}

void metrics::count_crash_count_reset(const std::string& cause) {
  crash_count_resets_->Add({{"cause", cause}}).Increment();
}

void metrics::count_undelivered_response(const std::string& receiver, const std::string& cause) {
  undelivered_responses_->Add({{"receiver", receiver}, {"cause", cause}}).Increment();
}

void metrics::count_quota_message(const std::string& kind) {
  quota_messages_->Add({{"kind", kind}}).Increment();
}

void metrics::count_quota_tokens(const std::string& source, double tokens) {
  quota_tokens_->Add({{"source", source}}).Increment(tokens);
}

void metrics::count_configuration_offer(const std::string& result) {
  configuration_offers_->Add({{"result", result}}).Increment();
}

void metrics::count_catch_up(const std::string& source) {
  catch_ups_->Add({{"source", source}}).Increment();
}

void metrics::observe_configuration_lag(duration lag) {
  configuration_lag_->Observe(seconds(lag));
}

void metrics::observe_call_transit(duration transit) {
  call_transit_->Observe(seconds(transit));
}

void metrics::observe_loop_delay(duration delay) {
  loop_delay_->Observe(seconds(delay));
}

prometheus::Gauge& metrics::total(const std::string& name, const std::string& help,
                                  const prometheus::Labels& labels) {
  // The registry returns the existing gauge of a name and labels that it knows.
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

void metrics::set_buffers(buffer_manager& buffers) {
  buffers.update_link_output();
  const buffer_account& account = *buffers.account();
  total("crocusdoor_buffer_budget_bytes", "Bytes that may be buffered")
      .Set(static_cast<double>(account.budget()));
  for (const auto& [kind, name] : enum_names<buffer_kind>::names) {
    total("crocusdoor_buffered_bytes", "Bytes buffered by kind", {{"kind", std::string(name)}})
        .Set(static_cast<double>(account.bytes(kind)));
  }
  for (const auto& [reason, name] : enum_names<memory_refusal>::names) {
    const auto found = buffers.refusals().find(reason);
    total("crocusdoor_memory_refusals_total",
          "Requests refused and connections closed for lack of memory, by reason",
          {{"reason", std::string(name)}})
        .Set(found == buffers.refusals().end() ? 0 : static_cast<double>(found->second));
  }
}

void metrics::set_connections(const connection_counts& counts, std::size_t limit) {
  total("crocusdoor_caller_connections", "Open connections of callers")
      .Set(static_cast<double>(counts.open));
  total("crocusdoor_caller_connection_limit", "Connections of callers that are kept open")
      .Set(static_cast<double>(limit));
  total("crocusdoor_connections_evicted_total", "Connections of callers closed for new ones")
      .Set(static_cast<double>(counts.evicted));
  total("crocusdoor_connections_refused_total",
        "New connections of callers refused because all others were needed")
      .Set(static_cast<double>(counts.refused));
}

void metrics::set_link_traffic(const link_traffic& traffic) {
  for (const auto& [scope, amounts] : traffic.totals()) {
    for (const auto& [kind, sent] : amounts) {
      const prometheus::Labels labels{{"kind", kind}, {"scope", std::string(to_string(scope))}};
      total("crocusdoor_link_messages_sent_total", "Messages sent to other daemons", labels)
          .Set(static_cast<double>(sent.messages));
      total("crocusdoor_link_bytes_sent_total", "Bytes of the messages sent to other daemons",
            labels)
          .Set(static_cast<double>(sent.bytes));
    }
  }
}

std::string metrics::render() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace crocusdoor
