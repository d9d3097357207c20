#include "rollout/fleet_evidence.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Period that is judged in addition to the whole rollout. A version that becomes bad late differs
/// little over the whole.
constexpr duration recent_period = std::chrono::milliseconds(2'500);
constexpr duration snapshot_interval = std::chrono::milliseconds(250);
/// A rate over a shorter time would depend on when single reports arrive.
constexpr duration minimum_rate_period = std::chrono::milliseconds(700);

void add(version_outcome_map& sum, const wire::rollout_evidence& report) {
  for (const wire::version_outcomes& counted : report.outcomes) {
    version_outcome_pair& pair = sum[counted.work_class];
    (counted.new_version ? pair.new_version : pair.old_version) +=
        {counted.requests, counted.failures, counted.slow, counted.total_time_us};
  }
}

void add(version_outcome_map& sum, const version_outcome_map& added) {
  for (const auto& [work_class, pair] : added) {
    sum[work_class].old_version += pair.old_version;
    sum[work_class].new_version += pair.new_version;
  }
}

version_outcome_map difference(const version_outcome_map& now, const version_outcome_map& earlier) {
  version_outcome_map result = now;
  for (const auto& [work_class, pair] : earlier) {
    version_outcome_pair& left = result[work_class];
    left.old_version = left.old_version - pair.old_version;
    left.new_version = left.new_version - pair.new_version;
  }
  return result;
}

std::uint64_t finished(const version_outcome_map& outcomes) {
  std::uint64_t sum = 0;
  for (const auto& [work_class, pair] : outcomes) {
    sum += pair.old_version.requests + pair.new_version.requests;
  }
  return sum;
}

std::uint64_t finished(const wire::rollout_evidence& report) {
  version_outcome_map outcomes;
  add(outcomes, report);
  return finished(outcomes);
}

}  // namespace

void fleet_evidence::received(const instance_name& from, const wire::rollout_evidence& report,
                              time_point now) {
  const auto [found, first] = reports_.try_emplace(from);
  daemon_report& known = found->second;
  const std::uint64_t before = finished(known.latest);
  const std::uint64_t after = finished(report);
  if (report.sent < known.latest.sent || after < before) {
    known.earlier_sent += known.latest.sent;
    add(known.earlier, known.latest);
  } else if (!first) {
    observed_ += after - before;
  }
  known.latest = report;
  known.received_at = now;
}

version_outcome_map fleet_evidence::totals() const {
  version_outcome_map sum;
  for (const auto& [name, report] : reports_) {
    add(sum, report.earlier);
    add(sum, report.latest);
  }
  return sum;
}

version_judgement fleet_evidence::judge(time_point now) {
  version_outcome_map outcomes = totals();
  while (history_.size() > 1 && now - history_[1].taken_at >= recent_period) {
    history_.pop_front();
  }
  const version_judgement whole = compare_versions(outcomes);
  version_judgement recent;
  if (!history_.empty()) {
    recent = compare_versions(difference(outcomes, history_.front().outcomes));
  }
  if (history_.empty() || now - history_.back().taken_at >= snapshot_interval) {
    history_.push_back({now, std::move(outcomes), observed_});
  }
  return recent.quality == version_quality::bad ? recent : whole;
}

std::uint64_t fleet_evidence::exposure() const {
  std::uint64_t sum = 0;
  for (const auto& [name, report] : reports_) {
    sum += report.earlier_sent + report.latest.sent;
  }
  return sum;
}

std::uint64_t fleet_evidence::requests() const {
  return finished(totals());
}

double fleet_evidence::rate() const {
  if (history_.size() < 2) {
    return 0;
  }
  const duration span = history_.back().taken_at - history_.front().taken_at;
  if (span < minimum_rate_period) {
    return 0;
  }
  return static_cast<double>(history_.back().observed - history_.front().observed) /
         std::chrono::duration<double>(span).count();
}

std::uint64_t fleet_evidence::bad_responses() const {
  std::uint64_t sum = 0;
  for (const auto& [work_class, pair] : totals()) {
    sum += pair.new_version.failures + pair.new_version.slow;
  }
  return sum;
}

std::size_t fleet_evidence::reports_since(time_point earliest) const {
  return static_cast<std::size_t>(
      std::count_if(reports_.begin(), reports_.end(),
                    [&](const auto& report) { return report.second.received_at >= earliest; }));
}

bool fleet_evidence::settled(const std::vector<instance_name>& daemons, std::int32_t permille,
                             time_point earliest, bool silent_allowed) const {
  return std::all_of(daemons.begin(), daemons.end(), [&](const instance_name& name) {
    const auto found = reports_.find(name);
    if (found == reports_.end() || found->second.received_at < earliest) {
      return silent_allowed;
    }
    const wire::rollout_evidence& report = found->second.latest;
    return report.permille == permille &&
           (permille == 0 ? report.running_new : report.running_old) == 0;
  });
}

}  // namespace crocusdoor
