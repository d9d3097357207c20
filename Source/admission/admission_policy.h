#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "admission/admission_request.h"
#include "core/time.h"

namespace crocusdoor {

/// Properties and estimated times of a waiting (or just offered) request.
struct waiting_estimate {
  priority_class priority = priority_class::interactive;
  time_point deadline;
  std::uint64_t arrival = 0;       ///< Order of arrival; greater is later.
  duration expected_wait{0};       ///< Time until it gets a slot.
  duration expected_service{0};    ///< Time between start and end.
  std::size_t requests_ahead = 0;  ///< Requests that will start before it.
};

/// Order in which waiting requests start.
class queue_order {
 public:
  virtual ~queue_order() = default;
  /// Whether `first` starts before `second`; a strict weak ordering.
  [[nodiscard]] virtual bool before(const waiting_estimate& first,
                                    const waiting_estimate& second) const = 0;
};

/// Interactive requests before bulk ones; in a class the earlier deadline first.
class class_and_deadline_order final : public queue_order {
 public:
  [[nodiscard]] bool before(const waiting_estimate& first,
                            const waiting_estimate& second) const override;
};

/// Order of arrival (baseline).
class fifo_order final : public queue_order {
 public:
  [[nodiscard]] bool before(const waiting_estimate& first,
                            const waiting_estimate& second) const override;
};

/// Decides whether a request is kept and started, or refused.
class feasibility_rule {
 public:
  virtual ~feasibility_rule() = default;
  /// Whether the request may still finish before its deadline.
  [[nodiscard]] virtual bool feasible(const waiting_estimate& estimate, time_point now) const = 0;
  /// Whether `feasible` is always true, so that the estimates need not be made.
  [[nodiscard]] virtual bool accepts_all() const { return false; }
};

/// Refuses requests that are expected to end after their deadline.
class finish_before_deadline final : public feasibility_rule {
 public:
  /// `service_margin`: multiple of the median service time that must fit before the deadline.
  explicit finish_before_deadline(double service_margin = 1.5) : service_margin_(service_margin) {}
  [[nodiscard]] bool feasible(const waiting_estimate& estimate, time_point now) const override;

 private:
  double service_margin_;
};

/// Keeps every request, also past its deadline (baseline).
class no_feasibility_limit final : public feasibility_rule {
 public:
  [[nodiscard]] bool accepts_all() const override { return true; }
  [[nodiscard]] bool feasible(const waiting_estimate& estimate, time_point now) const override;
};

/// Chooses the request that is removed from a full queue.
class shedding_rule {
 public:
  virtual ~shedding_rule() = default;
  /// Index of the request to refuse; `waiting` is not empty and in starting order.
  [[nodiscard]] virtual std::size_t victim(const std::vector<waiting_estimate>& waiting,
                                           time_point now) const = 0;
};

/// Sheds the request whose spare time before its deadline is smallest in relation to the
/// uncertainty of its wait.
class shed_lowest_chance final : public shedding_rule {
 public:
  [[nodiscard]] std::size_t victim(const std::vector<waiting_estimate>& waiting,
                                   time_point now) const override;
};

/// Sheds the latest arrival (baseline).
class shed_newest final : public shedding_rule {
 public:
  [[nodiscard]] std::size_t victim(const std::vector<waiting_estimate>& waiting,
                                   time_point now) const override;
};

/// Keeps some slots free of long requests.
class reserve_rule {
 public:
  virtual ~reserve_rule() = default;
  /// Whether a request with this attained or expected service time counts as long, where `median`
  /// is the median service time at the target.
  [[nodiscard]] virtual bool is_long(duration service_time, duration median) const = 0;
  /// Number of slots that long requests may hold; at least 1.
  [[nodiscard]] virtual int slots_for_long(int slots) const = 0;
};

/// A request is long if it takes `long_factor` times the median; `reserved_share` of the slots are
/// not available to long requests.
class reserve_for_short final : public reserve_rule {
 public:
  explicit reserve_for_short(double reserved_share = 0.5, double long_factor = 8)
      : reserved_share_(reserved_share), long_factor_(long_factor) {}
  [[nodiscard]] bool is_long(duration service_time, duration median) const override;
  [[nodiscard]] int slots_for_long(int slots) const override;

 private:
  double reserved_share_;
  double long_factor_;
};

/// Every request may use every slot (baseline).
class no_reserve final : public reserve_rule {
 public:
  [[nodiscard]] bool is_long(duration service_time, duration median) const override;
  [[nodiscard]] int slots_for_long(int slots) const override;
};

/// Limits and rules of one admission controller. No rule may be null.
struct admission_policy {
  int slots = 1;                 ///< Requests the target runs at the same time; at least 1.
  std::size_t queue_limit = 48;  ///< Requests that may wait.
  std::shared_ptr<const queue_order> order = std::make_shared<class_and_deadline_order>();
  std::shared_ptr<const feasibility_rule> feasibility = std::make_shared<finish_before_deadline>();
  std::shared_ptr<const shedding_rule> shedding = std::make_shared<shed_lowest_chance>();
  std::shared_ptr<const reserve_rule> reserve = std::make_shared<reserve_for_short>();
};

/// Rules for a target with this many slots: the queue holds four requests per slot.
[[nodiscard]] admission_policy default_admission_policy(int slots);

/// First in, first out without any limit: the baseline of the benchmarks.
[[nodiscard]] admission_policy unlimited_fifo_policy(int slots);

}  // namespace crocusdoor
