#include "load_run.h"

#include <algorithm>
#include <memory>

namespace crocusdoor::load_benchmark {

namespace {

// A user whose request failed repeats it after a random time between one and two such delays.
constexpr duration user_repeat_delay = std::chrono::milliseconds(100);

class load_run {
 public:
  explicit load_run(const run_plan& plan) : plan_(plan), random_(plan.seed) {
    for (std::size_t i = 0; i < plan_.site.targets; ++i) {
      targets_.push_back(
          std::make_unique<fake_target>(events_, plan_.rules.admission, plan_.report_delay));
    }
    for (std::size_t i = 0; i < plan_.site.callers; ++i) {
      add_caller(i);
    }
  }

  run_result run() {
    schedule_slow_periods();
    schedule_arrival();
    events_.run_until(time_point(plan_.length));
    run_result result{.counts = counts_};
    for (const auto& request : requests_) {
      if (request->done) {
        result.requests.push_back({.arrival = request->arrival.time_since_epoch(),
                                   .latency = request->latency,
                                   .answered = request->answered,
                                   .is_long = request->is_long});
      }
    }
    return result;
  }

 private:
  failure_domain domain_of(std::size_t index) const {
    return failure_domain("zone-" + std::to_string(index % plan_.site.failure_domains));
  }

  void add_caller(std::size_t index) {
    const region_name region("region");
    const auto one_way_delay = [this, index](std::size_t target) {
      return domain_of(index) == domain_of(target) ? plan_.site.one_way_delay_in_domain
                                                   : plan_.site.one_way_delay_between_domains;
    };
    const caller_location location{instance_name("caller-" + std::to_string(index)),
                                   domain_of(index), region};
    auto caller = std::make_unique<fake_caller>(events_, location, plan_.rules.caller, targets_,
                                                one_way_delay, random_, counts_);
    std::vector<upstream> upstreams;
    for (std::size_t i = 0; i < plan_.site.targets; ++i) {
      upstreams.push_back({.instance = target_name(i),
                           .domain = domain_of(i),
                           .region = region,
                           .slots = plan_.site.slots,
                           .ready_since = time_point(-std::chrono::hours(1))});
    }
    caller->set_upstreams(upstreams, {.connections_per_upstream = plan_.site.connections_per_target,
                                      .callers = plan_.site.callers});
    caller->on_failure([this](const auto& request) { repeat_by_user(request); });
    callers_.push_back(std::move(caller));
  }

  void schedule_slow_periods() {
    for (const slow_period& period : plan_.slow_periods) {
      fake_target& target = *targets_[period.target];
      events_.at(time_point(period.begin),
                 [&target, period] { target.set_slowdown(period.factor); });
      events_.at(time_point(period.end), [&target] { target.set_slowdown(1); });
    }
  }

  void schedule_arrival() {
    const double load = plan_.load(events_.now().time_since_epoch());
    const double rate = load * plan_.site.capacity() / (1 - plan_.long_share);
    events_.after(random_.exponential(duration(static_cast<duration::rep>(1e6 / rate))), [this] {
      start_request();
      schedule_arrival();
    });
  }

  void start_request() {
    auto request = std::make_shared<user_request>();
    request->is_long = random_.fraction() < plan_.long_share;
    request->work = service_time() * (request->is_long ? static_cast<int>(plan_.long_factor) : 1);
    request->work_class = request->is_long && plan_.long_own_route ? "exports" : "statements";
    request->user_repeats_left = plan_.user_attempts - 1;
    submit(request);
  }

  // Sum of four exponentially distributed times, whose standard deviation is half the mean.
  duration service_time() {
    duration sum{0};
    for (int stage = 0; stage < 4; ++stage) {
      sum += random_.exponential(plan_.site.service_time / 4);
    }
    return std::max(sum, duration(1));
  }

  void submit(const std::shared_ptr<user_request>& request) {
    request->arrival = events_.now();
    // A long request gets ten times the timeout, as its service time is `long_factor` times as
    // long.
    request->deadline = events_.now() + plan_.timeout * (request->is_long ? 10 : 1);
    requests_.push_back(request);
    callers_[random_.index(callers_.size())]->submit(request);
  }

  void repeat_by_user(const std::shared_ptr<user_request>& failed) {
    if (failed->user_repeats_left == 0) {
      return;
    }
    auto next = std::make_shared<user_request>();
    next->work = failed->work;
    next->is_long = failed->is_long;
    next->work_class = failed->work_class;
    next->user_repeats_left = failed->user_repeats_left - 1;
    events_.after(user_repeat_delay + random_.up_to(user_repeat_delay),
                  [this, next] { submit(next); });
  }

  run_plan plan_;
  random_source random_;
  event_queue events_;
  call_counts counts_;
  std::vector<std::unique_ptr<fake_target>> targets_;
  std::vector<std::unique_ptr<fake_caller>> callers_;
  std::vector<std::shared_ptr<user_request>> requests_;
};

}  // namespace

load_rules default_rules(const deployment& site) {
  return {.admission = default_admission_policy(site.slots), .caller = {}};
}

load_rules baseline_rules(const deployment& site) {
  return {.admission = unlimited_fifo_policy(site.slots),
          .caller = {.selection = round_robin_policy(),
                     .retry = {.limited = false},
                     .hedge = {.enabled = false},
                     .cancels = false}};
}

run_result run_load(const run_plan& plan) {
  return load_run(plan).run();
}

}  // namespace crocusdoor::load_benchmark
