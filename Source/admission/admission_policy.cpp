#include "admission/admission_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocusdoor {

namespace {

double microseconds(duration span) {
  return static_cast<double>(span.count());
}

// Spare time in units of the standard deviation of the wait, which grows with the square root of
// the number of requests that have to finish first.
double chance(const waiting_estimate& estimate, time_point now) {
  const double spare =
      microseconds(estimate.deadline - now - estimate.expected_wait - estimate.expected_service);
  const double uncertainty = std::max(1.0, microseconds(estimate.expected_service)) *
                             std::sqrt(static_cast<double>(estimate.requests_ahead) + 1);
  return spare / uncertainty;
}

}  // namespace

bool class_and_deadline_order::before(const waiting_estimate& first,
                                      const waiting_estimate& second) const {
  if (first.priority != second.priority) {
    return first.priority == priority_class::interactive;
  }
  return first.deadline != second.deadline ? first.deadline < second.deadline
                                           : first.arrival < second.arrival;
}

bool fifo_order::before(const waiting_estimate& first, const waiting_estimate& second) const {
  return first.arrival < second.arrival;
}

bool finish_before_deadline::feasible(const waiting_estimate& estimate, time_point now) const {
  const double left = microseconds(estimate.deadline - now - estimate.expected_wait);
  return left > 0 && left >= service_margin_ * microseconds(estimate.expected_service);
}

bool no_feasibility_limit::feasible(const waiting_estimate& /*estimate*/,
                                    time_point /*now*/) const {
  return true;
}

std::size_t shed_lowest_chance::victim(const std::vector<waiting_estimate>& waiting,
                                       time_point now) const {
  std::size_t worst = 0;
  double lowest_chance = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const double current_chance = chance(waiting[i], now);
    if (current_chance <= lowest_chance) {
      worst = i;
      lowest_chance = current_chance;
    }
  }
  return worst;
}

std::size_t shed_newest::victim(const std::vector<waiting_estimate>& waiting,
                                time_point /*now*/) const {
  const auto newest = std::max_element(
      waiting.begin(), waiting.end(),
      [](const auto& first, const auto& second) { return first.arrival < second.arrival; });
  return static_cast<std::size_t>(newest - waiting.begin());
}

bool reserve_for_short::is_long(duration service_time, duration median) const {
  return median.count() > 0 && microseconds(service_time) >= long_factor_ * microseconds(median);
}

int reserve_for_short::slots_for_long(int slots) const {
  const int reserved = static_cast<int>(std::ceil(reserved_share_ * slots));
  return std::max(1, slots - reserved);
}

bool no_reserve::is_long(duration /*service_time*/, duration /*median*/) const {
  return false;
}

int no_reserve::slots_for_long(int slots) const {
  return slots;
}

admission_policy default_admission_policy(int slots) {
  admission_policy policy;
  policy.slots = std::max(1, slots);
  policy.queue_limit = static_cast<std::size_t>(policy.slots) * 4;
  return policy;
}

admission_policy unlimited_fifo_policy(int slots) {
  return {.slots = std::max(1, slots),
          .queue_limit = std::numeric_limits<std::size_t>::max(),
          .order = std::make_shared<fifo_order>(),
          .feasibility = std::make_shared<no_feasibility_limit>(),
          .shedding = std::make_shared<shed_newest>(),
          .reserve = std::make_shared<no_reserve>()};
}

}  // namespace crocusdoor
