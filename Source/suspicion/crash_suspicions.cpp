#include "suspicion/crash_suspicions.h"

#include <algorithm>
#include <tuple>

namespace crocusdoor {

namespace {

// Two crashes are enough to refuse a request; a few more are kept to be shown to operators.
constexpr std::size_t kept_crashes = 8;

std::int64_t milliseconds_of(wall_time time) {
  return time.time_since_epoch().count();
}

}  // namespace

std::vector<crash_report> crash_suspicions::crashed(const std::vector<digest>& in_flight,
                                                    const instance_name& instance,
                                                    std::uint64_t crash_id, wall_time now) {
  std::vector<crash_report> reports;
  for (const digest& request : in_flight) {
    const crash_report report{request, instance, crash_id, milliseconds_of(now), false};
    if (apply(report)) {
      reports.push_back(report);
    }
  }
  return reports;
}

bool crash_suspicions::merge(const crash_report& report, wall_time now) {
  const std::int64_t latest_accepted = milliseconds_of(now + limits_.clock_skew);
  if (report.request.empty() || report.at_ms > latest_accepted ||
      report.at_ms < oldest_counted(now)) {
    ++refused_reports_;
    return false;
  }
  return apply(report);
}

bool crash_suspicions::apply(const crash_report& report) {
  request_history& history = requests_[report.request];
  const bool changed = report.cleared ? add_clearing(history, report) : add_crash(history, report);
  if (requests_.size() > limits_.requests) {
    drop_oldest();
  }
  return changed;
}

bool crash_suspicions::add_crash(request_history& history, const crash_report& report) {
  if (history.clearing.cleared && report.at_ms <= history.clearing.at_ms) {
    return false;
  }
  const crash_identity identity(report.instance, report.crash_id);
  const auto [entry, inserted] = history.crashes.try_emplace(identity, report.at_ms);
  if (!inserted) {
    const bool later = report.at_ms > entry->second;
    entry->second = std::max(entry->second, report.at_ms);
    return later;
  }
  if (history.crashes.size() <= kept_crashes) {
    return true;
  }
  const auto oldest = std::min_element(
      history.crashes.begin(), history.crashes.end(), [](const auto& left, const auto& right) {
        return std::tie(left.second, left.first) < std::tie(right.second, right.first);
      });
  const bool dropped_new_crash = oldest == entry;
  history.crashes.erase(oldest);
  return !dropped_new_crash;
}

bool crash_suspicions::add_clearing(request_history& history, const crash_report& report) {
  const auto rank = [](const crash_report& clearing) {
    return std::tie(clearing.cleared, clearing.at_ms, clearing.instance, clearing.crash_id);
  };
  if (rank(report) <= rank(history.clearing)) {
    return false;
  }
  history.clearing = report;
  std::erase_if(history.crashes, [&](const auto& entry) { return entry.second <= report.at_ms; });
  return true;
}

crash_decision crash_suspicions::decision(const digest& request, wall_time now) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return crash_decision::allow;
  }
  const auto& crashes = found->second.crashes;
  const auto count = std::count_if(crashes.begin(), crashes.end(), [&](const auto& entry) {
    return entry.second >= oldest_counted(now);
  });
  if (count == 0) {
    return crash_decision::allow;
  }
  return count == 1 ? crash_decision::isolate : crash_decision::refuse;
}

wall_time crash_suspicions::begin_isolation(const digest& request, wall_time now) const {
  const auto found = requests_.find(request);
  return found == requests_.end()
             ? now
             : std::max(now, wall_time(std::chrono::milliseconds(latest_crash_of(found->second))));
}

std::vector<crash_report> crash_suspicions::completed_in_isolation(const digest& request,
                                                                   wall_time began_at) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.crashes.empty()) {
    return {};
  }
  const crash_report report{request, instance_name(), 0, milliseconds_of(began_at), true};
  return apply(report) ? std::vector<crash_report>{report} : std::vector<crash_report>{};
}

std::vector<suspected_request> crash_suspicions::list(wall_time now) const {
  std::vector<suspected_request> suspected;
  for (const auto& [request, history] : requests_) {
    suspected_request entry{request, {}};
    for (const auto& [crash_key, at_ms] : history.crashes) {
      if (at_ms >= oldest_counted(now)) {
        entry.crashes.push_back({request, crash_key.first, crash_key.second, at_ms, false});
      }
    }
    std::sort(entry.crashes.begin(), entry.crashes.end(),
              [](const auto& left, const auto& right) { return left.at_ms < right.at_ms; });
    if (!entry.crashes.empty()) {
      suspected.push_back(std::move(entry));
    }
  }
  return suspected;
}

std::vector<crash_report> crash_suspicions::clear(const digest& request,
                                                  const std::string& operator_name, wall_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.crashes.empty()) {
    return {};
  }
  // Also clears crashes dated by a clock that is ahead of this one.
  const std::int64_t at_ms = std::max(milliseconds_of(now), latest_crash_of(found->second));
  const crash_report report{request, instance_name(operator_name), 0, at_ms, true};
  return apply(report) ? std::vector<crash_report>{report} : std::vector<crash_report>{};
}

void crash_suspicions::expire(wall_time now) {
  for (auto next = requests_.begin(); next != requests_.end();) {
    const auto found = next++;
    const request_history& history = found->second;
    if (std::max(latest_crash_of(history), history.clearing.at_ms) < oldest_counted(now)) {
      requests_.erase(found);
    }
  }
}

std::vector<crash_report> crash_suspicions::all() const {
  std::vector<crash_report> reports;
  for (const auto& [request, history] : requests_) {
    if (history.clearing.cleared) {
      reports.push_back(history.clearing);
    }
    for (const auto& [crash_key, at_ms] : history.crashes) {
      reports.push_back({request, crash_key.first, crash_key.second, at_ms, false});
    }
  }
  return reports;
}

std::int64_t crash_suspicions::oldest_counted(wall_time now) const {
  return milliseconds_of(now - limits_.age);
}

std::int64_t crash_suspicions::latest_crash_of(const request_history& history) {
  std::int64_t latest = 0;
  for (const auto& [crash_key, at_ms] : history.crashes) {
    latest = std::max(latest, at_ms);
  }
  return latest;
}

void crash_suspicions::drop_oldest() {
  const auto last_change = [](const request_history& history) {
    return std::max(latest_crash_of(history), history.clearing.at_ms);
  };
  const auto oldest = std::min_element(
      requests_.begin(), requests_.end(), [&](const auto& left, const auto& right) {
        return last_change(left.second) < last_change(right.second);
      });
  requests_.erase(oldest);
}

}  // namespace crocusdoor
