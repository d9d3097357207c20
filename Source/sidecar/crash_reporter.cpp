#include "sidecar/crash_reporter.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

std::vector<std::string> requests_of(const lost_exchanges& lost) {
  std::vector<std::string> requests;
  for (const lost_exchange& exchange : lost) {
    requests.push_back(exchange.request.str());
  }
  return requests;
}

}  // namespace

crash_reporter::crash_reporter(const sidecar_context& shared,
                               std::function<void(const std::vector<crash_count>&)> changed)
    : shared_(shared), changed_(std::move(changed)) {}

void crash_reporter::suspected(const std::string& target, const lost_exchanges& lost) const {
  count_crashes(lost);
  shared_.counters.count_lost_exchanges("suspected", lost.size());
  shared_.log.warning("target_crash_suspected",
                      {{"target", target},
                       {"in_flight", lost.size()},
                       {"requests", requests_of(lost)},
                       {"refused", shared_.crashes.refused(shared_.loop.now())}});
}

void crash_reporter::ended(const std::string& target, const lost_exchanges& lost,
                           crash_evidence evidence) const {
  count_crashes(lost);
  const std::string shown_by(to_string(evidence));
  shared_.counters.count_target_crash(shown_by);
  shared_.counters.count_lost_exchanges(shown_by, lost.size());
  shared_.log.warning("target_crashed", {{"target", target},
                                         {"evidence", shown_by},
                                         {"in_flight", lost.size()},
                                         {"requests", requests_of(lost)},
                                         {"refused", shared_.crashes.refused(shared_.loop.now())}});
}

void crash_reporter::survived(const std::string& target, const lost_exchanges& lost,
                              survival_evidence evidence) const {
  const std::string shown_by(to_string(evidence));
  shared_.counters.count_lost_exchanges(shown_by, lost.size());
  lost_exchanges suspects;
  std::vector<crash_count> changed;
  for (const lost_exchange& exchange : lost) {
    if (!exchange.suspected) {
      continue;
    }
    suspects.push_back(exchange);
    for (const crash_count& known : exchange.known) {
      const auto count = shared_.crashes.retract(known.request, known, shared_.loop.now());
      if (count.has_value()) {
        changed.push_back(*count);
        shared_.counters.count_crash_count_reset("target_survived");
      }
    }
  }
  if (!suspects.empty()) {
    shared_.log.info(
        "target_survived",
        {{"target", target}, {"evidence", shown_by}, {"requests", requests_of(suspects)}});
  }
  changed_(changed);
}

/// Counts one crash for each request and feature that one start of the target ran, with the count
/// that was known when it was first lost.
void crash_reporter::count_crashes(const lost_exchanges& lost) const {
  std::vector<crash_count> changed;
  for (auto exchange = lost.begin(); exchange != lost.end(); ++exchange) {
    for (const crash_count& known : exchange->known) {
      const bool counted = std::any_of(lost.begin(), exchange, [&](const lost_exchange& earlier) {
        return has_count(earlier, exchange->target_start, known.request);
      });
      const auto count = counted
                             ? std::nullopt
                             : shared_.crashes.crashed(known.request, known, shared_.loop.now());
      if (count.has_value()) {
        changed.push_back(*count);
      }
    }
  }
  changed_(changed);
}

}  // namespace crocusdoor
